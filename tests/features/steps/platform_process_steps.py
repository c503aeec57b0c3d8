"""Check proxy processes over their sockets."""

from asyncio import (
    StreamReader,
    StreamWriter,
    create_task,
    sleep,
    start_server,
)
from contextlib import AsyncExitStack, suppress
from http import HTTPStatus
from json import dumps
from signal import SIGHUP, SIGTERM
from time import monotonic
from typing import Any

from aiohttp.web import (
    Application,
    AppRunner,
    Request,
    Response,
    TCPSite,
    get,
    json_response,
)
from behave import given, then, when

from sedgeshunt.adapters.json_client import JsonClient, JsonReply
from sedgeshunt.identifiers import Incarnation, ProxyId, ZoneId
from sedgeshunt.platform.lines import MAX_MESSAGE_BYTES
from sedgeshunt.ports import Address
from sedgeshunt.registry.entries import InstanceEntry, encode_entry
from sedgeshunt.registry.keys import make_instance_key
from tests.features.driver_bench import LoopThread
from tests.features.platform_bench import (
    Caller,
    PlatformBench,
    ProxyUnderTest,
)
from tests.standins.foreign import make_nested
from tests.standins.statement_front import HOST

# Input bytes by their name in the feature.
INPUTS = {
    'no session': b'QUERY q1 READ turn\r\n',
    'no text': b'\xff\xfe\xfd\r\n',
    'an unknown message': b'START kigali tester\r\nHELLO there\r\n',
    'an endless line': b'x' * (MAX_MESSAGE_BYTES + 1),
    'an unknown database': b'START nowhere tester\r\n',
    'half a line': b'START kig',
    'a frame of garbage': b'\x00\x00\x00\x04abcd',
    'a frame without end': b'\xff\xff\xff\xff',
    'no HTTP': b'\x00\x01\x02\r\n\r\n',
}
# Entries of the store by their name in the feature.
ENTRIES = {
    '4000 opening brackets': make_nested('x', '[', ']', 4000, is_whole=False),
    '4000 nested lists': make_nested('x', '[', ']', 4000, is_whole=True),
    '200000 nested lists': make_nested('x', '[', ']', 200000, is_whole=True),
    '100000 nested maps': make_nested('x', '{"x":', '}', 100000, is_whole=True),
    'a number of 5000 digits': f'{{"born": {"9" * 5000}}}'.encode(),
    'a usable address': dumps(
        {'service': 'songbook', 'zone': 'east', 'address': '127.0.0.1:9'},
    ).encode(),
    'an address of 900000 bytes': dumps(
        {'service': 'songbook', 'zone': 'east', 'address': '9' * 900000},
    ).encode(),
}
LONGEST_LOG_LINE = 2000
# Answers of the store by their name in the feature.
BODIES = {
    'an empty list': '[]',
    'an empty map': '{}',
    'nothing': '',
    'nested lists': make_nested('x', '[', ']', 4000, is_whole=True).decode(),
    'fields of other types': dumps(
        {
            'items': 3,
            'events': 'x',
            'at_revision': [],
            'lease_id': {},
            'has_more': {},
        },
    ),
    'items that are texts': dumps(
        {'items': ['x'], 'events': ['x'], 'at_revision': 1, 'has_more': False},
    ),
    'values not in base64': dumps(
        {
            'items': [{'key': 'op/config', 'value': 'x', 'revision': 10**6}],
            'events': [{'key': 'op/config', 'value': 'x', 'revision': 10**6}],
            'at_revision': 10**6,
            'has_more': False,
        },
    ),
}
CLOSE_DELAY = 0.3
# Table columns: start of the answer, and session state after it.
ANSWER, STATE = 'answer', 'state'


def open_platform(context: Any) -> PlatformBench:
    """Return the bench of the scenario; its end closes the bench."""
    if not hasattr(context, 'platform'):
        context.platform = PlatformBench()
        context.add_cleanup(context.platform.close)
    bench: PlatformBench = context.platform
    return bench


