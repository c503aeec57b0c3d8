"""Keep copies of other proxies' tallies, which are not stored on disk."""

from collections import defaultdict
from collections.abc import Collection, Iterable
from contextlib import suppress
from dataclasses import dataclass, field

from msgspec import DecodeError

from sedgeshunt.burn.buckets import (
    COARSE_RETENTION,
    FINE_WIDTH,
    RETENTION_BY_WIDTH,
    Bucket,
    BucketKey,
    SealedBucket,
    TallyDocument,
    decode_bucket,
    decode_document,
    encode_document,
)
from sedgeshunt.identifiers import Monotonic, ProxyId, Seconds

# Limit on runs of other proxies; the least recently updated are dropped.
MAX_COPIES = 64

RunId = tuple[ProxyId, str]
_BucketId = tuple[RunId, BucketKey]


@dataclass(slots=True)
class _Copy:
    document: TallyDocument
    received_at: Monotonic
    buckets: dict[BucketKey, SealedBucket] = field(default_factory=dict)


class TallyCopies:
    """Keep the counts of other proxies beyond their restarts."""

    def __init__(self) -> None:
        """Start without copies."""
        self._copies: dict[RunId, _Copy] = {}

    def find_missing(self, proxy: ProxyId, now: Monotonic) -> Seconds | None:
        """Return how far back to ask `proxy`, or None for all counts."""
        received = [
            copy.received_at
            for run, copy in self._copies.items()
            if run[0] == proxy
        ]
        if not received:
            return None
        # Buckets are selected by their end, so those that were open at the
        # last fetch are sent again. The margin of one fine bucket covers the
        # transfer time of the reply.
        return Seconds(now - max(received) + FINE_WIDTH)

    def add(self, encoded: bytes, now: Monotonic) -> None:
        """Add the reply of a proxy; raise DecodeError if it is invalid."""
        document = decode_document(encoded)
        run = (document.proxy, document.incarnation)
        known = self._copies.pop(run, None)
        copy = known or _Copy(document, Monotonic(now - document.waited))
        if document.clock >= copy.document.clock:
            copy.document = document
            copy.received_at = Monotonic(now - document.waited)
            copy.buckets |= _index_buckets(document)
        self._copies[run] = copy
        self._prune(now)

    def encode(
        self,
        now: Monotonic,
        proxies: Collection[ProxyId] = (),
    ) -> list[bytes]:
        """Encode the copies of `proxies`, or all, with their ages."""
        return [
            encode_document(
                TallyDocument(
                    copy.document.proxy,
                    copy.document.incarnation,
                    copy.document.clock,
                    list(copy.buckets.values()),
                    is_copy=True,
                    waited=Seconds(now - copy.received_at),
                    started_at=copy.document.started_at,
                ),
            )
            for run, copy in self._copies.items()
            if not proxies or run[0] in proxies
        ]

    def _prune(self, now: Monotonic) -> None:
        while len(self._copies) > MAX_COPIES:
            self._copies.pop(next(iter(self._copies)))
        for copy in self._copies.values():
            clock = copy.document.clock + now - copy.received_at
            copy.buckets = {
                key: sealed
                for key, sealed in copy.buckets.items()
                if _compute_age(key, clock) < RETENTION_BY_WIDTH[key.width]
            }


@dataclass(frozen=True, slots=True)
class DatedBucket:
    """Hold a bucket and how long ago it ended, negative if it is open."""

    bucket: Bucket
    ended_ago: Seconds
    # Current time on its proxy's clock, to compute the ages of its gaps.
    clock: Seconds

    @property
    def key(self) -> BucketKey:
        """Return the position of the bucket on the clock of its proxy."""
        return BucketKey(self.bucket.width, self.bucket.sequence)


@dataclass(frozen=True, slots=True)
class MergedTallies:
    """Hold each bucket once, and the proxies that answered themselves."""

    buckets: tuple[DatedBucket, ...]
    answered: frozenset[ProxyId]
    # Proxies that started counting recently and of which no earlier run is
    # known.
    without_past: frozenset[ProxyId]


def merge_tallies(encoded: Iterable[bytes]) -> MergedTallies:
    """Merge tallies and copies so that each bucket counts once."""
    documents = sorted(_decode_all(encoded), key=_get_clock)
    buckets: list[DatedBucket] = []
    answered = {each.proxy for each in documents if not each.is_copy}
    for document, sealed in _pick_latest(documents):
        try:
            buckets.append(_decode_dated(document, sealed))
        except DecodeError:
            answered.discard(document.proxy)
    return MergedTallies(
        tuple(buckets),
        frozenset(answered),
        _find_without_past(documents),
    )


def _pick_latest(
    documents: Iterable[TallyDocument],
) -> Iterable[tuple[TallyDocument, SealedBucket]]:
    # A bucket may come from its proxy and from each peer with a copy. The
    # version with the latest clock is the most complete, and is last in order.
    latest: dict[_BucketId, tuple[TallyDocument, SealedBucket]] = {}
    for document in documents:
        run = (document.proxy, document.incarnation)
        for sealed in document.buckets:
            latest[run, sealed.key] = (document, sealed)
    return latest.values()


def _find_without_past(
    documents: Iterable[TallyDocument],
) -> frozenset[ProxyId]:
    runs: defaultdict[ProxyId, set[str]] = defaultdict(set)
    recent: set[ProxyId] = set()
    for document in documents:
        runs[document.proxy].add(document.incarnation)
        counted_for = document.clock - document.started_at
        if not document.is_copy and counted_for < COARSE_RETENTION:
            recent.add(document.proxy)
    return frozenset(proxy for proxy in recent if len(runs[proxy]) == 1)


def _decode_all(encoded: Iterable[bytes]) -> list[TallyDocument]:
    documents = []
    for each in encoded:
        # A document in the format of another release is skipped, and its
        # proxy is reported as missing.
        with suppress(DecodeError):
            documents.append(decode_document(each))
    return documents


def _decode_dated(document: TallyDocument, sealed: SealedBucket) -> DatedBucket:
    clock = Seconds(document.clock + document.waited)
    ends_at = (sealed.key.sequence + 1) * sealed.key.width
    bucket = decode_bucket(sealed)
    return DatedBucket(bucket, Seconds(clock - ends_at), clock)


def _get_clock(document: TallyDocument) -> Monotonic:
    return document.clock


def _index_buckets(document: TallyDocument) -> dict[BucketKey, SealedBucket]:
    return {sealed.key: sealed for sealed in document.buckets}


def _compute_age(key: BucketKey, clock: float) -> float:
    return clock - (key.sequence + 1) * key.width
