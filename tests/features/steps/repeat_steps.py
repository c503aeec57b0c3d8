"""Check the outcomes of retried requests and of connection attempts."""

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


async def retry_through_failover(context: Any) -> None:
    """Retry a request whose first run is lost while it is looked up."""
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
    """Write to a primary that froze before a connection was opened."""
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


@given('a first run that has not been replicated from the primary')
@given('a proxy without a connection to the primary, which has frozen')
def prepare(context: Any) -> None:
    """Leave the setup to the step that runs in virtual time."""
    context.copies = []


@when(
    'the request is retried and the primary is replaced after the lookup',
)
def retry(context: Any) -> None:
    """Run the retry."""
    with Runner(loop_factory=make_loop) as runner:
        runner.run(retry_through_failover(context))


@when('an idempotent write with a deadline of {deadline:d} s is sent')
def write(context: Any, deadline: int) -> None:
    """Run the write."""
    with Runner(loop_factory=make_loop) as runner:
        written = runner.run(write_to_frozen(deadline))
    context.outcome = written[0]
    context.spent = written[1]


@then('the caller gets the outcome "done"')
def check_outcome(context: Any) -> None:
    """Check the outcome."""
    assert context.outcome.is_ok(), context.outcome


@then('the write is on the current primary exactly once')
def check_copies(context: Any) -> None:
    """Count the rows in the database of the new primary."""
    assert context.copies[-1] == 1, context.copies


@then('it is done within {limit:d} s')
def check_done(context: Any, limit: int) -> None:
    """Check the outcome and the time in virtual seconds."""
    assert context.outcome.is_ok(), context.outcome
    assert context.spent < limit, context.spent
