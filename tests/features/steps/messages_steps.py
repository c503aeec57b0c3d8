"""Check the encoding and decoding of the statement protocol's messages."""

from ast import literal_eval
from asyncio import (
    IncompleteReadError,
    Server,
    StreamReader,
    StreamWriter,
    create_task,
    sleep,
    start_server,
)
from contextlib import suppress
from itertools import pairwise
from time import monotonic
from time import sleep as wait_for
from typing import Any

from behave import given, then, when
from hypothesis import given as draw
from hypothesis import settings
from hypothesis import strategies as st

from sedgeshunt.configuration.objects import Target
from sedgeshunt.connections.target_session import TargetSession
from sedgeshunt.customers.directory import ANONYMOUS
from sedgeshunt.exceptions import (
    SedgeshuntError,
    StatementUnsendable,
    TargetUnreachable,
)
from sedgeshunt.identifiers import (
    CustomerId,
    GroupId,
    Seconds,
    StatementId,
    TargetId,
    ZoneId,
)
from sedgeshunt.platform.lines import (
    READER_LIMIT,
    make_line,
    read_line,
    split_line,
)
from sedgeshunt.platform.targets import WireTargetConnector
from tests.features.driver_bench import LoopThread
from tests.standins.statement_front import HOST

LINE_END = b'\r\n'
GROUP = GroupId('songbook')
TARGET = TargetId('db-1')
CONNECT_LIMIT = Seconds(2)
ARRIVAL_TIME = 0.1
SIGNATURE = 'signed'
_WORDS = st.sampled_from(('QUERY', 'ROW', 'START', 'ERROR', 'COMPLETE'))
# What ends lines or fields in this or another protocol, and protocol words.
_PIECES = st.sampled_from(
    (' ', '\r', '\n', '\r\n', '\x00', '\x85', '\u2028', '\ud800', 'é', 'a')
    + ('QUERY q9 WRITE a b', 'READY I -', 'COMPLETE -'),
)
_FIELDS = st.lists(_PIECES, max_size=5).map(''.join)
_MESSAGES = st.lists(
    st.tuples(_WORDS, st.lists(_FIELDS, min_size=1, max_size=3)),
    min_size=1,
    max_size=4,
)


class ScriptedTarget:
    """Answer statements with set lines and keep what it received."""

    def __init__(self) -> None:
        """Answer each statement with success."""
        self.received: list[str] = []
        # Lines to answer instead, by the text of the statement.
        self.answers: dict[str, bytes] = {}
        # The statement after whose answer it closes the connection.
        self.last = ''
        self.writer: StreamWriter
        self._server: Server

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await start_server(self._serve, HOST, 0)

    def describe(self) -> Target:
        """Return the target as the store's entry declares it."""
        port = self._server.sockets[0].getsockname()[1]
        return Target(TARGET, GROUP, HOST, port, ZoneId('east'), {})

    async def close(self) -> None:
        """Stop listening and close the last connection."""
        self._server.close()
        if hasattr(self, 'writer'):
            self.writer.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.writer = writer
        with suppress(IncompleteReadError, OSError):
            while True:
                line = await reader.readuntil(LINE_END)
                self._answer(line.removesuffix(LINE_END).decode())

    def _answer(self, text: str) -> None:
        self.received.append(text)
        if text.startswith('START'):
            self.writer.write(b'READY I -\r\n')
            return
        asked = text.split(' ', 2)[2]
        done = f'COMPLETE {SIGNATURE}\r\nREADY I -\r\n'.encode()
        self.writer.write(self.answers.get(asked, done))
        if asked == self.last:
            self.writer.close()


@then('messages with drawn fields are read as they were built, or refused')
def check_messages(context: Any) -> None:
    loop = LoopThread()
    context.add_cleanup(loop.close)

    @settings(max_examples=400, deadline=None, database=None)
    @draw(_MESSAGES, st.lists(st.integers(0, 200), max_size=6))
    def check(messages: list[tuple[str, list[str]]], cuts: list[int]) -> None:
        encoded = {}
        for number, (word, fields) in enumerate(messages):
            try:
                encoded[number] = make_line(word, *fields)
            except SedgeshuntError:
                assert not _is_sendable(fields), fields
        sent = b''.join(encoded.values())
        lines = loop.run(_read_segments(sent, cuts, len(encoded)))
        for number, line in zip(encoded, lines, strict=True):
            word, fields = messages[number]
            assert split_line(line, len(fields)) == [word, *fields]

    check()


@when('a message is built of {fields}')
def build_message(context: Any, fields: str) -> None:
    context.fields = literal_eval(f'({fields},)')


@when('a message exceeds the limit by {excess:d} bytes')
def build_long_message(context: Any, excess: int) -> None:
    word = 'ROW'
    size = READER_LIMIT + excess - len(f'{word} ')
    context.fields = (word, 'x' * size)


