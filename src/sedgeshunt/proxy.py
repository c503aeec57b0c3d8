"""Put one proxy together: every instance runs this and is alike."""

from asyncio import TaskGroup
from collections.abc import Sequence
from contextlib import AsyncExitStack
from random import Random
from types import TracebackType

from sedgeshunt.burn.exchange import TallyExchange
from sedgeshunt.burn.tally import Tally
from sedgeshunt.clocks import PauseWatch, read_clock
from sedgeshunt.configuration.feed import ConfigurationFeed
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.connections.seats import SeatHolder
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.explanation import Explainer
from sedgeshunt.identifiers import (
    GroupId,
    ProxyId,
    Revision,
    Seconds,
    Term,
    TraceId,
)
from sedgeshunt.logs import StatementLog
from sedgeshunt.membership.directory import PeerDirectory
from sedgeshunt.membership.instances import InstanceWatch
from sedgeshunt.membership.peers import PeerRoster
from sedgeshunt.metrics import Metrics
from sedgeshunt.ports import (
    ConfigurationCopy,
    InstanceList,
    KeyValueService,
    PeerConnector,
    PeerService,
    PrimaryReport,
    ProxyReport,
    TargetConnector,
)
from sedgeshunt.requests.gate import (
    CallerGate,
    CallerSession,
)
from sedgeshunt.requests.handler import RefusingSession, RequestHandler
from sedgeshunt.requests.recorder import OutcomeRecorder
from sedgeshunt.served_groups import GroupParts, ServedGroups
from sedgeshunt.sessions.session import SessionState
from sedgeshunt.sessions.token import SigningKey, TokenKeys
from sedgeshunt.settings import Settings


class ProxyInstance(CallerGate, PeerService):
    """Serve callers, peers and operators on one instance."""

    def __init__(
        self,
        settings: Settings,
        targets: TargetConnector,
        platform: KeyValueService,
        instances: InstanceList,
        peers: PeerConnector,
        metrics: Metrics,
        decisions: DecisionLog,
        statements: StatementLog,
    ) -> None:
        """Bring the parts together; nothing runs before it is entered."""
        self.name = settings.proxy
        self.zone = settings.zone_id
        self.pauses = PauseWatch(on_pause=self._note_pause)
        self.keys = TokenKeys(
            [
                SigningKey(key.id, key.secret.encode())
                for key in settings.session_keys
            ],
        )
        self.recorder = OutcomeRecorder(
            Tally(str(self.name)),
            metrics,
            statements,
        )
        self.instance_watch = InstanceWatch(
            instances,
            decisions,
            self._count_proxies,
            Random(f'{self.name}-list'),
        )
        self.roster = PeerRoster(
            self.name,
            self.zone,
            PeerDirectory(
                self.name,
                settings.peers.get_address(),
                [seed.get_address() for seed in settings.peers.seeds],
                self.instance_watch,
            ),
            peers,
            decisions,
            Random(f'{self.name}-peers'),
        )
        self.feed = ConfigurationFeed(
            platform,
            self.roster,
            self._note_configuration,
            decisions,
            Random(f'{self.name}-feed'),
        )
        self.seat = SeatHolder(
            platform,
            self.name,
            decisions,
            self._note_seat,
        )
        self.tallies = TallyExchange(
            self.name,
            self.recorder.tally,
            peers,
            lambda: self.feed.snapshot.proxies.values(),
            Random(f'{self.name}-tallies'),
        )
        self.groups = ServedGroups(
            GroupParts(
                self.name,
                self.zone,
                targets,
                decisions,
                self.pauses,
                self.roster,
                self.instance_watch,
                self.seat,
                self.recorder.tally.record_gap,
            ),
        )
        self.runtimes = self.groups.runtimes
        self.explainer = Explainer(self.name, self.runtimes, self.keys)
        self._decisions = decisions
        self._owned = AsyncExitStack()

    async def __aenter__(self) -> 'ProxyInstance':
        """Start all tasks."""
        self._owned.push_async_callback(self.seat.release)
        running = await self._owned.enter_async_context(TaskGroup())
        for task in (
            self.pauses.run(),
            self.instance_watch.run(),
            self.roster.run(),
            self.feed.run(),
            self.seat.run(),
            self.tallies.run(),
            self.groups.run(),
        ):
            self._owned.callback(running.create_task(task).cancel)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stop all tasks and close all connections."""
        return await self._owned.__aexit__(kind, error, trace)

    async def open_session(
        self,
        group: GroupId,
        trace: TraceId,
    ) -> CallerSession:
        """Open a session for a caller of `group`."""
        runtime = self.runtimes.get(group)
        if runtime is None:
            return RefusingSession(group, sorted(map(str, self.runtimes)))
        session = SessionState(read_clock())
        return RequestHandler(
            runtime.service,
            session,
            self.keys,
            self.recorder,
        )

    async def stop_gracefully(self) -> None:
        """Take no new work, and say so to callers and peers."""
        self.recorder.is_stopping = True
        await self.roster.announce_leaving(str(self.name))

    async def report(self) -> ProxyReport:
        """Tell what this proxy runs with."""
        return ProxyReport(
            self.name,
            self.zone,
            self.feed.snapshot.revision,
            self.recorder.is_stopping,
            b'',
        )

    async def report_primary(self, group: GroupId) -> PrimaryReport:
        """Tell when this proxy last heard a group's primary."""
        runtime = self.runtimes.get(group)
        if runtime is None:
            return PrimaryReport(group, Term(0), None, None)
        return runtime.service.view.report_primary()

    async def copy_configuration(
        self,
        known: Revision,
    ) -> ConfigurationCopy | None:
        """Return the configuration in force if it is newer than `known`."""
        return self.feed.encode_copy(known)

    async def announce_leaving(self, name: str) -> None:
        """Take note that instance `name` is leaving."""
        self.instance_watch.note_leaving(name)

    async def explain(self, question: bytes) -> bytes:
        """Answer an operator's question; both are JSON documents."""
        return self.explainer.answer(question)

    async def copy_tallies(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> Sequence[bytes]:
        """Return counts and copies, those of `proxies` or all."""
        return self.tallies.list_documents(since, proxies)

    def _count_proxies(self) -> int:
        return max(1, len(self.feed.snapshot.proxies))

    def _note_configuration(self, snapshot: Snapshot) -> None:
        self.roster.apply(snapshot)
        seats = [group.seats for group in snapshot.groups.values()]
        self.seat.seats = min(seats, default=0)
        self.seat.fleet = max(1, len(snapshot.proxies))
        self.groups.note_change(snapshot)

    def _note_pause(self, length: Seconds) -> None:
        reasons = {'length': f'{length:.3f} s'}
        self._decisions.record(Decision(DecisionKind.PAUSED, reasons=reasons))

    def _note_seat(self) -> None:
        self.groups.note_change(self.feed.snapshot)
