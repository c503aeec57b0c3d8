"""Define the time buckets in which outcomes are counted."""

from typing import NamedTuple
from zlib import compress, decompress
from zlib import error as ZlibError

from msgspec import DecodeError, Struct, field
from msgspec.msgpack import Decoder, Encoder

from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    ProxyId,
    Seconds,
    TargetId,
    TrafficClass,
)

FINE_WIDTH = 10
FINE_RETENTION = Seconds(3600)
COARSE_WIDTH = 900
COARSE_RETENTION = Seconds(3 * 24 * 3600)
RETENTION_BY_WIDTH = {
    FINE_WIDTH: FINE_RETENTION,
    COARSE_WIDTH: COARSE_RETENTION,
}
# Limit on distinct kinds, and on gaps, in one bucket of a tally. Outcomes of
# further kinds are counted without their target, further gaps are dropped.
MAX_KINDS = 256

# The latency histogram divides each power of two into eight equal steps.
_UNITS_PER_SECOND = 10000
_SUBSTEP_BITS = 3
_COMPRESSION_LEVEL = 1


class OutcomeKind(NamedTuple):
    """Identify the outcomes that are counted together."""

    traffic_class: TrafficClass
    outcome: str
    cause: str
    target: TargetId


_KindTuple = tuple[TrafficClass, str, str, TargetId]


class OutcomeCell(Struct, array_like=True):
    """Count the outcomes of one kind, with a latency histogram."""

    kind: OutcomeKind
    count: int
    # Filled only for outcomes in which the caller got an answer.
    steps: dict[int, int] = field(default_factory=dict)

    def add(self, other: 'OutcomeCell') -> None:
        """Add the counts of another cell of the same kind."""
        self.count += other.count
        for step, count in other.steps.items():
            self.steps[step] = self.steps.get(step, 0) + count


class Gap(Struct, frozen=True, array_like=True):
    """Describe a period in which a group accepted no writes."""

    group: GroupId
    seconds: Seconds
    ended_at: Monotonic


class BucketKey(Struct, frozen=True, array_like=True):
    """Identify a bucket by its position on the clock of its proxy."""

    width: int
    sequence: int


class Bucket(Struct, array_like=True):
    """Hold what one proxy counted in one interval of its clock."""

    width: int
    sequence: int
    cells: list[OutcomeCell]
    gaps: list[Gap]


class SealedBucket(Struct, frozen=True, array_like=True):
    """Hold a separately compressed bucket, for storage and transfer."""

    # Compressing days of counts for each reply would block the event loop,
    # and so the proxy's statements, for a tenth of a second. Each bucket is
    # therefore compressed once, when it is complete.

    key: BucketKey
    counts: bytes


class TallyDocument(Struct):
    """Hold the buckets of one proxy, as sent between proxies."""

    proxy: ProxyId
    # Distinguishes the runs of one proxy, as each has its own clock.
    incarnation: str
    # The proxy's clock when it encoded the document.
    clock: Monotonic
    buckets: list[SealedBucket]
    # Set by a peer that forwards its copy, with the age of that copy.
    is_copy: bool = False
    waited: Seconds = Seconds(0)
    # The proxy's clock when this run started counting.
    started_at: Monotonic = Monotonic(0)


class OpenBucket(Struct):
    """Accumulate the counts of a bucket that has not ended yet."""

    # Plain tuples serve as lookup keys, as they equal an OutcomeKind and
    # are cheaper to create.
    cells: dict[_KindTuple, OutcomeCell] = field(default_factory=dict)
    gaps: list[Gap] = field(default_factory=list)

    def merge(self, other: 'OpenBucket') -> None:
        """Add the counts of a bucket whose interval lies within this one."""
        for kind, cell in other.cells.items():
            own = self.cells.get(kind)
            if own is None:
                own = OutcomeCell(cell.kind, 0)
                self.cells[kind] = own
            own.add(cell)
        self.gaps.extend(other.gaps)

    def seal(self, key: BucketKey) -> SealedBucket:
        """Encode and compress the counts."""
        cells = list(self.cells.values())
        bucket = Bucket(key.width, key.sequence, cells, self.gaps)
        encoded = _encoder.encode(bucket)
        return SealedBucket(key, compress(encoded, _COMPRESSION_LEVEL))

    def __bool__(self) -> bool:
        """Return whether anything was counted."""
        return bool(self.cells or self.gaps)


_encoder = Encoder()
_document_decoder = Decoder(TallyDocument)
_bucket_decoder = Decoder(Bucket)


def encode_document(document: TallyDocument) -> bytes:
    """Encode a document for transfer."""
    return _encoder.encode(document)


def decode_document(encoded: bytes) -> TallyDocument:
    """Decode a document; raise msgspec.DecodeError if it is invalid."""
    return _document_decoder.decode(encoded)


def decode_bucket(sealed: SealedBucket) -> Bucket:
    """Decode one bucket; raise msgspec.DecodeError if it is invalid."""
    try:
        return _bucket_decoder.decode(decompress(sealed.counts))
    except ZlibError as failure:
        raise DecodeError(str(failure)) from failure


def compute_step(latency: Seconds) -> int:
    """Return the index of the histogram step that contains `latency`."""
    units = int(latency * _UNITS_PER_SECOND)
    shift = max(0, units.bit_length() - _SUBSTEP_BITS - 1)
    return (shift << _SUBSTEP_BITS) + (units >> shift)
