"""Rank the targets that may serve a read."""

from collections.abc import Mapping, Sequence
from random import random

from msgspec import Struct

from sedgeshunt.configuration.objects import Route, Target
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, ZoneId
from sedgeshunt.routing.assessments import Assessment, ExclusionRule
from sedgeshunt.routing.assessor import ReadNeed, TargetAssessor
from sedgeshunt.routing.health import GroupHealth
from sedgeshunt.routing.views import FreshnessView, Load

__all__ = ('Ranking', 'ReadNeed', 'ReadRouter', 'ExclusionRule', 'Assessment')

# Wait added to targets in other availability zones: one is preferred only if
# the expected wait in the own zone is longer by more than this.
OTHER_ZONE_COST = Seconds(0.004)
# Waits and ages are compared in steps of this size.
WAIT_STEP = Seconds(0.002)
AGE_STEP = Seconds(0.1)
UNKNOWN_AGE = Seconds(3600)


class Ranking(Struct, frozen=True):
    """Targets to try, best first, and the assessments of all targets."""

    # Contains ejected targets only if no other target is eligible.
    eligible: tuple[TargetId, ...]
    assessments: tuple[Assessment, ...]
    # The replica with the highest log end if no replica can serve the read.
    catch_up_candidate: TargetId | None
    # Whether the first target is a healthy replica, not a probe or primary.
    is_replica_first: bool = False

    def describe(self) -> str:
        """Explain the ranking in one line."""
        if not self.assessments:
            return 'the group has no targets'
        return '; '.join(
            f'{assessment.target}: {assessment.detail}'
            for assessment in self.assessments
        )


class ReadRouter:
    """Rank the targets of one group as seen from one availability zone."""

    def __init__(
        self,
        zone: ZoneId,
        health: GroupHealth,
        loads: Mapping[TargetId, Load],
    ) -> None:
        """Read each target's load from `loads` when ranking."""
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
        """Rank the targets for a read, replicas before the primary.

        Without `may_probe`, as for an explanation, no probe is claimed.
        """
        assessor = TargetAssessor(
            self._zone,
            view,
            self.health,
            route,
            need,
            now,
            may_probe,
        )
        assessments = [
            assessor.assess(target, self._measure_wait(target.name, now))
            for target in targets
        ]
        return _rank(assessments)

    def _measure_wait(self, target: TargetId, now: Monotonic) -> Seconds:
        load = self._loads.get(target)
        return Seconds(0) if load is None else load.expected_wait(now)


def _rank(assessments: Sequence[Assessment]) -> Ranking:
    eligible = [
        assessment for assessment in assessments if assessment.rule is None
    ]
    replicas = [
        assessment for assessment in eligible if not assessment.facts.is_primary
    ]
    primaries = [
        assessment for assessment in eligible if assessment.facts.is_primary
    ]
    order = [*_sort(replicas), *_sort(primaries)]
    # An ejected target may still work. If no other is left, a slow answer is
    # better for the caller than none.
    order = order or _sort(
        [
            assessment
            for assessment in assessments
            if assessment.rule is ExclusionRule.EJECTED
        ],
    )
    return Ranking(
        eligible=tuple(assessment.target for assessment in order),
        assessments=tuple(
            _mark_left_to_replicas(assessment) if replicas else assessment
            for assessment in assessments
        ),
        catch_up_candidate=None if replicas else _find_nearest(assessments),
        is_replica_first=bool(replicas) and not order[0].is_probe,
    )


def _sort(assessments: list[Assessment]) -> list[Assessment]:
    if len(assessments) < 2:
        return assessments
    return sorted(assessments, key=_compute_cost)


def _compute_cost(assessment: Assessment) -> tuple[bool, int, int, float]:
    facts = assessment.facts
    # A probe comes first. Otherwise an ejected target would never be probed
    # while other targets are in the same zone and idle.
    distance = 0 if facts.is_near else OTHER_ZONE_COST
    age = UNKNOWN_AGE if facts.age is None else facts.age
    return (
        not assessment.is_probe,
        int((facts.wait + distance) / WAIT_STEP),
        int(age / AGE_STEP),
        random(),
    )


def _mark_left_to_replicas(assessment: Assessment) -> Assessment:
    if assessment.rule is not None or not assessment.facts.is_primary:
        return assessment
    return Assessment(
        assessment.target,
        ExclusionRule.LEFT_TO_REPLICAS,
        assessment.facts,
    )


def _find_nearest(assessments: Sequence[Assessment]) -> TargetId | None:
    behind = [
        assessment
        for assessment in assessments
        if assessment.rule
        in {ExclusionRule.NOT_COVERED, ExclusionRule.TOO_STALE}
        and not assessment.facts.is_primary
    ]
    if not behind:
        return None
    return max(behind, key=_compute_nearness).target


def _compute_nearness(assessment: Assessment) -> tuple[tuple[int, int], bool]:
    return assessment.facts.log_end or (0, 0), assessment.facts.is_near
