"""Show where statements wait, by the metrics pages of instances."""

from asyncio import Semaphore, TaskGroup, timeout
from typing import Annotated

from cyclopts import Parameter
from result import Err, Ok, Result

from sedgeshunt.cli.console import Table
from sedgeshunt.cli.context import Context, read_address
from sedgeshunt.cli.errors import UsageError
from sedgeshunt.cli.fleet import ANSWER_TIMEOUT, ASKED_AT_ONCE
from sedgeshunt.cli.load_report import (
    QUEUED,
    LoadReport,
    PageAnswer,
    build_load_report,
)
from sedgeshunt.exceptions import ExitCode, PeerUnreachable
from sedgeshunt.metrics import MetricsReader
from sedgeshunt.ports import Address

HEADERS = (
    'GROUP',
    'TARGET',
    'CLASS',
    'RUNNING',
    'QUEUED',
    'CONNECTIONS',
    'INSTANCES',
    'WAIT MS',
    'REFUSED',
    'NOT READ',
)
_BLANK = ''


async def load(
    *addresses: Annotated[
        str,
        Parameter(help='HOST:PORT of the metrics page of each instance.'),
    ],
    context: Context,
) -> ExitCode:
    """Show the load by group, target and traffic class."""
    if not addresses:
        raise UsageError(
            'no instance is named; give the HOST:PORT of its metrics page, '
            + 'such as 127.0.0.1:9100',
        )
    # An instance that is named twice must not be counted twice.
    places = {read_address(text): text for text in addresses}
    reader = context.backends.make_metrics_reader()
    report = build_load_report(await _read_all(reader, places))
    context.console.show(Table(HEADERS, _list_rows(report)), report)
    for each in report.missing:
        context.console.tell(
            f'instance {each.instance} could not be read ({each.failure}); '
            + 'its statements are not in the table',
        )
    return ExitCode.PROXY_UNREACHABLE if report.missing else ExitCode.DONE


async def _read_all(
    reader: MetricsReader,
    places: dict[Address, str],
) -> list[PageAnswer]:
    permits = Semaphore(ASKED_AT_ONCE)
    async with TaskGroup() as tasks:
        reading = [
            tasks.create_task(_read(reader, address, permits))
            for address in places
        ]
    # Parsed once all are read: parsing the largest page takes 46 ms, and with
    # many instances the others would run out of time meanwhile.
    return [
        _parse(reader, name, task.result())
        for name, task in zip(places.values(), reading, strict=True)
    ]


async def _read(
    reader: MetricsReader,
    address: Address,
    permits: Semaphore,
) -> Result[str, str]:
    try:
        async with permits, timeout(ANSWER_TIMEOUT):
            return Ok(await reader.read(address))
    except TimeoutError:
        return Err(f'no answer in {ANSWER_TIMEOUT} s')
    except PeerUnreachable as failure:
        return Err(failure.reason)


def _parse(
    reader: MetricsReader,
    name: str,
    page: Result[str, str],
) -> PageAnswer:
    if isinstance(page, Err):
        return PageAnswer(name, None, page.err_value)
    try:
        samples = reader.parse(page.ok_value)
    except ValueError:
        return PageAnswer(name, None, 'what it answers is no metrics page')
    if QUEUED not in samples:
        reason = f'its page has no {QUEUED}; its build may be older'
        return PageAnswer(name, None, reason)
    return PageAnswer(name, samples)


def _list_rows(report: LoadReport) -> list[tuple[str, ...]]:
    rows: list[tuple[str, ...]] = [
        (
            each.group,
            each.target,
            _BLANK,
            str(each.running),
            str(each.queued),
            str(each.connections),
            str(each.instances),
            _BLANK,
            _BLANK,
            _BLANK,
        )
        for each in report.targets
    ]
    rows.extend(
        _make_class_row(
            (wait.group, wait.target, wait.traffic_class),
            wait=f'{wait.expected_wait_ms:g}',
        )
        for wait in report.waits
    )
    rows.extend(
        _make_class_row(
            (refusals.group, _BLANK, refusals.traffic_class),
            refused=_join_causes(refusals.by_cause),
        )
        for refusals in report.refusals
    )
    missing = [
        (*(_BLANK for _ in HEADERS[1:]), f'{each.instance}: {each.failure}')
        for each in report.missing
    ]
    return [*sorted(rows), *missing]


def _make_class_row(
    key: tuple[str, str, str],
    wait: str = _BLANK,
    refused: str = _BLANK,
) -> tuple[str, ...]:
    levels = (_BLANK, _BLANK, _BLANK, _BLANK)
    return (*key, *levels, wait, refused, _BLANK)


def _join_causes(by_cause: dict[str, int]) -> str:
    return ', '.join(f'{cause} {count}' for cause, count in by_cause.items())
