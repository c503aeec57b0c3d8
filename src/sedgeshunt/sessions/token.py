"""Sign and verify session tokens, which hold the points of a session."""

from base64 import b64decode, urlsafe_b64encode
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b
from hmac import compare_digest
from typing import NamedTuple

from msgspec import DecodeError
from msgspec.msgpack import Decoder, Encoder
from result import Err, Ok, Result

from sedgeshunt.exceptions import SettingsInvalid
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import GroupId, Seconds
from sedgeshunt.requests.outcome import Cause, NotRun

MAX_GROUPS = 16
MAX_LENGTH = 4096
MAX_KEY_ID = 255
CACHED_TOKENS = 1024

_VERSION = 1
_TAG_SIZE = 16
_DERIVED_SIZE = 32
_PURPOSE = b'sedgeshunt-token'
_BASE64_QUANTUM = 4

_Entry = tuple[GroupId, Point]


class _Parts(NamedTuple):
    prefix: bytes
    tag: bytes
    payload: bytes


_encoder = Encoder()
_decoder = Decoder(list[tuple[GroupId, Point]])


@dataclass(frozen=True, slots=True)
class SigningKey:
    """Hold one key that signs session tokens."""

    id: str
    # Excluded from logs and tracebacks.
    secret: bytes = field(repr=False)


class TokenKeys:
    """Sign with the first key and verify with any key."""

    def __init__(self, keys: Sequence[SigningKey]) -> None:
        """Use the keys in order; raise SettingsInvalid if one is unusable."""
        problems = _check_keys(keys)
        if problems:
            raise SettingsInvalid('session keys', problems)
        self._prefix = _write_prefix(keys[0].id)
        self._hashes = {
            _write_prefix(key.id): blake2b(
                key=_derive(key.secret),
                digest_size=_TAG_SIZE,
                person=_PURPOSE,
            )
            for key in keys
        }
        self._sign = lru_cache(CACHED_TOKENS)(self._sign_entries)
        self._verify = lru_cache(CACHED_TOKENS)(self._verify_text)

    def sign(self, points: Mapping[GroupId, Point]) -> str:
        """Sign the most recent points of a mapping that is ordered by use."""
        # The limit keeps the token small enough for a comment or a packet. A
        # group that is omitted costs the next read a barrier, but never makes
        # it stale.
        return self._sign(tuple(points.items())[-MAX_GROUPS:])

    def verify(self, text: str) -> Result[dict[GroupId, Point], NotRun]:
        """Return the points, or refuse a token not signed with a known key."""
        # A forged position far ahead would send all reads of the session to
        # the primary, so the payload is decoded only after the tag is verified.
        if len(text) > MAX_LENGTH:
            return Err(_refuse('is too long'))
        verified = self._verify(text)
        if isinstance(verified, Err):
            return verified
        return Ok(dict(verified.ok_value))

    def _sign_entries(self, entries: tuple[_Entry, ...]) -> str:
        payload = _encoder.encode(entries)
        tag = self._compute_tag(self._prefix, payload)
        text = urlsafe_b64encode(self._prefix + tag + payload)
        if len(text) > MAX_LENGTH:
            return self._sign_entries(entries[1:])
        return text.rstrip(b'=').decode()

    def _verify_text(self, text: str) -> Result[tuple[_Entry, ...], NotRun]:
        parts = _split_parts(_decode_base64(text))
        if parts is None:
            return Err(_refuse('is damaged'))
        if parts.prefix not in self._hashes:
            return Err(_refuse('is damaged or its key was withdrawn'))
        tag = self._compute_tag(parts.prefix, parts.payload)
        if not compare_digest(tag, parts.tag):
            return Err(_refuse('was changed on its way'))
        return _decode_payload(parts.payload)

    def _compute_tag(self, prefix: bytes, payload: bytes) -> bytes:
        hashed = self._hashes[prefix].copy()
        hashed.update(prefix)
        hashed.update(payload)
        return hashed.digest()


def _check_keys(keys: Sequence[SigningKey]) -> list[str]:
    if not keys:
        return ['there is none; give one key or more with id and secret']
    ids = [key.id for key in keys]
    problems = [
        f'id {twice} is there twice; give each key its own'
        for twice in sorted({one for one in ids if ids.count(one) > 1})
    ]
    problems += [
        f'id {key.id[:20]}... is too long; use {MAX_KEY_ID} bytes or less'
        for key in keys
        if len(key.id.encode()) > MAX_KEY_ID
    ]
    problems += [
        f'secret of {key.id} is empty; give 16 random characters or more'
        for key in keys
        if not key.secret
    ]
    return problems


def _derive(secret: bytes) -> bytes:
    # BLAKE2b takes keys of at most 64 bytes; secrets may be longer.
    return blake2b(secret, digest_size=_DERIVED_SIZE).digest()


def _write_prefix(key_id: str) -> bytes:
    encoded = key_id.encode()
    return bytes((_VERSION, len(encoded))) + encoded


def _decode_base64(text: str) -> bytes:
    padding = '=' * (-len(text) % _BASE64_QUANTUM)
    try:
        return b64decode(text + padding, altchars=b'-_', validate=True)
    except ValueError:
        return b''


def _split_parts(content: bytes) -> _Parts | None:
    if len(content) < 2 or content[0] != _VERSION:
        return None
    tag_start = 2 + content[1]
    tag_end = tag_start + _TAG_SIZE
    return _Parts(
        content[:tag_start],
        content[tag_start:tag_end],
        content[tag_end:],
    )


def _decode_payload(payload: bytes) -> Result[tuple[_Entry, ...], NotRun]:
    try:
        return Ok(tuple(_decoder.decode(payload)))
    except DecodeError:
        return Err(_refuse('is of a form that this release cannot read'))


def _refuse(fault: str) -> NotRun:
    return NotRun(
        Cause.TOKEN,
        f'the session token {fault}; open a new session without it',
        Seconds(0),
    )
