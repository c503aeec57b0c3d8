"""Order the places in a group's log, also across changes of primary."""

from typing import NamedTuple

from sedgeshunt.identifiers import Position, Term


class Point(NamedTuple):
    """Name one place in a group's log by term first, then by position."""

    # Comparing the position alone would call a superseded primary's longer
    # log the newer one; a reader would see writes that were never kept. A
    # promoted primary opens its term with a record of its own, so the tuple
    # order is the order of histories for every acknowledged record.
    term: Term
    position: Position

    def is_covered_by(self, other: 'Point') -> bool:
        """Tell whether a log that ends at `other` includes this point."""
        return self <= other


ORIGIN = Point(Term(0), Position(0))
