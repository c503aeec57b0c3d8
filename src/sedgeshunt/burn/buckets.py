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
# Different kinds counted in one bucket; further ones go without a target.
MAX_KINDS = 256

# Latencies are counted in steps of an eighth of a power of two.
_UNITS_PER_SECOND = 10000
_SUBSTEP_BITS = 3
_COMPRESSION = 1


class OutcomeKind(NamedTuple):
    """Tell alike outcomes from others."""

    traffic_class: TrafficClass
    outcome: str
    cause: str
    target: TargetId


_Kind = tuple[TrafficClass, str, str, TargetId]


class OutcomeCell(Struct, array_like=True):
    """Count the outcomes of one kind, and their latencies by step."""

    kind: OutcomeKind
    count: int
    # Kept for answers only.
    steps: dict[int, int] = field(default_factory=dict)

    def add(self, other: 'OutcomeCell') -> None:
        """Add the counts of another cell of the same kind."""
        self.count += other.count
        for step, count in other.steps.items():
            self.steps[step] = self.steps.get(step, 0) + count


class Gap(Struct, frozen=True, array_like=True):
    """Hold a span in which a group took no writes, and when it ended."""

    group: GroupId
    seconds: Seconds
    ended_at: Monotonic


class BucketKey(Struct, frozen=True, array_like=True):
    """Place a bucket on the clock of the proxy that counted."""

    width: int
    sequence: int


class Bucket(Struct, array_like=True):
    """Hold what one proxy counted in one span of its clock."""

    width: int
    sequence: int
    cells: list[OutcomeCell]
    gaps: list[Gap]


class SealedBucket(Struct, frozen=True, array_like=True):
    """Hold a bucket as it is kept and travels, compressed by itself."""

    # Compressing days of counts for one answer would hold up the statements
    # of a proxy for a tenth of a second; buckets need it once, one by one.

    key: BucketKey
    counts: bytes


class TallyDocument(Struct):
    """Hold one proxy's buckets as they travel."""

    proxy: ProxyId
    # Tells the runs of one proxy apart: each has a clock of its own.
    incarnation: str
    # The proxy's clock when it wrote the document.
    clock: Monotonic
    buckets: list[SealedBucket]
    # Set by a peer that passes on its copy, with the time since it came.
    is_copy: bool = False
    waited: Seconds = Seconds(0)
    # The proxy's clock when this run began to count.
    started_at: Monotonic = Monotonic(0)


class OpenBucket(Struct):
    """Count into a bucket that is not over yet."""

    # Found by a plain tuple too, which costs less to make than a kind.
    cells: dict[_Kind, OutcomeCell] = field(default_factory=dict)
    gaps: list[Gap] = field(default_factory=list)

    def absorb(self, other: 'OpenBucket') -> None:
        """Add the counts of a bucket that lies within this one."""
        for kind, cell in other.cells.items():
            own = self.cells.get(kind)
            if own is None:
                own = OutcomeCell(cell.kind, 0)
                self.cells[kind] = own
            own.add(cell)
        self.gaps.extend(other.gaps)

    def seal(self, key: BucketKey) -> SealedBucket:
        """Write the counts as a finished bucket."""
        cells = list(self.cells.values())
        bucket = Bucket(key.width, key.sequence, cells, self.gaps)
        encoded = _encoder.encode(bucket)
        return SealedBucket(key, compress(encoded, _COMPRESSION))

    def __bool__(self) -> bool:
        """Tell whether anything was counted."""
        return bool(self.cells or self.gaps)


_encoder = Encoder()
_document_decoder = Decoder(TallyDocument)
_bucket_decoder = Decoder(Bucket)


def encode_document(document: TallyDocument) -> bytes:
    """Write a document as it travels."""
    return _encoder.encode(document)


def decode_document(encoded: bytes) -> TallyDocument:
    """Read a document; raise msgspec.DecodeError if it is none."""
    return _document_decoder.decode(encoded)


def decode_bucket(sealed: SealedBucket) -> Bucket:
    """Read one bucket of a document; raise msgspec.DecodeError."""
    try:
        return _bucket_decoder.decode(decompress(sealed.counts))
    except ZlibError as fault:
        raise DecodeError(str(fault)) from fault


def compute_step(latency: Seconds) -> int:
    """Return the number of the step that `latency` falls in."""
    units = int(latency * _UNITS_PER_SECOND)
    shift = max(0, units.bit_length() - _SUBSTEP_BITS - 1)
    return (shift << _SUBSTEP_BITS) + (units >> shift)
