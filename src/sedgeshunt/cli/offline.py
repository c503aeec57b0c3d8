"""Check files without reaching any service, and serve as a proxy."""

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from msgspec import Struct

from sedgeshunt.cli.console import Table
from sedgeshunt.cli.context import CommandContext, Context
from sedgeshunt.cli.errors import UsageError
from sedgeshunt.configuration.checks import check_objects
from sedgeshunt.configuration.encoding import build_snapshot
from sedgeshunt.configuration.errors import ObjectsInvalid
from sedgeshunt.configuration.problems import Severity
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.exceptions import ExitCode, SettingsInvalid
from sedgeshunt.identifiers import Revision
from sedgeshunt.settings import Settings, read_settings

_OBJECTS = 'objects'


class Finding(Struct, frozen=True):
    """Hold one problem and where it is."""

    severity: Severity
    subject: str
    message: str


def proxy(
    *,
    settings: Annotated[str, Parameter(help='Settings of this proxy.')],
    context: Context,
) -> None:
    """Serve as a proxy."""
    context.backends.run_proxy(Path(settings))


async def check(
    *files: str,
    settings: Annotated[
        list[str] | None,
        Parameter(help='Settings of a proxy; may be given several times.'),
    ] = None,
    context: Context,
) -> ExitCode:
    """Check operator files and settings without reaching any service."""
    paths = settings or []
    if not files and not paths:
        raise UsageError('no file is given; name operator files or --settings')
    findings = list(_check_all(context, files, paths))
    rows = [
        (finding.severity.value, finding.subject, finding.message)
        for finding in findings
    ]
    headers = ('SEVERITY', 'SUBJECT', 'PROBLEM')
    context.console.show(Table(headers, rows), findings)
    if not findings:
        context.console.tell('no problems found')
    if any(finding.severity is Severity.ERROR for finding in findings):
        return ExitCode.SETTINGS
    return ExitCode.DONE


def _check_all(
    context: CommandContext,
    files: Sequence[str],
    paths: Sequence[str],
) -> Iterator[Finding]:
    snapshot = Snapshot()
    if files:
        try:
            document = context.read_objects(files)
        except ObjectsInvalid as failure:
            yield from _list_errors(_OBJECTS, failure.problems)
        else:
            snapshot = build_snapshot(Revision(0), document.objects)
    for problem in check_objects(snapshot):
        subject = str(problem.subject)
        yield Finding(problem.severity, subject, problem.message)
    for path in paths:
        yield from _check_settings(path, snapshot)


def _check_settings(path: str, snapshot: Snapshot) -> Iterator[Finding]:
    try:
        settings = read_settings(Path(path))
    except SettingsInvalid as failure:
        yield from _list_errors(path, failure.problems)
        return
    if snapshot.proxies:
        yield from _compare_settings(path, settings, snapshot)


def _compare_settings(
    path: str,
    settings: Settings,
    snapshot: Snapshot,
) -> Iterator[Finding]:
    declared = snapshot.proxies.get(settings.name)
    if declared is None:
        yield Finding(
            Severity.WARNING,
            path,
            f'proxy "{settings.name}" is not declared and is no part of '
            + 'rollouts; add a [[proxy]]',
        )
        return
    if declared.zone != settings.zone:
        yield Finding(
            Severity.ERROR,
            path,
            f'zone is "{settings.zone}" here and "{declared.zone}" in the '
            + f'object proxy/{declared.name}; correct one of the two',
        )
    if declared.peer_port != settings.peers.port:
        yield Finding(
            Severity.ERROR,
            path,
            f'peers.port is {settings.peers.port} here and peer_port is '
            + f'{declared.peer_port} in the object proxy/{declared.name}; '
            + 'correct one of the two',
        )


def _list_errors(
    subject: str,
    problems: Sequence[str],
) -> Iterator[Finding]:
    for problem in problems:
        yield Finding(Severity.ERROR, subject, problem)
