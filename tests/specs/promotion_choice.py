"""Choose the database to promote among those that were fenced."""

from itertools import combinations

from tests.specs.promotion_state import (
    MAJORITY,
    UNKNOWN_END,
    End,
    Safeguard,
    Scope,
)


def choose(scope: Scope, ends: tuple[End, ...]) -> set[int]:
    """Return the databases that may be promoted, by their log ends."""
    fenced = [index for index, end in enumerate(ends) if end != UNKNOWN_END]
    is_lax = scope.lacks(Safeguard.FENCE_MAJORITY)
    needed = 1 if is_lax else MAJORITY
    chosen: set[int] = set()
    # The choice may be made before the last fences are answered.
    for size in range(needed, len(fenced) + 1):
        for known in combinations(fenced, size):
            chosen.update(_choose_among(scope, ends, known))
    return chosen


def _choose_among(
    scope: Scope,
    ends: tuple[End, ...],
    known: tuple[int, ...],
) -> set[int]:
    pools = {known}
    if len(known) > MAJORITY or scope.lacks(Safeguard.AVOID_SAFELY):
        pools.update(combinations(known, len(known) - 1))
    by_term = not scope.lacks(Safeguard.HIGHEST_POINT)
    chosen: set[int] = set()
    for pool in filter(None, pools):
        ranks = {
            index: ends[index] if by_term else ends[index][1:] for index in pool
        }
        best = max(ranks.values())
        chosen.update(index for index, rank in ranks.items() if rank == best)
    return chosen
