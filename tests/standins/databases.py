"""Serve clients on one database and let it fail."""

from asyncio import Lock, Semaphore, sleep
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from sedgeshunt.exceptions import (
    TargetBusy,
    TargetRejected,
    TargetUnreachable,
)
from tests.standins.members import Member
from tests.standins.network import Place
from tests.standins.records import EventKind, GroupState
from tests.standins.sessions import Session
from tests.standins.statements import Statement


@dataclass(frozen=True, slots=True)
class Limits:
    """Hold the capacity of each database of a group; times in seconds."""

    slots: int = 3
    connection_limit: int = 20
    service_time: float = 0.001
    connect_time: float = 0.01
    lock_wait: float = 1


class Database(Member):
    """Add clients, limited slots and faults to a member of a group."""

    def __init__(self, place: Place, group: GroupState, limits: Limits):
        """Start alive and idle."""
        super().__init__(place, group)
        self.limits = limits
        self.slowness = 1.0
        self.slots = Semaphore(limits.slots)
        self.write_lock = Lock()
        self.sessions: dict[int, Session] = {}
        self.in_service: dict[int, tuple[Session, Statement]] = {}
        self.peak_connections = 0
        # Called after a kill and after a restart.
        self.listeners: list[Callable[[], None]] = []
        self._numbers = 0

    async def open(self, client: Place, counted: bool = True) -> Session:
        """Accept a client; raise TargetUnreachable or TargetBusy."""
        network = self.group.network
        await network.cross(client, self.place)
        await self.pass_freeze()
        await self._spend(self.limits.connect_time if self.alive else 0)
        session = self._admit(client, counted)
        try:
            await network.cross(self.place, client)
        except BaseException:
            session.close()
            raise
        return session

    async def pass_freeze(self) -> None:
        """Go on at once, or when a freeze is over."""
        while self.frozen:
            await self.changed.wait()

    async def work(self) -> None:
        """Spend the time that one statement takes."""
        await self._spend(self.limits.service_time)

    def drop_transactions(self) -> None:
        """Undo the open writes of all clients."""
        for session in self.sessions.values():
            session.abort_writes()

    def kill(self) -> None:
        """Die: break all connections; what runs may or may not commit."""
        if not self.alive:
            return
        self.alive = False
        self.frozen = False
        for session, statement in self.in_service.values():
            if self.group.random.randrange(2):
                with suppress(TargetRejected):
                    session.perform(statement)
        self.in_service = {}
        self.group.note(self.place, EventKind.KILLED)
        for session in tuple(self.sessions.values()):
            session.disconnect()
        self.slots = Semaphore(self.limits.slots)
        self._tell_change()

    def restart(self) -> None:
        """Come back with log, term and role as they were."""
        if self.alive:
            return
        self.alive = True
        self.group.note(self.place, EventKind.RESTARTED)
        self._tell_change()

    def freeze(self) -> None:
        """Answer nothing, break nothing."""
        self.frozen = True

    def thaw(self) -> None:
        """Go on where the freeze began."""
        self.frozen = False
        self._notify_replicas()

    def set_lag(self, seconds: float) -> None:
        """Apply each record so long after its commit."""
        self.delay = seconds
        self.copy()

    def slow(self, factor: float) -> None:
        """Take `factor` times as long for connects and statements."""
        self.slowness = factor

    def cut(self, other: str) -> None:
        """Let nothing pass between here and a zone or a named place."""
        self.group.network.cut(self.name, other)

    def heal(self, other: str | None = None) -> None:
        """End the cut from `other`, or all cuts made here."""
        self.group.network.heal(self.name, other)

    async def _spend(self, seconds: float) -> None:
        await sleep(seconds * self.slowness)
        await self.pass_freeze()

    def _admit(self, client: Place, counted: bool) -> Session:
        if not self.alive:
            raise TargetUnreachable(self.name, 'connection refused')
        if counted and self._count_clients() >= self.limits.connection_limit:
            raise TargetBusy(1040, '08004', 'Too many connections')
        self._numbers += 1
        session = Session(self, client, self._numbers, counted)
        self.sessions[session.number] = session
        self.peak_connections = max(
            self.peak_connections,
            self._count_clients(),
        )
        self.group.note(
            self.place,
            EventKind.CONNECTED,
            client.name,
            session.number,
        )
        return session

    def _count_clients(self) -> int:
        return sum(session.counted for session in self.sessions.values())

    def _tell_change(self) -> None:
        self._notify_replicas()
        for listener in self.listeners:
            listener()