@given('processes "{names}" that are not ready')
def start_processes(context: Any, names: str) -> None:
    bench = open_platform(context)
    for name in names.split(', '):
        bench.add(name).start()
    for proxy in bench.proxies.values():
        proxy.wait_line('proxy-started')


@given('processes "{names}"')
def start_ready(context: Any, names: str) -> None:
    start_processes(context, names)
    for proxy in context.platform.proxies.values():
        proxy.wait_ready()
    wait_owner(context)


@when('a proxy owns the group')
def wait_owner(context: Any) -> None:
    bench: PlatformBench = context.platform
    any_proxy = next(iter(bench.proxies.values()))
    any_proxy.wait_until(bench.platform.is_owned)


@given('another caller of "{database}" at "{proxy}" over the wire')
def connect_other(context: Any, database: str, proxy: str) -> None:
    context.other = context.platform.call(proxy)
    _connect(context.other, database)


@given('a caller of "{database}" at "{proxy}" has begun over the wire')
def begin(context: Any, database: str, proxy: str) -> None:
    context.caller = context.platform.call(proxy)
    _connect(context.caller, database)
    assert context.caller.ask('BEGIN')[-1].startswith('READY T')
    assert context.caller.ask('WRITE turn 1')[-1].startswith('READY T')


@when('a caller of "{database}" at "{proxy}" runs "{text}" over the wire')
def run(context: Any, database: str, proxy: str, text: str) -> None:
    context.caller = context.platform.call(proxy)
    _connect(context.caller, database)
    context.lines = context.caller.ask(text)


@when('the transaction commits over the wire')
def commit(context: Any) -> None:
    context.lines = context.caller.ask('COMMIT')


@when('a caller of "{database}" at "{proxy}" runs these over the wire')
def run_table(context: Any, database: str, proxy: str) -> None:
    caller = context.platform.call(proxy)
    _connect(caller, database)
    for row in context.table:
        lines = caller.ask(row['text'])
        seen = (row['text'], lines, context.platform.read_logs())
        assert lines[0].startswith(row[ANSWER]), seen
        assert lines[-1].startswith(f'READY {row[STATE]}'), seen


@then('the wire response starts with "{line}"')
def check_line(context: Any, line: str) -> None:
    assert context.lines[0].startswith(line), context.lines


@when('"{name}" is sent to "{use}" of "{proxy}"')
def send_bytes(context: Any, name: str, use: str, proxy: str) -> None:
    port = context.platform.proxies[proxy].ports[use]
    context.caller = Caller(context.platform.loop, port)
    context.caller.open()
    context.caller.send(INPUTS[name])
    if name == 'half a line':
        context.caller.end()


@then('the sender receives "{code}"')
def check_response(context: Any, code: str) -> None:
    context.lines = context.caller.read()
    if context.lines and context.lines[0].startswith('READY'):
        context.lines = context.caller.read()
    assert context.lines[0].startswith(code), context.lines


@then('the sender receives ""')
def ignore_response(context: Any) -> None:
    context.lines = []


@then('the connection is closed')
def check_closed(context: Any) -> None:
    assert context.caller.read() in ([], ['HTTP/1.1 400'])


@then('the other caller is served within {limit:d} ms')
def check_other(context: Any, limit: int) -> None:
    _check_served(context.other, limit)


@then('a caller of "{database}" at "{proxy}" is served within {limit:d} ms')
def check_new(context: Any, database: str, proxy: str, limit: int) -> None:
    caller = context.platform.call(proxy)
    _connect(caller, database)
    _check_served(caller, limit)


@when('a caller of "{database}" at "{proxy}" sends {count:d} reads')
def send_many(context: Any, database: str, proxy: str, count: int) -> None:
    caller = context.platform.call(proxy)
    _connect(caller, database)
    caller.send(b'QUERY q1 READ turn\r\n' * count)
    context.platform.wait(1)


