"""Search the specifications of the core protocols."""

from typing import Any

from behave import then, when

from tests.specs import (
    configuration_spec,
    feeds_spec,
    leaders_spec,
    limits_spec,
    operators_spec,
    ownership_spec,
    parts_spec,
    promotion_state,
    returns_spec,
    succession_spec,
    versions_spec,
)
from tests.specs.acknowledgement_spec import specify_acknowledgement
from tests.specs.checking import always_reaches, explore, refute
from tests.specs.configuration_spec import (
    is_active_everywhere,
    specify_configuration,
)
from tests.specs.operators_spec import specify_operators
from tests.specs.promotion_spec import specify_promotion
from tests.specs.promotion_state import Scope

SPECIFICATIONS = {
    'promotion, two writes': specify_promotion(Scope(writes=2)),
    'promotion, late records': specify_promotion(
        Scope(writes=1, late_records=True),
    ),
    'acknowledgement': specify_acknowledgement(),
    'operators': specify_operators(),
    'configuration': specify_configuration(),
    'ownership': ownership_spec.specify_ownership(
        ownership_spec.Scope(ownership_spec.CURRENT),
    ),
    'ownership by a delay': ownership_spec.specify_ownership(
        ownership_spec.Scope(ownership_spec.Design.DELAY, ends_early=True),
    ),
    'succession': succession_spec.specify_succession(),
    'leaders': leaders_spec.specify_leaders(),
    'returns': returns_spec.specify_returns(),
    'versions': versions_spec.specify_versions(),
    'feeds': feeds_spec.specify_feeds(),
    'limits': limits_spec.specify_limits(),
    'parts': parts_spec.specify_parts(),
}


@when('the specification "{name}" is searched')
def search_specification(context: Any, name: str) -> None:
    context.finding = explore(SPECIFICATIONS[name])


@when('the promotion lacks "{safeguard}"')
def search_promotion(context: Any, safeguard: str) -> None:
    removed = promotion_state.Safeguard(safeguard)
    scope = Scope(writes=1, removed=removed)
    context.finding = refute(specify_promotion(scope))


@when('a promotion by one proxy among {writes:d} writes lacks "{safeguard}"')
def search_lone(context: Any, writes: int, safeguard: str) -> None:
    removed = promotion_state.Safeguard(safeguard)
    scope = Scope(writes=writes, proxies=1, removed=removed)
    context.finding = refute(specify_promotion(scope))


@when('evidence from before a freeze is trusted')
def search_acknowledgement(context: Any) -> None:
    context.finding = refute(specify_acknowledgement(needs_fresh=False))


@when('the operators lack "{safeguard}"')
def search_operators(context: Any, safeguard: str) -> None:
    removed = operators_spec.Safeguard(safeguard)
    context.finding = refute(specify_operators(removed))


@when('the configuration lacks "{safeguard}"')
def search_configuration(context: Any, safeguard: str) -> None:
    removed = configuration_spec.Safeguard(safeguard)
    context.finding = refute(specify_configuration(removed))


@when('the ownership lacks "{safeguard}"')
def search_ownership(context: Any, safeguard: str) -> None:
    removed = ownership_spec.Safeguard(safeguard)
    scope = ownership_spec.Scope(removed=removed)
    context.finding = refute(ownership_spec.specify_ownership(scope))


@when('a lease may end early where a claim needs the proof "{design}"')
def search_early_ends(context: Any, design: str) -> None:
    scope = ownership_spec.Scope(
        ownership_spec.Design(design),
        ends_early=True,
    )
    context.finding = refute(ownership_spec.specify_ownership(scope))


@when('the succession lacks "{safeguard}"')
def search_succession(context: Any, safeguard: str) -> None:
    removed = succession_spec.Safeguard(safeguard)
    context.finding = refute(succession_spec.specify_succession(removed))


@when('the choice of a leader lacks "{safeguard}"')
def search_leaders(context: Any, safeguard: str) -> None:
    removed = leaders_spec.Safeguard(safeguard)
    context.finding = refute(leaders_spec.specify_leaders(removed))


@when('the ownership across returns lacks "{safeguard}"')
def search_returns(context: Any, safeguard: str) -> None:
    removed = returns_spec.Safeguard(safeguard)
    context.finding = refute(returns_spec.specify_returns(removed))


@when('the versions lack "{safeguard}"')
def search_versions(context: Any, safeguard: str) -> None:
    removed = versions_spec.Safeguard(safeguard)
    context.finding = refute(versions_spec.specify_versions(removed))


@then('the newest version can always come into force everywhere')
def check_newest(context: Any) -> None:
    goal = versions_spec.is_newest_everywhere
    assert always_reaches(versions_spec.specify_versions(), goal)


@then(
    'without "{safeguard}" the newest version may never come into force',
)
def check_stuck(context: Any, safeguard: str) -> None:
    removed = versions_spec.Safeguard(safeguard)
    lacking = versions_spec.specify_versions(removed)
    assert not always_reaches(lacking, versions_spec.is_newest_everywhere)


@when('the handing on of changes lacks "{safeguard}"')
def search_feeds(context: Any, safeguard: str) -> None:
    removed = feeds_spec.Safeguard(safeguard)
    context.finding = refute(feeds_spec.specify_feeds(removed))


@when('the keeping of a limit lacks "{safeguard}"')
def search_limits(context: Any, safeguard: str) -> None:
    removed = limits_spec.Safeguard(safeguard)
    context.finding = refute(limits_spec.specify_limits(removed))


@when('the giving of a part lacks "{safeguard}"')
def search_parts(context: Any, safeguard: str) -> None:
    removed = parts_spec.Safeguard(safeguard)
    context.finding = refute(parts_spec.specify_parts(removed))


@then('the search visits all of at least {states:d} states')
def check_exhaustive(context: Any, states: int) -> None:
    assert context.finding.is_exhaustive
    assert context.finding.states >= states, context.finding.states


@then('it breaks no property')
def check_unbroken(context: Any) -> None:
    assert not context.finding.broken, context.finding.broken


@then('the search breaks "{name}" in {steps:d} steps')
def check_broken(context: Any, name: str, steps: int) -> None:
    found = context.finding.broken[name]
    assert len(found) == steps, found


@then('the specification "{name}" can always reach its goal')
def check_reach(context: Any, name: str) -> None:
    assert always_reaches(SPECIFICATIONS[name], is_active_everywhere)
