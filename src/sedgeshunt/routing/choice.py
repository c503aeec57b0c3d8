"""Rank the targets that may serve a read."""

from collections.abc import Mapping, Sequence
from random import random

from msgspec import Struct

from sedgeshunt.configuration.objects import Route, Target
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, ZoneId
from sedgeshunt.routing.health import GroupHealth
from sedgeshunt.routing.judging import Judge, ReadNeed
from sedgeshunt.routing.verdicts import Rule, Verdict
from sedgeshunt.routing.views import FreshnessView, Load

__all__ = ('Ranking', 'ReadNeed', 'ReadRouter', 'Rule', 'Verdict')

# A target in another availability zone comes first only if the own one is
# busier by more than this wait.
ZONE_COST = Seconds(0.004)
# Waits and ages that differ by less are alike.
WAIT_STEP = Seconds(0.002)
AGE_STEP = Seconds(0.1)
UNKNOWN_AGE = Seconds(3600)


class Ranking(Struct, frozen=True):
    """Hold the targets to try, best first, and a verdict on each."""

    # Ejected targets are in it only when there is nobody else.
    eligible: tuple[TargetId, ...]
    verdicts: tuple[Verdict, ...]
    # The replica that is nearest to what no replica can serve yet.
    may_catch_up: TargetId | None
    # The first is a replica in good health, not a probe nor the primary.
    leads_with_replica: bool = False

    def describe(self) -> str:
        """Explain the ranking in one line."""
        if not self.verdicts:
            return 'the group has no targets'
        return '; '.join(
            f'{verdict.target}: {verdict.detail}' for verdict in self.verdicts
        )


class ReadRouter:
    """Rank the targets of one group as seen from one availability zone."""

    def __init__(
        self,
        zone: ZoneId,
        health: GroupHealth,
        loads: Mapping[TargetId, Load],
    ) -> None:
        """Read each target's load from `loads` at the moment of ranking."""
        self.health = health
        self._zone = zone
        self._loads = loads

    def rank(
        self,
        view: FreshnessView,
        targets: Sequence[Target],
        route: Route,
        need: ReadNeed,
        now: Monotonic,
        *,
        may_probe: bool = True,
    ) -> Ranking:
        """Rank replicas before the primary; explaining claims no probe."""
        judge = Judge(
            self._zone,
            view,
            self.health,
            route,
            need,
            now,
            may_probe,
        )
        verdicts = [
            judge.judge(target, self._measure_wait(target.name, now))
            for target in targets
        ]
        return _rank(verdicts)

    def _measure_wait(self, target: TargetId, now: Monotonic) -> Seconds:
        load = self._loads.get(target)
        return Seconds(0) if load is None else load.expected_wait(now)


def _rank(verdicts: Sequence[Verdict]) -> Ranking:
    able = [verdict for verdict in verdicts if verdict.rule is None]
    replicas = [verdict for verdict in able if not verdict.facts.is_primary]
    primaries = [verdict for verdict in able if verdict.facts.is_primary]
    order = [*_sort(replicas), *_sort(primaries)]
    # Ejection is a guess. With nobody else left a target that may be slow is
    # better for the caller than no answer.
    order = order or _sort(
        [verdict for verdict in verdicts if verdict.rule is Rule.EJECTED],
    )
    return Ranking(
        eligible=tuple(verdict.target for verdict in order),
        verdicts=tuple(
            _leave_to_replicas(verdict) if replicas else verdict
            for verdict in verdicts
        ),
        may_catch_up=None if replicas else _find_nearest(verdicts),
        leads_with_replica=bool(replicas) and not order[0].is_probe,
    )


def _sort(verdicts: list[Verdict]) -> list[Verdict]:
    if len(verdicts) < 2:
        return verdicts
    return sorted(verdicts, key=_compute_cost)


def _compute_cost(verdict: Verdict) -> tuple[bool, int, int, float]:
    facts = verdict.facts
    # A probe goes first, or a readmitted target would never be asked while
    # others are near and idle.
    distance = 0 if facts.is_near else ZONE_COST
    age = UNKNOWN_AGE if facts.age is None else facts.age
    return (
        not verdict.is_probe,
        int((facts.wait + distance) / WAIT_STEP),
        int(age / AGE_STEP),
        random(),
    )


def _leave_to_replicas(verdict: Verdict) -> Verdict:
    if verdict.rule is not None or not verdict.facts.is_primary:
        return verdict
    return Verdict(verdict.target, Rule.LEFT_TO_REPLICAS, verdict.facts)


def _find_nearest(verdicts: Sequence[Verdict]) -> TargetId | None:
    behind = [
        verdict
        for verdict in verdicts
        if verdict.rule in {Rule.NOT_COVERED, Rule.TOO_STALE}
        and not verdict.facts.is_primary
    ]
    if not behind:
        return None
    return max(behind, key=_compute_nearness).target


def _compute_nearness(verdict: Verdict) -> tuple[tuple[int, int], bool]:
    return verdict.facts.log_end or (0, 0), verdict.facts.is_near