@when('{count:d} callers open sessions at "{proxy}"')
def open_many(context: Any, count: int, proxy: str) -> None:
    callers = [context.platform.call(proxy) for _ in range(count)]
    context.responses = [caller.connect('kigali')[0] for caller in callers]


@then('{count:d} of them are accepted')
def check_accepted(context: Any, count: int) -> None:
    accepted = [line for line in context.responses if line.startswith('READY')]
    assert len(accepted) == count, len(accepted)


@then('the others receive "{code}"')
def check_others(context: Any, code: str) -> None:
    others = [
        line for line in context.responses if not line.startswith('READY')
    ]
    assert others
    assert all(line.startswith(code) for line in others), others


@when('"{proxy}" gets SIGTERM')
def stop(context: Any, proxy: str) -> None:
    context.platform.proxies[proxy].signal(SIGTERM)


@when('another client writes these entries for databases')
def write_entries(context: Any) -> None:
    context.entries = [f'servers/{row["id"]}' for row in context.table]
    for key, row in zip(context.entries, context.table, strict=True):
        context.platform.platform.write(key, ENTRIES[row['content']])


@when('another client lists a proxy at host "{host}"')
def list_proxy(context: Any, host: str) -> None:
    name = ProxyId('east-9')
    entry = InstanceEntry(name, Incarnation('x'), ZoneId('east'), host, 9)
    key = make_instance_key(name)
    context.platform.platform.write(key, encode_entry(entry))
    context.platform.wait(2)


@when('"{proxy}" is killed and started again')
def start_again(context: Any, proxy: str) -> None:
    process: ProxyUnderTest = context.platform.proxies[proxy]
    process.close()
    process.output.unlink()
    process.start()
    process.wait_ready()


@then('the log of "{proxy}" has one short line "{event}" for each')
def check_lines(context: Any, proxy: str, event: str) -> None:
    process: ProxyUnderTest = context.platform.proxies[proxy]
    process.wait_until(
        lambda: len(process.list_lines(event)) >= len(context.entries),
    )
    lines = [str(line) for line in process.list_lines(event)]
    assert max(map(len, lines)) < LONGEST_LOG_LINE
    for key in context.entries:
        assert sum(key in line for line in lines) == 1, (key, lines)


@then('the page "{path}" of "{proxy}" returns {status:d}')
def check_page(context: Any, path: str, proxy: str, status: int) -> None:
    process = context.platform.proxies[proxy]
    process.wait_until(lambda: process.fetch('readiness', path)[0] == status)


@then('the other caller receives "{code}"')
def check_other_response(context: Any, code: str) -> None:
    lines = context.other.read()
    assert lines[0].startswith(code), lines


@then('process "{proxy}" has exited with {code:d}')
def check_end(context: Any, proxy: str, code: int) -> None:
    assert context.platform.proxies[proxy].wait_end() == code


@then('the log of "{proxy}" has no "{event}"')
def check_no_line(context: Any, proxy: str, event: str) -> None:
    lines = context.platform.proxies[proxy].list_lines(event)
    assert not lines, lines


@then('the log of "{proxy}" has "{event}"')
def check_log(context: Any, proxy: str, event: str) -> None:
    context.platform.proxies[proxy].wait_line(event)


@when('the store is removed from the settings of "{proxy}" and it gets SIGHUP')
def break_settings(context: Any, proxy: str) -> None:
    context.proxy = context.platform.proxies[proxy]
    text = context.proxy.settings.read_text()
    context.proxy.settings.write_text(text.replace('[store]', '[shop]'))
    context.proxy.signal(SIGHUP)


@when(
    'the settings of "{proxy}" become {depth:d} nested lists and it gets SIGHUP'
)
def nest_settings(context: Any, proxy: str, depth: int) -> None:
    context.proxy = context.platform.proxies[proxy]
    context.proxy.settings.write_text(f'x = {"[" * depth}{"]" * depth}')
    context.proxy.signal(SIGHUP)


