"""Show how fast the error budgets burn, and why."""

from importlib import import_module
from itertools import chain
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from sedgeshunt.burn.buckets import COARSE_RETENTION
from sedgeshunt.burn.report import BurnReport, build_report
from sedgeshunt.cli.burn_text import describe_report, list_payload
from sedgeshunt.cli.console import Console
from sedgeshunt.cli.context import CommandContext, Context
from sedgeshunt.cli.errors import UsageError
from sedgeshunt.cli.fleet import Fleet, ProxyAnswer
from sedgeshunt.configuration.errors import ObjectNotFound
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import Objective, ObjectKind
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.configuration.store import read_store
from sedgeshunt.exceptions import ExitCode
from sedgeshunt.identifiers import GroupId, ProxyId
from sedgeshunt.ports import PeerConnection

PICTURES = ('.png', '.svg')


async def burn(
    *,
    group: Annotated[
        str | None,
        Parameter(help='Show the spans without writes of this group only.'),
    ] = None,
    traffic_class: Annotated[
        str | None,
        Parameter(
            name=('--traffic-class', '--class'),
            help='Show the objectives of this class only.',
        ),
    ] = None,
    plot: Annotated[
        Path | None,
        Parameter(help='Draw the report into this .png or .svg file too.'),
    ] = None,
    context: Context,
) -> ExitCode:
    """Show how fast the error budgets burn, and why."""
    if plot is not None and plot.suffix not in PICTURES:
        raise UsageError(f'"{plot}" is no picture; end it in .png or .svg')
    snapshot = await _read_snapshot(context, group)
    objectives = _choose_objectives(snapshot, traffic_class)
    fleet = Fleet(context.backends.make_connector())
    answers = await fleet.ask_all(snapshot.proxies.values(), _ask_tallies)
    report = _build(answers, objectives, group)
    context.console.show_text(describe_report(report), list_payload(report))
    _tell_missing(context.console, report, answers)
    if plot is not None:
        _draw(report, plot)
    return ExitCode.PROXY_UNREACHABLE if report.missing else ExitCode.DONE


async def _read_snapshot(
    context: CommandContext,
    group: str | None,
) -> Snapshot:
    async with context.open_platform() as platform:
        snapshot = (await read_store(platform)).snapshot
    if group is not None and GroupId(group) not in snapshot.groups:
        raise ObjectNotFound(ObjectKey(ObjectKind.GROUP, group))
    return snapshot


def _choose_objectives(
    snapshot: Snapshot,
    traffic_class: str | None,
) -> list[Objective]:
    chosen = [
        objective
        for _, objective in sorted(snapshot.objectives.items())
        if traffic_class in {None, objective.traffic_class}
    ]
    if chosen:
        return chosen
    which = (
        'objective'
        if traffic_class is None
        else (f'objective of class "{traffic_class}"')
    )
    raise UsageError(
        f'no {which} is declared; apply a file with an [[objective]] table',
    )


async def _ask_tallies(connection: PeerConnection) -> list[bytes]:
    return list(await connection.copy_tallies(COARSE_RETENTION))


def _build(
    answers: list[ProxyAnswer[list[bytes]]],
    objectives: list[Objective],
    group: str | None,
) -> BurnReport:
    tallies = chain.from_iterable(given.answer or () for given in answers)
    expected = [ProxyId(given.proxy.name) for given in answers]
    only = None if group is None else GroupId(group)
    return build_report(tallies, objectives, expected, only)


def _tell_missing(
    console: Console,
    report: BurnReport,
    answers: list[ProxyAnswer[list[bytes]]],
) -> None:
    failures = {given.proxy.name: given.failure for given in answers}
    for proxy in report.missing:
        reason = failures[proxy] or 'its answer cannot be read here'
        console.tell(
            f'proxy {proxy} is missing ({reason}); what it counted since '
            + 'the last copy is not in the report',
        )
    if report.without_past:
        names = ', '.join(report.without_past)
        console.tell(
            f'no counts from before the start of {names}: new, or restarted '
            + 'while no peer held a copy; then earlier counts are missing',
        )


def _draw(report: BurnReport, path: Path) -> None:
    # Imported here: it takes longer than all else that a command does.
    draw = import_module('sedgeshunt.burn.plot').draw_report
    try:
        draw(report, path)
    except OSError as failure:
        raise UsageError(
            f'{path} cannot be written ({failure.strerror}); '
            + 'name a file in a folder that you may write to',
        ) from failure
