"""Check what repeated requests and waiting connections come to."""

from asyncio import Runner
from typing import Any
from unittest.mock import patch

from behave import given, then, when

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Term
from sedgeshunt.requests.group_service import GroupService
from tests.deployment import Caller, Deployment, Profile
from tests.standins.engine import DatabaseGroup
from tests.virtual_time import make_loop

INSERT = "INSERT INTO turns (ref) VALUES ('a')"
SELECT = "SELECT ref FROM turns WHERE ref = 'a'"
FIRST_DEADLINE = 0.2
NEXT_TERM = Term(2)


def replace_primary(group: DatabaseGroup) -> None:
    """Promote the third database and let the others follow it."""
    old, other, new = group.databases.values()
    other.fence(NEXT_TERM)
    new.fence(NEXT_TERM)
    new.promote(NEXT_TERM)
    other.follow(NEXT_TERM, new.name)
    old.follow(NEXT_TERM, new.name)


async def repeat_through_failover(context: Any) -> None:
    """Repeat a request whose first run is lost as it is found."""
    async with Deployment(Profile(lag=3, proxies=1)) as deployment:
        group = next(iter(deployment.groups.values()))
        caller = deployment.open_caller()
        await caller.connect('p1')
        await _ask(caller, FIRST_DEADLINE)
        read_log_end = GroupService.read_log_end

        async def replace_then_read(*needs: Any) -> Any:
            replace_primary(group)
            for database in group.databases.values():
                database.set_lag(0)
            return await read_log_end(*needs)

        with patch.object(GroupService, 'read_log_end', replace_then_read):
            context.outcome = await _ask(caller, 1)
        context.copies = [
            len(group.select(str(name), SELECT)) for name in group.databases
        ]


async def write_to_frozen(deadline: float) -> tuple[Any, float]:
    """Write to a primary that froze before any connection was open."""
    async with Deployment(Profile(proxies=1)) as deployment:
        group = next(iter(deployment.groups.values()))
        caller = deployment.open_caller()
        await caller.connect('p1')
        primary = group.find_leader()
        if primary is None:
            raise AssertionError('the group has no primary')
        primary.freeze()
        started = read_clock()
        outcome = await caller.ask(INSERT, deadline=deadline, idempotent=True)
        return outcome, read_clock() - started


async def _ask(caller: Caller, deadline: float) -> Any:
    return await caller.ask(INSERT, deadline=deadline, request_id='a')


@given('a first run that only the primary holds')
@given('a proxy with no connection yet to a primary that just froze')
def lay_out(context: Any) -> None:
    """Leave the layout to the step that runs it in virtual time."""
    context.copies = []


@when(
    'the request is repeated and the primary is replaced as the run is found',
)
def repeat(context: Any) -> None:
    """Run the repeat."""
    with Runner(loop_factory=make_loop) as runner:
        runner.run(repeat_through_failover(context))


@when('an idempotent write with a deadline of {deadline:d} s is sent')
def write(context: Any, deadline: int) -> None:
    """Run the write."""
    with Runner(loop_factory=make_loop) as runner:
        written = runner.run(write_to_frozen(deadline))
    context.outcome = written[0]
    context.spent = written[1]


@then('the caller is told "done"')
def check_told(context: Any) -> None:
    """Look at the outcome."""
    assert context.outcome.is_ok(), context.outcome


@then('the run is once on the current primary')
def check_copies(context: Any) -> None:
    """Compare the copies in the new primary's database."""
    assert context.copies[-1] == 1, context.copies


@then('it is done within {limit:d} s')
def check_done(context: Any, limit: int) -> None:
    """Look at outcome and time in virtual seconds."""
    assert context.outcome.is_ok(), context.outcome
    assert context.spent < limit, context.spent
