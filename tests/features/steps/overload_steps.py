"""Load one target through its executor and check what callers receive."""

import random
from asyncio import (
    StreamWriter,
    Task,
    create_task,
    gather,
    get_running_loop,
    sleep,
    wait,
)
from dataclasses import dataclass
from itertools import repeat
from typing import Any
from unittest.mock import create_autospec, patch

from behave import then, when
from msgspec.structs import replace
from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Target
from sedgeshunt.connections.target_session import LogRole, TargetReply
from sedgeshunt.customers.directory import Identity
from sedgeshunt.exceptions import (
    SedgeshuntError,
    TargetLost,
    TargetUnreachable,
)
from sedgeshunt.execution.runner import begin_transaction, run_in_transaction
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.execution.transactions import TransactionTable
from sedgeshunt.identifiers import (
    CustomerId,
    GroupId,
    Monotonic,
    Seconds,
    StatementId,
    TargetId,
    TrafficClass,
    TransactionId,
    ZoneId,
)
from sedgeshunt.limits.standing import Flow, StandingQueue
from sedgeshunt.platform.lines import (
    MessageMalformed,
    MessageReader,
    make_line,
)
from sedgeshunt.platform.targets import WireTargetSession
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.statements.call import Access, CallKind, StatementCall
from sedgeshunt.statements.statement import PreparedStatement
from tests.features.promise_time import VirtualTime
from tests.standins.network import Network, Place
from tests.standins.statement_group import (
    SLOTS,
    StatementGroup,
    StatementTarget,
)
from tests.standins.statement_sessions import (
    LosingSession,
    MemoryTargetConnector,
)

# Statements of a transaction before its COMMIT, and the pause after each.
STATEMENTS = 2
PAUSE = 0.005
# More connections than slots, so that others may be opened to spare setup.
SHARE_WITH_SPARE = 20
# Longest time until a caller that leaves early disconnects.
MAX_STAY = 0.1
MILLISECONDS = 1000
PERCENT = 100
PLACE = Place('db', 'east')


Form = tuple[dict[str, str], PreparedStatement | None]


@dataclass
class Caller:
    """Hold one operation and the outcome that its caller got."""

    traffic_class: str
    customer: str
    asked_at: float
    answered_at: float
    objective: float
    outcome: Result[Answer, Refusal]

    @property
    def is_in_time(self) -> bool:
        """Return whether the answer met the objective."""
        return (
            self.outcome.is_ok()
            and self.answered_at - self.asked_at <= self.objective
        )


