"""Check what operators see at the command line."""

from asyncio import CancelledError, Task, create_task, sleep
from pathlib import Path
from shlex import split
from typing import Any

from behave import given, then, when
from msgspec.json import decode

from sedgeshunt.cli.testing import CommandResult, CommandRunner
from sedgeshunt.configuration.documents import write_document
from sedgeshunt.configuration.history import ChangeHistory
from sedgeshunt.configuration.objects import LEAVING, STATE_LABEL
from sedgeshunt.identifiers import ChangeId, TargetId
from tests.features.fleet_bench import FleetBench
from tests.standins.network import Place
from tests.standins.peers import MemoryPeerConnector

EXAMPLES = Path(__file__).resolve().parents[3] / 'examples'
COMMANDS = (
    'proxy apply get describe label delete diff history rollout explain '
    'drain check completion'
)
BROKEN = '[[target]]\nname = "t"\ngroup = "g"\nhost = "127.0.0.1"\nport = 1\n'
WRONG = (
    '[[target]]\nname = "t"\ngroup = "opera"\nhost = "127.0.0.1"\n'
    'port = 1\nzone = "east"\n'
)


@given('a desk with {count:d} running proxies')
def open_desk(context: Any, count: int) -> None:
    bench = FleetBench()
    context.bench = bench
    context.add_cleanup(bench.close)
    context.files = {
        'objects.toml': write_document(bench.list_objects()),
        'broken.toml': BROKEN,
        'wrong.toml': WRONG,
    }
    connector = MemoryPeerConnector(bench.peers, Place('desk', 'office'))
    context.runner = CommandRunner(bench.open_platform(), connector)
    bench.start(count)


@given('the operator has run "{command}"')
def run_before(context: Any, command: str) -> None:
    run_command(context, command)
    assert context.result.exit_code == 0, context.result.stderr


@when('the operator runs "{command}"')
def run_command(context: Any, command: str) -> None:
    context.result = context.bench.run(invoke(context, command))


@when('the operator keeps "{command}" as {name}')
def keep_output(context: Any, command: str, name: str) -> None:
    run_before(context, command)
    context.files[name] = context.result.stdout


@when(
    'the operator runs "{command}" and interrupts after {seconds:g} seconds',
)
def interrupt_command(context: Any, command: str, seconds: float) -> None:
    context.result = context.bench.run(
        _interrupt(invoke(context, command), sleep(seconds)),
    )


@when('the operator runs "{command}" and interrupts while it is sent')
def interrupt_sending(context: Any, command: str) -> None:
    store = context.bench.service.store
    context.bench.service.slow(1)
    context.result = context.bench.run(
        _interrupt(invoke(context, command), store.changed.wait()),
    )


@then('the command ends with {code:d}')
def check_code(context: Any, code: int) -> None:
    result: CommandResult = context.result
    assert result.exit_code == code, result


@then('the command ends with {code:d} and writes "{text}"')
def check_output(context: Any, code: int, text: str) -> None:
    check_code(context, code)
    assert text in context.result.stdout, context.result.stdout


@then('the error says "{text}"')
def check_error(context: Any, text: str) -> None:
    assert text in context.result.stderr, context.result.stderr


@then('all proxies have target "{name}" marked as leaving')
def check_marked(context: Any, name: str) -> None:
    for node in context.bench.nodes.values():
        target = node.feed.snapshot.targets[TargetId(name)]
        assert target.labels[STATE_LABEL] == LEAVING


@then('the result is JSON with {count:d} proxies in force')
def check_json(context: Any, count: int) -> None:
    document = decode(context.result.stdout)
    states = [one['state'] for one in document['proxies']]
    assert set(states) == {'in force'}
    assert len(states) == count


@then('the error names the change and all its objects are there')
def check_interrupted(context: Any) -> None:
    words = context.result.stderr.split()
    change = ChangeId(words[words.index('change') + 1])
    context.bench.wait(3)
    history = ChangeHistory(context.bench.open_platform())
    lookup = context.bench.run(history.find_change(change))
    assert lookup.found is not None
    stored = context.bench.run(context.bench.open_registry('x').read())
    objects = list(stored.snapshot.list_objects())
    assert objects == context.bench.list_objects()


@given('the service behind the desk is down')
def stop_service(context: Any) -> None:
    context.bench.service.outage()


@when('the files of example "{example}" are checked')
def check_example(context: Any, example: str) -> None:
    open_desk(context, 0)
    folder = EXAMPLES / example
    context.files['example.toml'] = (folder / 'objects.toml').read_text()
    settings = [
        f'--settings {path}' for path in sorted(folder.glob('*/settings.toml'))
    ]
    assert len(settings) == 6
    run_command(context, f'check example.toml {" ".join(settings)}')


@then('the help of each command shows an example')
def check_help(context: Any) -> None:
    for name in COMMANDS.split():
        run_command(context, f'{name} --help')
        check_output(context, 0, f'Example: sedgeshunt {name}')
    run_command(context, 'completion --shell bash')
    for name in COMMANDS.split():
        assert name in context.result.stdout


@then('the command ends with {code:d} and a proxy was started with "{path}"')
def check_started(context: Any, code: int, path: str) -> None:
    check_code(context, code)
    assert context.runner.started == [Path(path)]


async def invoke(context: Any, command: str) -> CommandResult:
    result: CommandResult = await context.runner.invoke(
        split(command),
        context.files,
    )
    return result


async def _interrupt(work: Any, moment: Any) -> CommandResult:
    task: Task[CommandResult] = create_task(work)
    await moment
    task.cancel()
    try:
        return await task
    except CancelledError:
        raise AssertionError(
            'the command did not turn it into a code'
        ) from None
