"""Count the outcomes of the statements of one proxy over time."""

from collections import deque
from secrets import token_hex

from sedgeshunt.burn.buckets import (
    COARSE_RETENTION,
    COARSE_WIDTH,
    FINE_WIDTH,
    MAX_KINDS,
    RETENTION_BY_WIDTH,
    BucketKey,
    Gap,
    OpenBucket,
    OutcomeCell,
    OutcomeKind,
    SealedBucket,
    TallyDocument,
    compute_step,
    encode_document,
)
from sedgeshunt.burn.objectives import ANSWERED, CALLER_CAUSES
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    ProxyId,
    Seconds,
    TargetId,
    TrafficClass,
)

OTHER_CLASS = TrafficClass('other')
_INCARNATION_BYTES = 8
NO_TARGET = TargetId('')


class Tally:
    """Keep fine buckets for an hour and coarse ones for days, in memory."""

    def __init__(self, proxy: str, incarnation: str | None = None) -> None:
        """Start empty; each run of a proxy has its own incarnation."""
        self._proxy = ProxyId(proxy)
        self._incarnation = incarnation or token_hex(_INCARNATION_BYTES)
        self._fine = OpenBucket()
        self._coarse = OpenBucket()
        self._fine_key = BucketKey(FINE_WIDTH, 0)
        self._coarse_key = BucketKey(COARSE_WIDTH, 0)
        # 0 makes the first count replace the initial bucket keys.
        self._ends_at: float = 0
        self._started_at: Monotonic | None = None
        # Stored encoded, as three days of decoded counts take many times the
        # memory that a small instance can spare for them.
        self._sealed: dict[int, deque[SealedBucket]] = {
            FINE_WIDTH: deque(),
            COARSE_WIDTH: deque(),
        }

    def record_outcome(
        self,
        traffic_class: TrafficClass,
        outcome: str,
        cause: str,
        target: str,
        latency: Seconds,
        now: Monotonic,
    ) -> None:
        """Count the outcome of one statement."""
        if now >= self._ends_at:
            self._close_ended_buckets(now)
        if cause in CALLER_CAUSES:
            # The traffic class may be the invalid attribute; a different one
            # in each request would use up memory with counts of one.
            traffic_class = OTHER_CLASS
        kind = (traffic_class, outcome, cause, TargetId(target))
        cell = self._fine.cells.get(kind)
        if cell is None:
            cell = self._add_cell(OutcomeKind(*kind))
        cell.count += 1
        if outcome in ANSWERED:
            step = compute_step(latency)
            cell.steps[step] = cell.steps.get(step, 0) + 1

    def record_gap(
        self,
        group: GroupId,
        seconds: Seconds,
        now: Monotonic,
    ) -> None:
        """Record a period without writes that has just ended."""
        if now >= self._ends_at:
            self._close_ended_buckets(now)
        if len(self._fine.gaps) < MAX_KINDS:
            self._fine.gaps.append(Gap(group, seconds, now))

    def encode(self, now: Monotonic, since: Seconds | None = None) -> bytes:
        """Encode the counts, limited to the last `since` if given."""
        self._close_ended_buckets(now)
        span = COARSE_RETENTION if since is None else since
        oldest = now - span
        buckets = [
            sealed
            for kept in self._sealed.values()
            for sealed in kept
            if _compute_end(sealed.key) >= oldest
        ]
        buckets += self._encode_open()
        return encode_document(
            TallyDocument(
                self._proxy,
                self._incarnation,
                now,
                buckets,
                started_at=self._started_at or now,
            ),
        )

    def _add_cell(self, kind: OutcomeKind) -> OutcomeCell:
        cells = self._fine.cells
        if len(cells) >= MAX_KINDS:
            kind = kind._replace(target=NO_TARGET)
        return cells.setdefault(kind, OutcomeCell(kind, 0))

    def _encode_open(self) -> list[SealedBucket]:
        coarse = OpenBucket()
        coarse.merge(self._coarse)
        coarse.merge(self._fine)
        if not coarse:
            return []
        return [
            self._fine.seal(self._fine_key),
            coarse.seal(self._coarse_key),
        ]

    def _close_ended_buckets(self, now: Monotonic) -> None:
        if now < self._ends_at:
            return
        if self._started_at is None:
            self._started_at = now
        self._seal(self._fine_key, self._fine, now)
        self._coarse.merge(self._fine)
        self._fine = OpenBucket()
        self._fine_key = _find_key(FINE_WIDTH, now)
        self._ends_at = _compute_end(self._fine_key)
        if now >= _compute_end(self._coarse_key):
            self._seal(self._coarse_key, self._coarse, now)
            self._coarse = OpenBucket()
            self._coarse_key = _find_key(COARSE_WIDTH, now)

    def _seal(
        self,
        key: BucketKey,
        bucket: OpenBucket,
        now: Monotonic,
    ) -> None:
        kept = self._sealed[key.width]
        if bucket:
            kept.append(bucket.seal(key))
        oldest = now - RETENTION_BY_WIDTH[key.width]
        while kept and _compute_end(kept[0].key) < oldest:
            kept.popleft()


def _find_key(width: int, now: Monotonic) -> BucketKey:
    return BucketKey(width, int(now // width))


def _compute_end(key: BucketKey) -> float:
    return (key.sequence + 1) * key.width
