"""Order log positions of a group across changes of its primary."""

from typing import NamedTuple

from sedgeshunt.identifiers import Position, Term


class Point(NamedTuple):
    """A log position of a group, ordered by term and then by position."""

    # Compared by position alone, the longer log of a superseded primary would
    # be the newer one, and a read would return writes that were lost. Each
    # primary starts its term with a record of its own, so that the tuple
    # order matches the order of the log for all acknowledged records.
    term: Term
    position: Position

    def is_covered_by(self, other: 'Point') -> bool:
        """Return whether a log that ends at `other` includes this point."""
        return self <= other


ORIGIN = Point(Term(0), Position(0))
