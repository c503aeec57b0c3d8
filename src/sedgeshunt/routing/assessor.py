"""Assess the targets of a group for one read."""

from msgspec import Struct
from result import Ok

from sedgeshunt.configuration.labels import list_labels, read_selector
from sedgeshunt.configuration.objects import Route, Target
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.status import Role, TargetStatus
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, ZoneId
from sedgeshunt.routing.assessments import (
    Assessment,
    ExclusionRule,
    TargetFacts,
)
from sedgeshunt.routing.health import GroupHealth
from sedgeshunt.routing.views import FreshnessView


class ReadNeed(Struct, frozen=True):
    """The data that a read must see."""

    # Always required: the point that the session wrote or must see.
    point: Point | None
    # Required in addition: data that is provably no older than this.
    accepted_age: Seconds | None


def meets_need(
    view: FreshnessView,
    target: TargetId,
    need: ReadNeed,
    now: Monotonic,
) -> bool:
    """Return whether `target` has the data that the read must see."""
    # The point is required in addition to an accepted age: a session must see
    # its own writes even if the read accepts older data.
    if need.point is not None and not view.covers(target, need.point):
        return False
    if need.accepted_age is None:
        return True
    age = view.measure_age(target, now)
    return age is not None and age <= need.accepted_age


class TargetAssessor(Struct, frozen=True):
    """Assesses targets against the requirements of one read."""

    zone: ZoneId
    view: FreshnessView
    health: GroupHealth
    route: Route
    need: ReadNeed
    now: Monotonic
    may_probe: bool

    def assess(self, target: Target, wait: Seconds) -> Assessment:
        """Return the assessment with the first rule that excludes `target`."""
        if target.is_leaving():
            return self._exclude(target, ExclusionRule.LEAVING)
        if not self._selects(target):
            return self._exclude(target, ExclusionRule.NOT_SELECTED)
        status = self.view.get_status(target.name)
        if status is None:
            return self._exclude(target, ExclusionRule.NO_STATUS)
        return self._assess_status(target, status, wait)

    def _exclude(self, target: Target, rule: ExclusionRule) -> Assessment:
        is_near = target.zone == self.zone
        facts = TargetFacts(is_near, selector=self.route.targets)
        return Assessment(target.name, rule, facts)

    def _assess_status(
        self,
        target: Target,
        status: TargetStatus,
        wait: Seconds,
    ) -> Assessment:
        facts = TargetFacts(
            is_near=target.zone == self.zone,
            is_primary=self._is_primary(status),
            need=self.need.point,
            accepted_age=self.need.accepted_age,
            log_end=status.log_end,
            age=self.view.measure_age(target.name, self.now),
            wait=wait,
        )
        rule = self._find_rule(target.name, facts)
        if rule is ExclusionRule.EJECTED and self._claim_probe(target.name):
            return Assessment(target.name, None, facts, is_probe=True)
        return Assessment(target.name, rule, facts)

    def _selects(self, target: Target) -> bool:
        if not self.route.targets:
            return True
        selector = read_selector(self.route.targets)
        if not isinstance(selector, Ok):
            return False
        return selector.ok_value.matches(list_labels(target))

    def _find_rule(
        self,
        target: TargetId,
        facts: TargetFacts,
    ) -> ExclusionRule | None:
        if not self.view.is_responsive(target, self.now):
            return ExclusionRule.SILENT
        if facts.is_primary and not self.route.primary_reads:
            return ExclusionRule.PRIMARY_NOT_ALLOWED
        rule = self._find_unmet(target, facts)
        if rule is None and self.health.is_excluded(target):
            return ExclusionRule.EJECTED
        return rule

    def _find_unmet(
        self,
        target: TargetId,
        facts: TargetFacts,
    ) -> ExclusionRule | None:
        # The point is required in addition to an accepted age: a session must
        # see its own writes even if the read accepts older data.
        point = facts.need
        if point is not None and not self.view.covers(target, point):
            return ExclusionRule.NOT_COVERED
        accepted = facts.accepted_age
        if accepted is None:
            return None
        is_proven = facts.age is not None and facts.age <= accepted
        return None if is_proven else ExclusionRule.TOO_STALE

    def _is_primary(self, status: TargetStatus) -> bool:
        # A superseded primary still reports itself as primary. It may serve
        # reads like a replica, as far as its data is proven, but is ranked
        # last like a primary.
        if status.role is Role.PRIMARY:
            return True
        return status.target == self.view.get_primary()

    def _claim_probe(self, target: TargetId) -> bool:
        return self.may_probe and self.health.claim_probe(target, self.now)