@when('the store of "{proxy}" moves to a second address without a signal')
def move_store(context: Any, proxy: str) -> None:
    context.proxy = context.platform.proxies[proxy]
    platform = context.platform.platform
    platform.move()
    context.calls_before = platform.front.calls
    context.proxy.write_settings(platform.port)


@then('calls arrive at the second address')
def check_calls(context: Any) -> None:
    front = context.platform.platform.front
    context.proxy.wait_until(lambda: front.calls > context.calls_before + 3)


@then('its log line "{event}" names "{text}"')
def check_reload(context: Any, event: str, text: str) -> None:
    assert text in str(context.proxy.wait_line(event))


@then('the metrics of "{proxy}" have "{text}"')
def check_metrics(context: Any, proxy: str, text: str) -> None:
    process: ProxyUnderTest = context.platform.proxies[proxy]
    assert text in process.fetch('metrics', '/metrics')[1]


@given('the store answers {status:d}')
def refuse_calls(context: Any, status: int) -> None:
    open_platform(context).platform.front.refusal = status


@when('the store answers again')
def answer_calls(context: Any) -> None:
    context.platform.platform.front.refusal = None


@given('settings with mistakes')
def write_mistakes(context: Any) -> None:
    context.proxy = open_platform(context).add('east-1')
    context.proxy.write_settings(1, 'colour = "red"')
    text = context.proxy.settings.read_text()
    text = text.replace('grace_seconds = 3', 'grace_seconds = "soon"')
    context.proxy.settings.write_text(text.replace('[store]', '[shop]'))


@then('the process exits with code {code:d} and reports')
def check_mistakes(context: Any, code: int) -> None:
    context.proxy.start()
    assert context.proxy.wait_end() == code
    log = context.proxy.output.read_text()
    for row in context.table:
        assert row['problem'] in log, log


@given('a call that a service answers after {seconds:g} s')
def prepare_call(context: Any, seconds: float) -> None:
    context.loop = LoopThread()
    context.add_cleanup(context.loop.close)
    context.seen = []
    context.delay = seconds


@given('a service that ends each connection with its answer, later')
def serve_ended(context: Any) -> None:
    context.loop = LoopThread()
    context.add_cleanup(context.loop.close)
    context.accepted = 0


@when('it is called {times:d} times')
def call_ended(context: Any, times: int) -> None:
    context.replies = context.loop.run(_call_ended(context, times))


@then('each call is answered on a connection of its own')
def check_connections(context: Any) -> None:
    statuses = {reply.status for reply in context.replies}
    assert statuses == {HTTPStatus.OK}, statuses
    assert context.accepted == len(context.replies)


@given('a store that ends each connection with its answer')
def end_connections(context: Any) -> None:
    open_platform(context).platform.front.ends_connections = True


@when('the store answers for {seconds:g} s with {content}')
def answer_badly(context: Any, seconds: float, content: str) -> None:
    context.platform.platform.front.body = BODIES[content]
    context.platform.wait(seconds)
    context.platform.platform.front.body = None


@when('the targets answer "{word}" for {seconds:g} s with "{line}"')
def answer_odd(context: Any, word: str, seconds: float, line: str) -> None:
    platform = context.platform.platform
    platform.databases.lines[word] = line.replace('MANY', '9' * 5000)
    # The owner queries the status of all targets when it starts anew.
    start_again(context, 'east-1')
    for proxy in context.platform.proxies:
        caller = context.platform.call(proxy)
        with suppress(OSError):
            caller.connect('kigali')
            caller.send(b'QUERY q READ turn\r\n')
    context.platform.wait(seconds)


@then('processes "{names}" are running')
def check_running(context: Any, names: str) -> None:
    for name in names.split(', '):
        process = context.platform.proxies[name]
        assert process.is_running(), process.output.read_text()[-2000:]


