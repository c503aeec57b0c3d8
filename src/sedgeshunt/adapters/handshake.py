"""Greet a caller, check who it is and learn what it asks for."""

from collections.abc import Mapping
from dataclasses import dataclass
from ssl import SSLContext

from mysql_mimic.auth import NativePasswordAuthPlugin, User
from mysql_mimic.charset import CharacterSet
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.packets import (
    HandshakeResponse41,
    SSLRequest,
    make_auth_switch_request,
    make_handshake_v10,
    parse_handshake_response,
)
from mysql_mimic.types import Capabilities, ServerStatus
from mysql_mimic.utils import nonce
from result import Err, Ok, Result

from sedgeshunt.adapters.malformed import reading_packet
from sedgeshunt.adapters.packet_stream import PacketStream
from sedgeshunt.adapters.refusals import ACCESS_DENIED, BAD_HANDSHAKE
from sedgeshunt.requests.outcome import Rejected

SERVER_VERSION = '8.0.36-sedgeshunt'
CAPABILITIES = DEFAULT_SERVER_CAPABILITIES | Capabilities.CLIENT_TRANSACTIONS
NATIVE_PASSWORD = 'mysql_native_password'
NONCE_SIZE = 20
TERMINATOR = b'\x00'
# A request for TLS is this long; what is longer is the full response.
TLS_REQUEST_SIZE = 32
TEXTS_IN_RESPONSE = 8
CHARSETS = frozenset(
    (CharacterSet.utf8mb4, CharacterSet.utf8, CharacterSet.ascii),
)


@dataclass(frozen=True, slots=True)
class Greeted:
    """Hold what a caller said when it connected."""

    user: str
    database: str | None
    connect_attributes: Mapping[str, str]
    capabilities: Capabilities


class Greeter:
    """Let callers in: everybody, or users with their passwords."""

    def __init__(
        self,
        users: Mapping[str, str],
        tls: SSLContext | None,
    ) -> None:
        """Admit everybody when `users` is empty."""
        self._plugin = NativePasswordAuthPlugin()
        self._users = {
            name: self._make_user(name, password)
            for name, password in users.items()
        }
        self._tls = tls
        self._capabilities = CAPABILITIES
        if tls is not None:
            self._capabilities |= Capabilities.CLIENT_SSL

    async def greet(
        self,
        stream: PacketStream,
        number: int,
    ) -> Result[Greeted, Rejected]:
        """Carry out the handshake up to its last answer."""
        challenge = nonce(NONCE_SIZE)
        stream.write(self._make_greeting(number, challenge))
        await stream.flush()
        response = await self._read_response(stream)
        if not isinstance(response, HandshakeResponse41):
            return Err(BAD_HANDSHAKE.reject('TLS is not offered here'))
        charset = response.client_charset
        if charset not in CHARSETS:
            return Err(BAD_HANDSHAKE.reject(refuse_charset(charset.name)))
        if not await self._is_admitted(stream, response, challenge):
            reason = f'access denied for user {response.username}'
            return Err(ACCESS_DENIED.reject(reason))
        return Ok(
            Greeted(
                response.username,
                response.database,
                response.connect_attrs,
                response.capabilities,
            ),
        )

    def _make_greeting(self, number: int, challenge: bytes) -> bytes:
        greeting: bytes = make_handshake_v10(
            capabilities=self._capabilities,
            server_charset=CharacterSet.utf8mb4,
            server_version=SERVER_VERSION,
            connection_id=number,
            auth_data=challenge + TERMINATOR,
            status_flags=ServerStatus.SERVER_STATUS_AUTOCOMMIT,
            auth_plugin_name=NATIVE_PASSWORD,
        )
        return greeting

    async def _read_response(
        self,
        stream: PacketStream,
    ) -> HandshakeResponse41 | SSLRequest:
        response = self._parse(await stream.read())
        if not isinstance(response, SSLRequest) or self._tls is None:
            return response
        await stream.channel.start_tls(self._tls)
        return self._parse(await stream.read())

    def _parse(self, payload: bytes) -> HandshakeResponse41 | SSLRequest:
        # The library looks for the end of a text for ever when there is
        # none: one broken packet would hold up the whole process.
        if len(payload) > TLS_REQUEST_SIZE:
            payload += TERMINATOR * TEXTS_IN_RESPONSE
        with reading_packet():
            return parse_handshake_response(self._capabilities, payload)

    async def _is_admitted(
        self,
        stream: PacketStream,
        response: HandshakeResponse41,
        challenge: bytes,
    ) -> bool:
        if not self._users:
            return True
        scramble = response.auth_response
        if response.client_plugin not in {None, NATIVE_PASSWORD}:
            challenge = nonce(NONCE_SIZE)
            stream.write(_make_switch(challenge))
            await stream.flush()
            scramble = await stream.read()
        user = self._users.get(response.username)
        return user is not None and self._plugin.password_matches(
            user=user,
            scramble=scramble,
            nonce=challenge,
        )

    def _make_user(self, name: str, password: str) -> User:
        kept = self._plugin.create_auth_string(password) if password else None
        return User(name, kept, NATIVE_PASSWORD)


def refuse_charset(name: str) -> str:
    """Tell that a character set can't be used, and which can."""
    return f'character set {name} is not supported; connect with utf8mb4'


def _make_switch(challenge: bytes) -> bytes:
    request: bytes = make_auth_switch_request(
        server_charset=CharacterSet.utf8mb4,
        plugin_name=NATIVE_PASSWORD,
        plugin_provided_data=challenge + TERMINATOR,
    )
    return request