@then('it is refused')
def check_refused(context: Any) -> None:
    try:
        line = make_line(*context.fields)
    except SedgeshuntError:
        return
    raise AssertionError(line[:100])


@then('it is read whole')
def check_whole(context: Any) -> None:
    loop = LoopThread()
    context.add_cleanup(loop.close)
    sent = make_line(*context.fields)
    lines = loop.run(_read_segments(sent + sent, [len(sent) - 1], 2))
    line = ' '.join(context.fields)
    assert lines == [line, line]


@given('a target')
def serve_target(context: Any) -> None:
    context.loop = LoopThread()
    context.add_cleanup(context.loop.close)
    context.target = ScriptedTarget()
    context.loop.run(context.target.start())
    context.add_cleanup(lambda: context.loop.run(context.target.close()))


@when('it is sent the statement {name} with the text {text}')
def send_statement(context: Any, name: str, text: str) -> None:
    session = _open_session(context)
    statement = StatementId(literal_eval(name))
    context.error = None
    try:
        context.reply = context.loop.run(
            session.run(statement, literal_eval(text)),
        )
    except SedgeshuntError as failure:
        context.error = failure


@when('it is connected for the customer "{customer}"')
def connect_customer(context: Any, customer: str) -> None:
    context.error = None
    try:
        context.loop.run(_connect(context, CustomerId(customer)))
    except TargetUnreachable as failure:
        context.error = failure


@then("the target can't be reached")
def check_unreachable(context: Any) -> None:
    assert context.error is not None


@given('it answers "{text}" with {lines}')
def set_answer(context: Any, text: str, lines: str) -> None:
    context.target.answers[text] = _encode(lines)


@given('it closes the connection after its answer to "{text}"')
def set_last(context: Any, text: str) -> None:
    context.target.last = text


@then('the answers are "{first}" and "{second}"')
def check_both(context: Any, first: str, second: str) -> None:
    assert context.outcomes == [first, second], context.outcomes


@when('it is asked "{first}" and "{second}"')
def ask_two(context: Any, first: str, second: str) -> None:
    context.outcomes = [_ask(context, text) for text in (first, second)]


@then('the answers are "{first}" and a success')
def check_outcomes(context: Any, first: str) -> None:
    assert context.outcomes == [first, SIGNATURE], context.outcomes


@when('it is asked "{text}"')
def ask_one(context: Any, text: str) -> None:
    context.outcome = _ask(context, text)


@when('without a statement it answers with {lines}')
def send_unasked(context: Any, lines: str) -> None:
    context.loop.run(_write(context.target.writer, _encode(lines)))
    wait_for(ARRIVAL_TIME)


@then('the answer is "{outcome}"')
def check_outcome(context: Any, outcome: str) -> None:
    assert context.outcome == outcome, context.outcome


@then("it can't be sent")
def check_unsendable(context: Any) -> None:
    assert isinstance(context.error, StatementUnsendable), context.error


@then('the target received no message')
def check_no_message(context: Any) -> None:
    assert not context.target.received, context.target.received


@then('the target received no statement')
def check_no_statement(context: Any) -> None:
    assert len(context.target.received) == 1, context.target.received


@then('the target received "{line}"')
def check_received(context: Any, line: str) -> None:
    assert context.target.received[-1] == line, context.target.received


def _encode(lines: str) -> bytes:
    messages = [line.strip('"') for line in lines.split(' and ')]
    return b''.join(line.encode() + LINE_END for line in messages)


async def _write(writer: StreamWriter, encoded: bytes) -> None:
    writer.write(encoded)
    await writer.drain()


def _ask(context: Any, text: str) -> str:
    """Return the signature, the kind of a refusal or the error's name."""
    session = _open_session(context)
    try:
        reply = context.loop.run(session.run(StatementId('q1'), text))
    except SedgeshuntError as failure:
        return type(failure).__name__
    if reply.refusal is None:
        signature: str = reply.signature
        return signature
    kind: str = reply.refusal.kind.value
    return kind


def _open_session(context: Any) -> TargetSession:
    if not hasattr(context, 'session'):
        context.session = context.loop.run(_connect(context, ANONYMOUS))
        context.add_cleanup(lambda: context.loop.run(context.session.close()))
    session: TargetSession = context.session
    return session


async def _connect(context: Any, customer: CustomerId) -> TargetSession:
    return await WireTargetConnector().connect(
        context.target.describe(), GROUP, CONNECT_LIMIT, customer
    )


def _is_sendable(fields: list[str]) -> bool:
    *words, text = fields
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return (
        not any(
            '\r\n' in field or ' ' in field or '\ud800' in field
            for field in words
        )
        and '\r\n' not in text
    )


async def _read_segments(
    sent: bytes,
    cuts: list[int],
    count: int,
) -> list[str]:
    """Return the messages that are read while segments of `sent` arrive."""
    reader = StreamReader(limit=READER_LIMIT)
    reading = create_task(_read_messages(reader, count))
    places = sorted({0, len(sent), *(cut for cut in cuts if cut < len(sent))})
    for begin, end in pairwise(places):
        reader.feed_data(sent[begin:end])
        await sleep(0)
    reader.feed_eof()
    return await reading


