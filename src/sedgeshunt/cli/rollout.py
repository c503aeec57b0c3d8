"""Show which proxy has which revision in force."""

from asyncio import sleep
from collections.abc import Iterable
from enum import Enum
from typing import Annotated

from cyclopts import Parameter
from msgspec import Struct

from sedgeshunt.cli.console import Console, Table
from sedgeshunt.cli.context import CommandContext, Context
from sedgeshunt.cli.fleet import Fleet, ProxyAnswer
from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import LEAVING, STATE_LABEL, Proxy
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.configuration.store import read_store
from sedgeshunt.exceptions import ExitCode
from sedgeshunt.identifiers import Revision, Seconds
from sedgeshunt.ports import PeerConnection, ProxyReport

POLL_EVERY = Seconds(0.5)

Wait = Annotated[
    float,
    Parameter(help='Wait so many seconds until all have it in force.'),
]


class RolloutState(Enum):
    """Tell how far a proxy has got."""

    IN_FORCE = 'in force'
    BEHIND = 'behind'
    LEAVING = 'leaving'
    NO_ANSWER = 'no answer'


class RolloutRow(Struct, frozen=True):
    """Hold what one proxy has in force."""

    proxy: str
    zone: str
    state: RolloutState
    revision: int | None
    failure: str


class Rollout:
    """Follow one revision to all proxies."""

    def __init__(
        self,
        fleet: Fleet,
        proxies: Iterable[Proxy],
        revision: Revision,
        console: Console,
    ) -> None:
        """Show progress on `console`."""
        self._fleet = fleet
        self._proxies = tuple(proxies)
        self._revision = revision
        self._console = console
        self._told = ''

    async def follow(self, wait: Seconds) -> ExitCode:
        """Wait until all have the revision, show the rest, return a code."""
        until = read_clock() + wait
        rows = await self._ask()
        while _is_open(rows) and read_clock() < until:
            self._tell_progress(rows)
            await sleep(min(POLL_EVERY, max(0, until - read_clock())))
            rows = await self._ask()
        self._show(rows)
        return _choose_code(rows)

    async def _ask(self) -> list[RolloutRow]:
        answers = await self._fleet.ask_all(self._proxies, _ask_report)
        return [self._read_answer(answer) for answer in answers]

    def _read_answer(self, answer: ProxyAnswer[ProxyReport]) -> RolloutRow:
        report = answer.answer
        return RolloutRow(
            answer.proxy.name,
            answer.proxy.zone,
            self._judge(answer.proxy, report),
            None if report is None else report.revision,
            answer.failure,
        )

    def _judge(self, proxy: Proxy, report: ProxyReport | None) -> RolloutState:
        is_stopping = report is not None and report.stopping
        if is_stopping or proxy.labels.get(STATE_LABEL) == LEAVING:
            return RolloutState.LEAVING
        if report is None:
            return RolloutState.NO_ANSWER
        if report.revision >= self._revision:
            return RolloutState.IN_FORCE
        return RolloutState.BEHIND

    def _tell_progress(self, rows: list[RolloutRow]) -> None:
        done = [row for row in rows if not _is_open([row])]
        progress = (
            f'{len(done)} of {len(rows)} proxies done with '
            + f'revision {self._revision}'
        )
        if progress != self._told:
            self._console.tell(progress)
        self._told = progress

    def _show(self, rows: list[RolloutRow]) -> None:
        headers = ('PROXY', 'ZONE', 'STATE', 'REVISION', 'FAILURE')
        cells = [
            (
                row.proxy,
                row.zone,
                row.state.value,
                '' if row.revision is None else str(row.revision),
                row.failure,
            )
            for row in rows
        ]
        payload = {'revision': self._revision, 'proxies': rows}
        self._console.show(Table(headers, cells), payload)
        if _is_open(rows):
            self._console.tell(
                f'revision {self._revision} is not in force everywhere; '
                + 'look at the log and the zone of the proxies that lack it',
            )


async def follow_rollout(
    context: CommandContext,
    snapshot: Snapshot,
    revision: Revision,
    wait: float,
) -> ExitCode:
    """Show how far `revision` got, waiting for it if told to."""
    following = Rollout(
        Fleet(context.backends.make_connector()),
        snapshot.proxies.values(),
        revision,
        context.console,
    )
    return await following.follow(Seconds(wait))


async def rollout(
    *,
    wait: Wait = 0,
    context: Context,
) -> ExitCode:
    """Show which proxy has the newest revision in force and which not."""
    async with context.open_platform() as platform:
        snapshot = (await read_store(platform)).snapshot
    return await follow_rollout(context, snapshot, snapshot.revision, wait)


async def _ask_report(connection: PeerConnection) -> ProxyReport:
    return await connection.report()


def _is_open(rows: list[RolloutRow]) -> bool:
    return _choose_code(rows) is not ExitCode.DONE


def _choose_code(rows: list[RolloutRow]) -> ExitCode:
    states = {row.state for row in rows}
    if RolloutState.NO_ANSWER in states:
        return ExitCode.PROXY_UNREACHABLE
    if RolloutState.BEHIND in states:
        return ExitCode.FAILED
    return ExitCode.DONE
