"""Place changes in the history of a store that may go back."""

from sedgeshunt.identifiers import Era, Revision

# A store gives the same counts out again in its next era.
COUNT_BITS = 40
COUNT_MASK = (1 << COUNT_BITS) - 1
NOTHING = Revision(0)


def make_revision(era: Era, count: int) -> Revision:
    """Return the place of a change; a count of 0 is no change in any era."""
    return Revision(era << COUNT_BITS | count) if count else NOTHING


def begin_era(era: Era) -> Revision:
    """Return a place before all changes of an era, and after older ones."""
    return Revision(era << COUNT_BITS)


def read_era(revision: Revision) -> Era:
    """Return the era of a change."""
    return Era(revision >> COUNT_BITS)


def read_count(revision: Revision) -> int:
    """Return the store's own count of a change, within its era."""
    return revision & COUNT_MASK
