"""Track which answers proxies may have seen for each write."""

from collections.abc import Sequence

from tests.specs.promotion_state import (
    MAJORITY,
    NOBODY,
    Database,
    End,
    Safeguard,
    Scope,
    Write,
    read_end,
)

ALL = 7
BIT_COUNTS = tuple(number.bit_count() for number in range(ALL + 1))

# A database's bit, its fencing term and its log end.
Answer = tuple[int, int, End]


class Tracker:
    """Add the databases' current answers to each write."""

    # Answers are kept forever: a proxy may receive an answer late or be frozen
    # before it uses it, and any number of proxies may send requests.

    def __init__(self, scope: Scope) -> None:
        """Count answers with the safeguards of `scope`."""
        self._scope = scope
        self._known: dict[tuple[Write, tuple[Answer, ...]], Write] = {}

    def track(
        self,
        databases: Sequence[Database],
        writes: Sequence[Write],
    ) -> tuple[Write, ...]:
        """Return the writes with the current answers added."""
        if not writes:
            return ()
        answers = tuple(
            (1 << index, known.fence, read_end(known.log))
            for index, known in enumerate(databases)
        )
        return tuple([self._track(write, answers) for write in writes])

    def _track(self, write: Write, answers: tuple[Answer, ...]) -> Write:
        tracked = self._known.get((write, answers))
        if tracked is None:
            tracked = _track_write(self._scope, write, answers)
            self._known[write, answers] = tracked
        return tracked


def _track_write(
    scope: Scope,
    write: Write,
    answers: Sequence[Answer],
) -> Write:
    shown, covered, in_term = write.shown, write.covered, write.in_term
    for bit, fence, end in answers:
        if fence == write.point[0]:
            in_term |= bit
        if _is_covered(scope, write.point, end):
            if fence >= end[0] or scope.lacks(Safeguard.FENCED_LOG):
                covered |= bit
        if end >= write.point and _counts(scope, bit, fence, write, in_term):
            shown |= bit
    behind = _track_behind(scope, write, shown, answers)
    # State that no later step reads is dropped, to reduce the state space.
    if behind != NOBODY:
        shown = ALL
    if not scope.lacks(Safeguard.ONE_ANSWER):
        in_term = 0
    return Write(write.point, shown, covered, behind, in_term)


def _is_covered(scope: Scope, point: End, end: End) -> bool:
    if scope.lacks(Safeguard.LINEAGE):
        return end[1] >= point[1]
    return end >= point


def _counts(
    scope: Scope,
    bit: int,
    fence: int,
    write: Write,
    in_term: int,
) -> bool:
    if scope.lacks(Safeguard.ONE_ANSWER):
        return bool(in_term & bit)
    return fence == write.point[0]


def _track_behind(
    scope: Scope,
    write: Write,
    shown: int,
    answers: Sequence[Answer],
) -> int:
    behind = write.behind
    if behind == NOBODY:
        is_lax = scope.lacks(Safeguard.ACKNOWLEDGED_BY_MAJORITY)
        needed = 1 if is_lax else MAJORITY
        if BIT_COUNTS[shown] < needed:
            return NOBODY
        # From here on the write may be acknowledged, so a watermark of a
        # later moment has to cover it.
        behind = ALL if scope.lacks(Safeguard.ASKED_AFTER) else 0
    for bit, _fence, end in answers:
        if end < write.point:
            behind |= bit
    return behind
