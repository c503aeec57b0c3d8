"""Copy records from one log to another."""

from tests.specs.promotion_state import Database, Log


def copy_next(log: Log, source: Log) -> Log:
    """Return the log of a replica after it copies the next record."""
    shared = 0
    for own, other in zip(log, source, strict=False):
        if own != other:
            break
        shared += 1
    # Records that the source lacks are dropped in the same step.
    return source[: shared + 1]


def copy_late(known: Database, source: Log) -> Log:
    """Return the log of a fenced database after a late record."""
    length = len(known.log)
    if source[:length] != known.log or len(source) == length:
        return known.log
    if source[length][0] >= known.fence:
        return known.log
    return source[: length + 1]