@when('the targets answer as before')
def answer_well(context: Any) -> None:
    context.platform.platform.databases.lines.clear()


@then('a caller of "{database}" at "{proxy}" is served again')
def check_again(context: Any, database: str, proxy: str) -> None:
    caller = context.platform.call(proxy)
    _connect(caller, database)
    process: ProxyUnderTest = context.platform.proxies[proxy]
    process.wait_until(lambda: caller.ask('READ turn')[0].startswith('ROW'))


@when(
    'a caller at "{proxy}" writes a text with a line feed and another message'
)
def write_lines(context: Any, proxy: str) -> None:
    context.written = (
        'first\nQUERY q9 WRITE turn second\r\rCOMPLETE -\nREADY I -'
    )
    caller = context.platform.call(proxy)
    _connect(caller, 'kigali')
    caller.send(f'QUERY q1 WRITE turn {context.written}\r\n'.encode())
    assert caller.read_until(b'READY I -\r\n').startswith(b'COMPLETE')


@then('the targets ran one statement with that text')
def check_one_run(context: Any) -> None:
    runs = context.platform.platform.group.runs
    texts = [(run.statement, run.text) for run in runs]
    assert texts == [('q1', f'WRITE turn {context.written}')], texts


@then('a caller at "{proxy}" reads the same text in one row')
def check_row(context: Any, proxy: str) -> None:
    caller = context.platform.call(proxy)
    _connect(caller, 'kigali')
    caller.send(b'QUERY q2 READ turn\r\n')
    answer = caller.read_until(b'\r\nREADY I -\r\n')
    assert answer.startswith(f'ROW {context.written}\r\n'.encode()), answer


@when('the service moves during the call')
def move_service(context: Any) -> None:
    context.loop.run(_move_during_call(context))


@then('the next call arrives at its new address')
def check_moved(context: Any) -> None:
    assert context.seen == ['old', 'new'], context.seen


async def _move_during_call(context: Any) -> None:
    async with AsyncExitStack() as owned:
        old = await _serve_as(context, 'old', owned)
        new = await _serve_as(context, 'new', owned)
        client = JsonClient([old], keeps_connections=True)
        owned.push_async_callback(client.close)
        call = create_task(client.exchange('GET', '/'))
        await sleep(context.delay / 2)
        client.move(new)
        await call
        await client.exchange('GET', '/')


async def _call_ended(context: Any, times: int) -> list[JsonReply]:
    async def answer(reader: StreamReader, writer: StreamWriter) -> None:
        context.accepted += 1
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
            b'Content-Length: 2\r\n\r\n{}',
        )
        # The end of the stream arrives after the next request.
        await sleep(CLOSE_DELAY)
        writer.close()

    server = await start_server(answer, HOST, 0)
    address = Address(HOST, server.sockets[0].getsockname()[1])
    client = JsonClient([address], keeps_connections=True)
    try:
        return [await client.exchange('GET', '/') for _ in range(times)]
    finally:
        await client.close()
        server.close()


async def _serve_as(
    context: Any,
    name: str,
    owned: AsyncExitStack,
) -> Address:
    async def answer(_request: Request) -> Response:
        context.seen.append(name)
        await sleep(context.delay)
        return json_response({})

    application = Application()
    application.add_routes([get('/', answer)])
    runner = AppRunner(application, shutdown_timeout=0)
    await runner.setup()
    owned.push_async_callback(runner.cleanup)
    await TCPSite(runner, HOST, 0).start()
    return Address(HOST, runner.addresses[0][1])


def _connect(caller: Caller, database: str) -> None:
    lines = caller.connect(database)
    assert lines[-1].startswith('READY I'), lines


def _check_served(caller: Caller, limit: int) -> None:
    started_at = monotonic()
    lines = caller.ask('READ turn')
    elapsed_ms = (monotonic() - started_at) * 1000
    assert lines[-1].startswith('READY I'), lines
    assert elapsed_ms < limit, elapsed_ms
