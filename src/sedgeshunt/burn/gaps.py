"""Report the periods in which groups accepted no writes."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from sedgeshunt.burn.buckets import COARSE_WIDTH
from sedgeshunt.burn.copies import DatedBucket
from sedgeshunt.configuration.objects import Objective
from sedgeshunt.identifiers import GroupId, Seconds

MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class DatedGap:
    """Hold the length of a gap and how long ago it ended."""

    seconds: Seconds
    ended_ago: Seconds


@dataclass(frozen=True, slots=True)
class GapReport:
    """Hold the gaps of one group, the latest first."""

    group: GroupId
    gaps: tuple[DatedGap, ...]

    @property
    def longest(self) -> Seconds:
        """Return the length of the longest gap."""
        return max(gap.seconds for gap in self.gaps)

    def count_over(self, objective: Objective) -> int:
        """Count the gaps longer than the objective allows."""
        allowed = objective.failover_gap_ms / MILLISECONDS
        return sum(gap.seconds > allowed for gap in self.gaps)


def list_gaps(
    buckets: Iterable[DatedBucket],
    only: GroupId | None = None,
) -> tuple[GapReport, ...]:
    """List the gaps of each group, merging reports of several proxies."""
    by_group: defaultdict[GroupId, list[DatedGap]] = defaultdict(list)
    for dated in buckets:
        if dated.bucket.width != COARSE_WIDTH:
            continue
        for gap in dated.bucket.gaps:
            ended_ago = Seconds(dated.clock - gap.ended_at)
            by_group[gap.group].append(DatedGap(gap.seconds, ended_ago))
    return tuple(
        GapReport(group, _merge_overlapping(by_group[group]))
        for group in sorted(by_group)
        if only in {None, group}
    )


def _merge_overlapping(gaps: list[DatedGap]) -> tuple[DatedGap, ...]:
    merged: list[DatedGap] = []
    for gap in sorted(gaps, key=_get_ended_ago):
        last = merged[-1] if merged else None
        if last is None or gap.ended_ago > last.ended_ago + last.seconds:
            merged.append(gap)
            continue
        # Proxies detect the same failover at slightly different times; the
        # union of their gaps is the period in which no write was accepted.
        start = max(
            last.ended_ago + last.seconds,
            gap.ended_ago + gap.seconds,
        )
        merged[-1] = DatedGap(
            Seconds(start - last.ended_ago),
            last.ended_ago,
        )
    return tuple(merged)


def _get_ended_ago(gap: DatedGap) -> Seconds:
    return gap.ended_ago
