"""Check a short run of proxies under random faults."""

from typing import Any

from behave import then, when

from tests.combined_faults import displace_owner
from tests.process_soak import run_seed

MOST_SHOWN = 20


@when('the processes run for {seconds:d} s under the faults of seed {seed:d}')
def soak(context: Any, seconds: int, seed: int) -> None:
    context.soak = run_seed(seed, seconds)


@when(
    'the processes run for {seconds:d} s and an owner is displaced, with seed '
    '{seed:d}',
)
def displace(context: Any, seconds: int, seed: int) -> None:
    context.soak = run_seed(seed, seconds, only=displace_owner)


@then('callers were served, and faults happened to them')
def check_served(context: Any) -> None:
    assert context.soak.outcomes['COMPLETE'], context.soak.outcomes
    assert context.soak.faults.total(), context.soak.faults


@then('no promise was broken')
def check_promises(context: Any) -> None:
    assert not context.soak.violations, context.soak.violations[:MOST_SHOWN]
