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

# A target in another availability zone comes first only if the own one is
# busier by more than this wait.
ZONE_COST = Seconds(0.004)
# Waits and ages that differ by less are alike.
WAIT_STEP = Seconds(0.002)
AGE_STEP = Seconds(0.1)
UNKNOWN_AGE = Seconds(3600)


class Ranking(Struct, frozen=True):
    """Hold the targets to try, best first, and a assessment on each."""

    # Ejected targets are in it only when there is nobody else.
    eligible: tuple[TargetId, ...]
    assessments: tuple[Assessment, ...]
    # The replica that is nearest to what no replica can serve yet.
    catch_up_candidate: TargetId | None
    # The first is a replica in good health, not a probe nor the primary.
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
    able = [assessment for assessment in assessments if assessment.rule is None]
    replicas = [
        assessment for assessment in able if not assessment.facts.is_primary
    ]
    primaries = [
        assessment for assessment in able if assessment.facts.is_primary
    ]
    order = [*_sort(replicas), *_sort(primaries)]
    # Ejection is a guess. With nobody else left a target that may be slow is
    # better for the caller than no answer.
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
            _leave_to_replicas(assessment) if replicas else assessment
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
    # A probe goes first, or a readmitted target would never be asked while
    # others are near and idle.
    distance = 0 if facts.is_near else ZONE_COST
    age = UNKNOWN_AGE if facts.age is None else facts.age
    return (
        not assessment.is_probe,
        int((facts.wait + distance) / WAIT_STEP),
        int(age / AGE_STEP),
        random(),
    )


def _leave_to_replicas(assessment: Assessment) -> Assessment:
    if assessment.rule is not None or not assessment.facts.is_primary:
        return assessment
    return Assessment(
        assessment.target, ExclusionRule.LEFT_TO_REPLICAS, assessment.facts
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
