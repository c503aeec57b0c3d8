"""Check how reads choose their targets."""

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

REPLICA_WAIT = 0.05
WRITE_DEADLINE = 0.2
CLOCK_TOLERANCE = 1e-6


class RankingCounter:
    """Count the rankings of targets and fail on an endless loop."""

    def __init__(self) -> None:
        """Start at zero."""
        self.rankings = 0
        self._rank = GroupService.rank

    def rank(self, service: GroupService, *needs: Any, **options: Any) -> Any:
        """Count the call and run the original method."""
        self.rankings += 1
        if self.rankings > 10_000:
            raise AssertionError('the read ranks targets in an endless loop')
        return self._rank(service, *needs, **options)


async def read_in_failure(lag: float, deadline: float) -> tuple[float, int]:
    """Return the duration of the read and the number of rankings."""
    counter = RankingCounter()
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
                GroupService, 'find_replica_wait', return_value=REPLICA_WAIT
            ),
        ):
            started = read_clock()
            reading = create_task(
                caller.ask('SELECT ref FROM turns', deadline=deadline),
            )
            await sleep(REPLICA_WAIT / 5)
            primary.kill()
            await reading
            return read_clock() - started, counter.rankings


@given(
    'replicas that lag by {lag:d} s and a token that only the primary covers'
)
def set_lag(context: Any, lag: int) -> None:
    """Store the lag for the deployment."""
    context.lag = lag


@when(
    'a read with a deadline of {deadline:d} s waits for a replica and the '
    'primary is killed',
)
def read_through_failure(context: Any, deadline: int) -> None:
    """Run the read in virtual time."""
    context.deadline = deadline
    with Runner(loop_factory=make_loop) as runner:
        measured = runner.run(read_in_failure(context.lag, deadline))
    context.spent = measured[0]
    context.rankings = measured[1]


@then('the read is answered by its deadline')
def check_deadline(context: Any) -> None:
    """Compare the time spent with the deadline."""
    assert context.spent <= context.deadline + LATENESS, context.spent


@then('the proxy ranked the targets fewer than {limit:d} times')
def check_rankings(context: Any, limit: int) -> None:
    """Compare the number of rankings with the limit."""
    assert context.rankings < limit, context.rankings


async def read_in_overload(lag: float, deadline: float) -> tuple[Any, float]:
    """Read while all eligible targets refuse admission."""
    async with Deployment(Profile(proxies=1)) as deployment:
        group = next(iter(deployment.groups.values()))
        caller = deployment.open_caller()
        await caller.connect('p1')
        lagging = list(group.databases.values())[-1]
        lagging.set_lag(lag)
        await caller.ask("INSERT INTO turns (ref) VALUES ('a')")
        with patch.object(TargetAdmission, 'admit', refuse_admission):
            started = read_clock()
            outcome = await caller.ask(
                'SELECT ref FROM turns',
                deadline=deadline,
            )
            return outcome, read_clock() - started


async def refuse_admission(*_: Any) -> Any:
    """Refuse as an overloaded target does."""
    return Err(NotRun(Cause.OVERLOAD, 'full'))


@given(
    'a replica that lags by {lag:d} s and two targets that refuse admission',
)
def set_overload(context: Any, lag: int) -> None:
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
    """Check the outcome; virtual time only advances while waiting."""
    assert isinstance(context.outcome.err(), NotRun), context.outcome
    assert context.spent < CLOCK_TOLERANCE, context.spent


@then('the refusal names the target that it came from')
def check_target(context: Any) -> None:
    """Check the target, by which reports group causes."""
    assert context.outcome.err().target is not None, context.outcome
