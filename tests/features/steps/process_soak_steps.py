"""Check a short run of proxies under random faults."""

from typing import Any

from behave import then, when

from tests.combined_faults import displace_owner, outlive_claim
from tests.process_soak import run_seed

MOST_SHOWN = 20
MOST_SECONDS = 60


@when('the processes run for {seconds:d} s under the faults of seed {seed:d}')
def soak(context: Any, seconds: int, seed: int) -> None:
    context.soak = run_seed(seed, seconds)


@when('the processes run with seed {seed:d} until an owner is displaced')
def displace(context: Any, seed: int) -> None:
    context.soak = run_seed(seed, MOST_SECONDS, only=displace_owner)


@when('the processes run with seed {seed:d} until a claim outlives its lease')
def outlive(context: Any, seed: int) -> None:
    context.soak = run_seed(seed, MOST_SECONDS, only=outlive_claim)


@then('callers were served, and faults happened to them')
def check_served(context: Any) -> None:
    assert context.soak.outcomes['COMPLETE'], context.soak.outcomes
    assert context.soak.faults.total(), context.soak.faults


@then('no promise was broken')
def check_promises(context: Any) -> None:
    assert not context.soak.violations, context.soak.violations[:MOST_SHOWN]