class OverloadBench:
    """Hold one target, its executor and the outcomes of its callers."""

    def __init__(self, connections: int) -> None:
        """Serve a primary of 3 slots."""
        random.seed(1)
        self.connections = connections
        self.time = VirtualTime()
        self.callers: list[Caller] = []
        self.transactions = TransactionTable()
        # Session values and prepared statement of a class, if any.
        self._forms: dict[str, Form] = {}
        self.time.run(self._build())

    async def load(self, row: Any, span: float) -> None:
        """Call at random moments of the row's period."""
        text = f'READ {row["class"]}'
        if 'values' in row.headings:
            self._forms[row['class']] = _read_form(row)
        self.target.work_of[text] = float(row['work']) / MILLISECONDS
        await sleep(float(row.get('from', 0)))
        until = min(span, float(row.get('to', span)))
        calls: list[Task[None]] = []
        while read_clock() < until:
            await sleep(random.expovariate(float(row['a second'])))
            call = create_task(self._call(row, text, len(calls)))
            calls.append(call)
            if random.random() * PERCENT < float(row.get('leave', 0)):
                leave_after = random.uniform(0, MAX_STAY)
                get_running_loop().call_later(leave_after, call.cancel)
        await gather(*calls, return_exceptions=True)

    def list_since(self, name: str, since: float) -> list[Caller]:
        """List the operations of a class or customer since a moment."""
        return [
            one
            for one in self.callers
            if name in {one.traffic_class, one.customer}
            and one.asked_at >= since
        ]

    def make_call(self, name: str) -> StatementCall:
        """Make a read without customer or session values."""
        return StatementCall(
            GroupId('g'),
            Access.PRIMARY,
            CallKind.READ,
            StatementId(name),
            'READ item',
            TrafficClass('menu'),
            Seconds(1),
            Seconds(1),
            0,
        )

    async def give_up(self) -> float:
        """Cancel a transaction; return how long another one waits then."""
        self.target.thawed.clear()
        first, second = (
            create_task(
                self.executor.acquire(
                    self.make_call(name), Monotonic(1), is_transaction=True
                ),
            )
            for name in ('first', 'second')
        )
        await sleep(PAUSE)
        first.cancel()
        await wait((first,))
        self.target.thawed.set()
        started = read_clock()
        acquired = (await second).unwrap()
        await acquired.release()
        return read_clock() - started

    async def _build(self) -> None:
        group = StatementGroup(Network())
        name = TargetId('db')
        self.target = StatementTarget(name, PLACE, 1, LogRole.PRIMARY)
        self.target.connection_limit = self.connections
        group.add(self.target)
        self.executor = TargetExecutor(
            Target(name, GroupId('g'), '', 1, ZoneId('east')),
            MemoryTargetConnector(group, PLACE),
            self.connections,
            SLOTS,
            is_primary=True,
        )

    async def _call(self, row: Any, text: str, number: int) -> None:
        asked_at = read_clock()
        customer = row.get('customer', '')
        objective = float(row['objective']) / MILLISECONDS
        left = float(row['deadline']) / MILLISECONDS
        values, prepared = self._forms.get(row['class'], ({}, None))
        call = StatementCall(
            GroupId('g'),
            Access.PRIMARY,
            CallKind.READ,
            StatementId(f'{row["class"]}{number}'),
            text,
            TrafficClass(row['class']),
            Seconds(left),
            Seconds(objective),
            int(row['priority']),
            session_values=values,
            prepared=prepared,
            identity=Identity(customer=CustomerId(customer)),
        )
        if random.random() * PERCENT < float(row.get('transactions', 0)):
            outcome = await self._run_transaction(call)
        else:
            deadline = Monotonic(asked_at + left)
            outcome = await self.executor.run_single(call, deadline)
        self.callers.append(
            Caller(
                call.traffic_class,
                customer,
                asked_at,
                read_clock(),
                objective,
                outcome,
            ),
        )

    async def _run_transaction(
        self, call: StatementCall
    ) -> Result[Answer, Refusal]:
        deadline = Monotonic(read_clock() + call.time_left)
        name = TransactionId(str(call.statement))
        first = replace(call, transaction=name, begins=True)
        begun = await begin_transaction(
            self.executor, first, self.transactions, deadline
        )
        if isinstance(begun, Err):
            return begun
        later = replace(first, begins=False)
        commit = replace(
            later, kind=CallKind.COMMIT, text='COMMIT', prepared=None
        )
        for step in (first, *repeat(later, STATEMENTS - 1), commit):
            outcome = await run_in_transaction(
                begun.ok_value, step, self.transactions, deadline
            )
            if isinstance(outcome, Err):
                break
            await sleep(PAUSE)
        return outcome


def _read_form(row: Any) -> Form:
    values = dict(one.split('=') for one in row['values'].split())
    shape = row['prepares']
    return (
        values,
        PreparedStatement(writes=False, shape=shape) if shape else None,
    )


@when(
    'these classes call one target by {connections:d} connections for'
    + ' {span:g} s'
)
def call_target(context: Any, connections: int, span: float) -> None:
    bench = OverloadBench(connections)
    context.overload = bench
    context.add_cleanup(bench.time.close)
    context.span = span

    async def load_all() -> None:
        await gather(*[bench.load(row, span) for row in context.table])

    bench.time.run(load_all())


@then(
    'at least {share:d} % of the answers of "{name}" since {since:g} s are in'
    + ' time'
)
def check_answers(context: Any, share: int, name: str, since: float) -> None:
    callers = context.overload.list_since(name, since)
    answered = [one for one in callers if one.outcome.is_ok()]
    in_time = [one for one in answered if one.is_in_time]
    counts = len(in_time), len(answered), len(callers)
    assert in_time, counts
    assert len(in_time) * PERCENT >= share * len(answered), counts


@then('at least {share:d} % of "{name}" since {since:g} s are in time')
def check_in_time(context: Any, share: int, name: str, since: float) -> None:
    callers = context.overload.list_since(name, since)
    in_time = [one for one in callers if one.is_in_time]
    assert in_time
    assert len(in_time) * PERCENT >= share * len(callers), (
        len(in_time),
        len(callers),
    )


@then('the target is busy for at least {share:d} % of the time')
def check_busy(context: Any, share: int) -> None:
    bench = context.overload
    busy = sum(
        bench.target.work_of[f'READ {one.traffic_class}']
        for one in bench.callers
        if one.outcome.is_ok()
    )
    assert busy * PERCENT >= share * SLOTS * context.span, busy


@then('sessions are set up by at most {most:g} messages a statement')
def check_setup(context: Any, most: float) -> None:
    bench = context.overload
    sent = bench.target.setup_messages / len(bench.callers)
    assert sent <= most, sent


