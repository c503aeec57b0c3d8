"""Define whether a target may serve a read, and why."""

from collections.abc import Callable
from enum import Enum

from msgspec import Struct

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Seconds, TargetId

MILLISECONDS = 1000


class ExclusionRule(Enum):
    """Rules that exclude a target from serving a read."""

    LEAVING = 'leaving'
    NOT_SELECTED = 'not-selected'
    NO_STATUS = 'no-status'
    SILENT = 'silent'
    PRIMARY_NOT_ALLOWED = 'primary-not-allowed'
    NOT_COVERED = 'not-covered'
    TOO_STALE = 'too-stale'
    EJECTED = 'ejected'
    # The primary may serve the read, but a replica is preferred.
    LEFT_TO_REPLICAS = 'left-to-replicas'


class TargetFacts(Struct, frozen=True):
    """The known state of a target when it was assessed."""

    # A Struct, as it is created much faster than a dataclass, and one is
    # created for each target whenever a read is routed.
    is_near: bool
    is_primary: bool = False
    need: Point | None = None
    accepted_age: Seconds | None = None
    log_end: Point | None = None
    age: Seconds | None = None
    wait: Seconds = Seconds(0)
    selector: str = ''


class Assessment(Struct, frozen=True):
    """The rule that excludes a target; None means that it is eligible."""

    target: TargetId
    rule: ExclusionRule | None
    facts: TargetFacts
    # Whether this is an ejected target that gets one read as a probe.
    is_probe: bool = False

    @property
    def detail(self) -> str:
        """Explain the assessment to an operator."""
        # Composed on demand, as most assessments are never explained.
        if self.rule is None:
            return _explain_eligible(self.facts, is_probe=self.is_probe)
        return _TEXTS[self.rule](self.facts)


def _explain_eligible(facts: TargetFacts, *, is_probe: bool) -> str:
    place = 'own' if facts.is_near else 'another'
    parts = [f'may serve from {place} availability zone']
    parts.append(_format_age(facts.age))
    parts.append(f'expected wait {_format_span(facts.wait)}')
    if is_probe:
        parts.append('asked again after an ejection')
    return ', '.join(parts)


def _explain_not_covered(facts: TargetFacts) -> str:
    end = _format_point(facts.log_end)
    need = _format_point(facts.need)
    return f'its log ends at {end}, the session has to see {need}'


def _explain_stale(facts: TargetFacts) -> str:
    accepted = _format_span(facts.accepted_age or Seconds(0))
    return f'{_format_age(facts.age)}, the read accepts {accepted}'


def _format_age(age: Seconds | None) -> str:
    return 'no provable age' if age is None else f'age {_format_span(age)}'


def _format_span(span: Seconds) -> str:
    return f'{span * MILLISECONDS:.0f} ms'


def _format_point(point: Point | None) -> str:
    return '?' if point is None else f'{point.term}:{point.position}'


_TEXTS: dict[ExclusionRule, Callable[[TargetFacts], str]] = {
    ExclusionRule.LEAVING: lambda _: 'its label says that it is leaving',
    ExclusionRule.NOT_SELECTED: lambda facts: (
        f'the route selects "{facts.selector}", its labels differ'
    ),
    ExclusionRule.NO_STATUS: lambda _: (
        'it has not told its place in the log yet'
    ),
    ExclusionRule.SILENT: lambda _: 'it does not answer',
    ExclusionRule.PRIMARY_NOT_ALLOWED: lambda _: (
        'it is the primary, the route keeps reads from it'
    ),
    ExclusionRule.NOT_COVERED: _explain_not_covered,
    ExclusionRule.TOO_STALE: _explain_stale,
    ExclusionRule.EJECTED: lambda _: (
        'it failed or was slow, and is left out a while'
    ),
    ExclusionRule.LEFT_TO_REPLICAS: lambda _: (
        'it is the primary, a replica can serve'
    ),
}
