"""Turn places, spans and documents into what frames hold, and back."""

from typing import Any

from sedgeshunt.adapters.forwarding_frames import (
    WirePlace,
)
from sedgeshunt.adapters.packing import unpack
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    Position,
    Seconds,
    Term,
)

# A frame holds one message of a caller, 1 MiB, and what goes with it; or a
# configuration of that size.
LONGEST_FRAME = 4 * 1024 * 1024
MILLISECONDS = 1000


def make_place(point: Point | None) -> Any:
    """Return a place in a log as frames have it."""
    return None if point is None else WirePlace(point.term, point.position)


def read_place(raw: Any) -> Point | None:
    """Return the place that a frame names."""
    return (
        None if raw is None else Point(Term(raw.term), Position(raw.position))
    )


def count_ms(span: Seconds) -> int:
    """Return a span in whole milliseconds."""
    return round(span * MILLISECONDS)


def read_ms(span: int | None) -> Seconds:
    """Return a span of milliseconds, none for 0."""
    return Seconds((span or 0) / MILLISECONDS)


def unpack_document(raw: Any) -> bytes | None:
    """Return the document that a frame brings."""
    return unpack(
        raw.document,
        is_packed=bool(raw.is_packed),
        longest=LONGEST_FRAME,
    )