@then('the target has at most {most:d} connections')
def check_connections(context: Any, most: int) -> None:
    connections = context.overload.target.connections
    assert connections <= most, connections


@when('its share of the connections falls to {share:d}')
def shrink_share(context: Any, share: int) -> None:
    bench = context.overload
    bench.time.act(lambda: bench.executor.resize(share, SLOTS))
    bench.time.run(sleep(PAUSE))


@when('a transaction gives up while its connection opens')
def give_up_opening(context: Any) -> None:
    bench = OverloadBench(1)
    context.add_cleanup(bench.time.close)
    context.waited = bench.time.run(bench.give_up())


@then('the next transaction waits for at most {most:g} ms')
def check_waited(context: Any, most: float) -> None:
    assert context.waited * MILLISECONDS <= most, context.waited


@when('a target accepts no new connections beside an idle one')
def accept_no_more(context: Any) -> None:
    bench = OverloadBench(SHARE_WITH_SPARE)
    context.overload = bench
    context.add_cleanup(bench.time.close)
    call = bench.make_call('first')
    bench.time.run(bench.executor.run_single(call, Monotonic(1))).unwrap()
    refusing = patch.object(
        MemoryTargetConnector,
        '_connect',
        side_effect=TargetUnreachable(TargetId('db'), 'refused'),
    )
    refusing.start()
    context.add_cleanup(refusing.stop)


@then(
    '{refused:d} of {count:d} statements with other session values is refused'
)
def check_refused(context: Any, refused: int, count: int) -> None:
    bench = context.overload

    async def run_all() -> int:
        outcomes = []
        for number in range(count):
            call = replace(
                bench.make_call(str(number)), session_values={'lang': 'sl'}
            )
            deadline = Monotonic(read_clock() + 1)
            outcomes.append(await bench.executor.run_single(call, deadline))
        return sum(isinstance(one, Err) for one in outcomes)

    assert bench.time.run(run_all()) == refused


@when('a target answers {count:d} statements with what is no answer')
def answer_wrongly(context: Any, count: int) -> None:
    bench = OverloadBench(count)
    context.overload = bench
    context.add_cleanup(bench.time.close)

    async def fail(*_: Any) -> TargetReply:
        raise MessageMalformed('no place in a log')

    async def run_all() -> list[Any]:
        calls = map(bench.make_call, map(str, range(count)))
        return await gather(
            *(bench.executor.run_single(one, Monotonic(1)) for one in calls),
            return_exceptions=True,
        )

    with patch.object(LosingSession, 'run', fail):
        outcomes = bench.time.run(run_all())
    assert not any(isinstance(one, Ok) for one in outcomes), outcomes


@then('no slot of the target is in use')
def check_slots(context: Any) -> None:
    running = context.overload.executor.admission.running
    assert not running, running


@then('no slot and no connection is reserved')
def check_released(context: Any) -> None:
    bench = context.overload
    bench.time.run(sleep(1))
    admission = bench.executor.admission
    reserved = (
        admission.running,
        admission.queued,
        bench.executor.pool.acquired_count,
    )
    assert reserved == (0, 0, 0), reserved


@when('{count:d} customers are late once, {pause:g} ms apart')
def delay_customers(context: Any, count: int, pause: float) -> None:
    context.standing = StandingQueue()
    for number in range(count):
        flow = Flow(TrafficClass('menu'), CustomerId(str(number)))
        now = Monotonic(number * pause / MILLISECONDS)
        context.standing.note_wait(flow, Seconds(1), Seconds(1), now)


@then('the lateness of at most {most:d} customers is kept')
def check_kept(context: Any, most: int) -> None:
    assert len(context.standing) <= most, len(context.standing)


@when('a target answers a statement with "{line}"')
def answer_malformed(context: Any, line: str) -> None:
    context.writer = create_autospec(StreamWriter)
    context.writer.is_closing.return_value = False
    target = Target(TargetId('db'), GroupId('g'), '', 1, ZoneId('east'))

    async def run() -> None:
        reader = MessageReader()
        context.writer.write.side_effect = lambda _: reader.feed_data(
            make_line(*line.split()),
        )
        session = WireTargetSession(target, reader, context.writer)
        try:
            await session.run(StatementId('one'), 'READ item')
        except SedgeshuntError as error:
            context.error = error

    time = VirtualTime()
    context.add_cleanup(time.close)
    time.run(run())


@then('the connection counts as lost')
def check_lost(context: Any) -> None:
    assert isinstance(context.error, TargetLost), repr(context.error)
    context.writer.transport.abort.assert_called_once_with()
