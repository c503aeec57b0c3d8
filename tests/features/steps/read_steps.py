"""Check how reads find their target."""

from asyncio import Runner, create_task, sleep
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from result import Err

from sedgeshunt.clocks import read_clock
from sedgeshunt.limits.admission import TargetAdmission
from sedgeshunt.requests.group_service import GroupService
from sedgeshunt.requests.outcome import Cause, NotRun
from tests.deployment import Deployment, Profile
from tests.ledger import LATENESS
from tests.virtual_time import make_loop

PATIENCE = 0.05
WRITE_DEADLINE = 0.2
READING_ERROR = 1e-6


class LookCounter:
    """Count the rankings and stop a loop that never ends."""

    def __init__(self) -> None:
        """Start at zero."""
        self.looks = 0
        self._rank = GroupService.rank

    def rank(self, service: GroupService, *needs: Any, **options: Any) -> Any:
        """Rank as the product does."""
        self.looks += 1
        if self.looks > 10_000:
            raise AssertionError('the read looks for a target without end')
        return self._rank(service, *needs, **options)


async def read_in_failure(lag: float, deadline: float) -> tuple[float, int]:
    """Return how long the read took and how often it looked."""
    counter = LookCounter()
    async with Deployment(Profile(lag=lag, proxies=1)) as deployment:
        group = next(iter(deployment.groups.values()))
        caller = deployment.open_caller()
        await caller.connect('p1')
        await caller.ask(
            "INSERT INTO turns (ref) VALUES ('a')",
            deadline=WRITE_DEADLINE,
        )
        primary = group.find_leader()
        if primary is None:
            raise AssertionError('the group has no primary')
        keys = deployment.nodes['p1'].proxy.keys
        caller.token = keys.sign(
            {next(iter(deployment.groups)): primary.log_end}
        )
        with (
            patch.object(
                GroupService,
                'rank',
                lambda *needs, **options: counter.rank(*needs, **options),
            ),
            patch.object(
                GroupService, 'find_replica_wait', return_value=PATIENCE
            ),
        ):
            started = read_clock()
            reading = create_task(
                caller.ask('SELECT ref FROM turns', deadline=deadline),
            )
            await sleep(PATIENCE / 5)
            primary.kill()
            await reading
            return read_clock() - started, counter.looks


@given(
    'replicas that lag by {lag:d} s and a token that only the primary covers'
)
def declare_lag(context: Any, lag: int) -> None:
    """Keep the lag for the deployment."""
    context.lag = lag


@when(
    'a read with a deadline of {deadline:d} s begins and the primary dies in '
    'its wait',
)
def read_through_failure(context: Any, deadline: int) -> None:
    """Run the read in virtual time."""
    context.deadline = deadline
    with Runner(loop_factory=make_loop) as runner:
        measured = runner.run(read_in_failure(context.lag, deadline))
    context.spent = measured[0]
    context.looks = measured[1]


@then('the read is answered by its deadline')
def check_deadline(context: Any) -> None:
    """Compare the time spent with the deadline."""
    assert context.spent <= context.deadline + LATENESS, context.spent


@then('the proxy looked for a target fewer than {limit:d} times')
def check_looks(context: Any, limit: int) -> None:
    """Compare the number of rankings with the limit."""
    assert context.looks < limit, context.looks


async def read_in_overload(lag: float, deadline: float) -> tuple[Any, float]:
    """Read while the targets that may serve are full."""
    async with Deployment(Profile(proxies=1)) as deployment:
        group = next(iter(deployment.groups.values()))
        caller = deployment.open_caller()
        await caller.connect('p1')
        behind = list(group.databases.values())[-1]
        behind.set_lag(lag)
        await caller.ask("INSERT INTO turns (ref) VALUES ('a')")
        with patch.object(TargetAdmission, 'admit', refuse_at_door):
            started = read_clock()
            outcome = await caller.ask(
                'SELECT ref FROM turns',
                deadline=deadline,
            )
            return outcome, read_clock() - started


async def refuse_at_door(*_: Any) -> Any:
    """Refuse as a full target does."""
    return Err(NotRun(Cause.OVERLOAD, 'full'))


@given(
    'a replica that lags by {lag:d} s and two targets that refuse at the door',
)
def declare_overload(context: Any, lag: int) -> None:
    """Keep the lag for the deployment."""
    context.lag = lag


@when('a read with a deadline of {deadline:d} s is sent')
def read_when_full(context: Any, deadline: int) -> None:
    """Run the read in virtual time."""
    with Runner(loop_factory=make_loop) as runner:
        measured = runner.run(read_in_overload(context.lag, deadline))
    context.outcome = measured[0]
    context.spent = measured[1]


@then('it is refused before any time has passed')
def check_refusal(context: Any) -> None:
    """Look at the outcome; virtual time stands still without a wait."""
    assert isinstance(context.outcome.err(), NotRun), context.outcome
    assert context.spent < READING_ERROR, context.spent


@then('the refusal names the target that it came from')
def check_target(context: Any) -> None:
    """Look at the target, by which reports count causes."""
    assert context.outcome.err().target is not None, context.outcome