async def _read_messages(reader: StreamReader, count: int) -> list[str]:
    lines = [await read_line(reader) for _ in range(count)]
    assert await read_line(reader) is None
    return [line for line in lines if line is not None]


@when(
    'a caller at "{proxy}" executes a prepared write with the longest message'
)
def execute_long(context: Any, proxy: str) -> None:
    caller = context.platform.call(proxy)
    context.caller = caller
    assert caller.connect('kigali')[-1].startswith('READY')
    assert caller.ask('PREPARE s WRITE q')[0].startswith('COMPLETE')
    start = 'QUERY q2 EXECUTE s turn '
    note = 'x' * (READER_LIMIT - len(start))
    caller.send(f'{start}{note}\r\n'.encode())
    context.lines = caller.read()


@then('the answer is "{code}" and the targets ran nothing')
def check_nothing_run(context: Any, code: str) -> None:
    assert context.lines[0].startswith(code), context.lines
    runs = context.platform.platform.group.runs
    assert not runs, [run.statement for run in runs]


@then('the same session writes "{text}"')
def write_on(context: Any, text: str) -> None:
    lines = context.caller.ask(f'WRITE {text}')
    assert lines[0].startswith('COMPLETE'), lines


@when(
    'a caller of each proxy sets {count:d} values of {size:d} bytes and writes'
)
def write_with_values(context: Any, count: int, size: int) -> None:
    context.answers = []
    for proxy in context.platform.proxies:
        caller = context.platform.call(proxy)
        assert caller.connect('kigali')[-1].startswith('READY')
        for number in range(count):
            lines = caller.ask(f'SET v{number} {"x" * size}')
            assert lines[0].startswith('COMPLETE'), lines
        context.answers.append(caller.ask('WRITE turn 7'))


@when('a caller of each proxy begins, writes, and writes with too many values')
def write_long_transactions(context: Any) -> None:
    context.answers = []
    # Kept, as a caller that leaves ends its transaction.
    context.callers = []
    for proxy in context.platform.proxies:
        caller = context.platform.call(proxy)
        context.callers.append(caller)
        assert caller.connect('kigali')[-1].startswith('READY')
        for text in ('BEGIN', 'WRITE turn 7'):
            assert caller.ask(text)[-1].startswith('READY T')
        for number in range(5):
            caller.ask(f'SET v{number} {"x" * 1000000}')
        context.answers.append(caller.ask('WRITE turn 8'))


@then('the targets are told to roll back within {seconds:g} s')
def check_rolled_back(context: Any, seconds: float) -> None:
    words = context.platform.platform.databases.words
    deadline = monotonic() + seconds
    while not words['ROLLBACK']:
        assert monotonic() < deadline, words
        wait_for(ARRIVAL_TIME)


@given('the targets answer reads with {count:d} rows of {size:d} bytes')
def set_rows(context: Any, count: int, size: int) -> None:
    rows = '\r\n'.join(f'ROW {"x" * size}' for _ in range(count))
    lines = context.platform.platform.databases.lines
    lines['READ'] = f'{rows}\r\nCOMPLETE {SIGNATURE}'


@when('a caller of each proxy reads')
def read_long(context: Any) -> None:
    context.answers = []
    for proxy in context.platform.proxies:
        caller = context.platform.call(proxy)
        assert caller.connect('kigali')[-1].startswith('READY')
        caller.send(b'QUERY q1 READ turn\r\n')
        lines = [caller.read_until(LINE_END).decode()]
        while not lines[-1].startswith('READY'):
            lines.append(caller.read_until(LINE_END).decode())
        context.answers.append(lines)


@then('each {_statement} is done or refused with "{code}"')
def check_each(context: Any, _statement: str, code: str) -> None:
    starts = [lines[0][:100] for lines in context.answers]
    done = [start for start in starts if start.startswith(('COMPLETE', 'ROW'))]
    assert done, starts
    for start in set(starts) - set(done):
        assert start.startswith(code), starts


@when('a caller at "{proxy}" sends {message} with a name of {size:d} bytes')
def send_long_name(context: Any, proxy: str, message: str, size: int) -> None:
    caller = context.platform.call(proxy)
    caller.open()
    if not message.startswith('START'):
        caller.send(b'START kigali tester\r\n')
        assert caller.read()[-1].startswith('READY')
    named = message.replace('name', 'x' * size)
    caller.send(f'{named}\r\n'.encode())
    context.answer = caller.read_until(LINE_END)


@then('each line of the answer is shorter than {size:d} bytes')
def check_short(context: Any, size: int) -> None:
    assert context.answer.startswith(b'ERROR'), context.answer[:100]
    assert len(context.answer) < size, len(context.answer)
