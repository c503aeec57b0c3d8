"""Run random histories, and see that they notice what is broken."""

from typing import Any

from behave import given, then, when

from tests.features.promise_safeguards import disable_safeguard
from tests.histories import run_history
from tests.ledger import Promise
from tests.soak import PROFILE, run_many

FIRST_SEED = 1


@given('the random histories of seeds {first:d} to {last:d}')
def choose_seeds(context: Any, first: int, last: int) -> None:
    context.seeds = range(first, last + 1)


@when('they run on {cores:d} cores')
def run_all(context: Any, cores: int) -> None:
    context.totals = run_many(PROFILE, context.seeds, cores)


@then('they made requests, and failures happened to them')
def check_activity(context: Any) -> None:
    totals = context.totals
    assert totals.histories == len(context.seeds)
    assert totals.requests > 100 * totals.histories, totals.describe()
    assert totals.faults.total() > totals.histories, totals.describe()


@then('none of them broke a promise')
def check_promises(context: Any) -> None:
    assert not context.totals.violations, context.totals.violations


@given('random histories with the safeguard "{name}" taken out')
def break_build(context: Any, name: str) -> None:
    context.add_cleanup(disable_safeguard(name).close)


@when('at most {count:d} of them run')
def run_some(context: Any, count: int) -> None:
    context.last_seed = FIRST_SEED + count


@then('one of them broke the promise "{promise}"')
def find_violation(context: Any, promise: str) -> None:
    wanted = Promise(promise)
    for seed in range(FIRST_SEED, context.last_seed):
        broken = run_history(PROFILE, seed).ledger.violations
        if any(violation.promise is wanted for violation in broken):
            return
    raise AssertionError(f'no history broke "{promise}"')
