"""Keep copies of other proxies' tallies, as nothing is kept on disk."""

from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field

from msgspec import DecodeError, Raw

from sedgeshunt.burn.buckets import (
    COARSE_WIDTH,
    HORIZONS,
    Bucket,
    BucketKey,
    TallyDocument,
    decode_bucket,
    decode_document,
    decode_key,
    encode_document,
)
from sedgeshunt.identifiers import Monotonic, ProxyId, Seconds

# Runs of other proxies that are remembered, those heard last.
MAX_COPIES = 64

RunId = tuple[ProxyId, str]


@dataclass(slots=True)
class _Copy:
    document: TallyDocument
    received_at: Monotonic
    buckets: dict[BucketKey, Raw] = field(default_factory=dict)


class TallyCopies:
    """Keep what other proxies counted, also after they restarted."""

    def __init__(self) -> None:
        """Start without copies."""
        self._copies: dict[RunId, _Copy] = {}

    def find_missing(self, proxy: ProxyId, now: Monotonic) -> Seconds | None:
        """Return how far back to ask `proxy`, None for all it has."""
        heard = [
            copy.received_at
            for run, copy in self._copies.items()
            if run[0] == proxy
        ]
        if not heard:
            return None
        # The buckets that were open at that time are asked for once more.
        return Seconds(now - max(heard) + 2 * COARSE_WIDTH)

    def keep(self, encoded: bytes, now: Monotonic) -> None:
        """Take in what a proxy answered; raise DecodeError if unreadable."""
        document = decode_document(encoded)
        run = (document.proxy, document.incarnation)
        known = self._copies.pop(run, None)
        copy = known or _Copy(document, now)
        if document.clock >= copy.document.clock:
            copy.document = document
            copy.received_at = now
            copy.buckets |= _index(document)
        self._copies[run] = copy
        self._prune(now)

    def encode(self, now: Monotonic) -> list[bytes]:
        """Write all copies, each with the time since it was heard."""
        return [
            encode_document(
                TallyDocument(
                    copy.document.proxy,
                    copy.document.incarnation,
                    copy.document.clock,
                    list(copy.buckets.values()),
                    is_copy=True,
                    waited=Seconds(now - copy.received_at),
                ),
            )
            for copy in self._copies.values()
        ]

    def _prune(self, now: Monotonic) -> None:
        while len(self._copies) > MAX_COPIES:
            self._copies.pop(next(iter(self._copies)))
        for copy in self._copies.values():
            clock = copy.document.clock + now - copy.received_at
            copy.buckets = {
                key: encoded
                for key, encoded in copy.buckets.items()
                if _compute_age(key, clock) < HORIZONS[key.width]
            }


@dataclass(frozen=True, slots=True)
class DatedBucket:
    """Hold a bucket and how long ago it ended, below 0 if it is open."""

    bucket: Bucket
    ended_ago: Seconds
    # What its proxy's clock shows now, to date the gaps within.
    clock: Seconds

    @property
    def key(self) -> BucketKey:
        """Return the bucket's place on its proxy's clock."""
        return BucketKey(self.bucket.width, self.bucket.sequence)


@dataclass(frozen=True, slots=True)
class MergedTallies:
    """Hold each bucket once, and who answered for itself."""

    buckets: tuple[DatedBucket, ...]
    answered: frozenset[ProxyId]


def merge_tallies(encoded: Iterable[bytes]) -> MergedTallies:
    """Bring tallies and copies together, each bucket counted once."""
    documents = sorted(_decode_all(encoded), key=_get_clock)
    # A bucket arrives from its proxy and from every peer with a copy. The
    # one with the latest clock is the fullest, and it comes last.
    merged: dict[tuple[RunId, BucketKey], DatedBucket] = {}
    for document in documents:
        run = (document.proxy, document.incarnation)
        for dated in _date_buckets(document):
            merged[run, dated.key] = dated
    return MergedTallies(
        tuple(merged.values()),
        frozenset(each.proxy for each in documents if not each.is_copy),
    )


def _decode_all(encoded: Iterable[bytes]) -> list[TallyDocument]:
    documents = []
    for each in encoded:
        # One that another release wrote in another form is left out, and
        # its proxy is reported as missing.
        with suppress(DecodeError):
            documents.append(decode_document(each))
    return documents


def _date_buckets(document: TallyDocument) -> Iterator[DatedBucket]:
    clock = Seconds(document.clock + document.waited)
    for encoded in document.buckets:
        bucket = decode_bucket(encoded)
        ended = (bucket.sequence + 1) * bucket.width
        yield DatedBucket(bucket, Seconds(clock - ended), clock)


def _get_clock(document: TallyDocument) -> Monotonic:
    return document.clock


def _index(document: TallyDocument) -> dict[BucketKey, Raw]:
    return {decode_key(encoded): encoded for encoded in document.buckets}


def _compute_age(key: BucketKey, clock: float) -> float:
    return clock - (key.sequence + 1) * key.width
