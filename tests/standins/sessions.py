"""Serve one client connection to one simulated database."""

from asyncio import timeout
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from sedgeshunt.exceptions import TargetLost, TargetRejected
from sedgeshunt.groups.points import Point
from sedgeshunt.requests.outcome import Answer
from tests.standins.executors import Executor
from tests.standins.network import Place
from tests.standins.procedures import call_procedure
from tests.standins.records import EventKind
from tests.standins.statements import Kind, Statement, parse_statement

if TYPE_CHECKING:
    from tests.standins.databases import Database


class Session:
    """Run the statements of one connection in order."""

    def __init__(
        self,
        database: 'Database',
        client: Place,
        number: int,
        counted: bool,
    ) -> None:
        """Connect to `database`; open its file with the first statement."""
        self.database = database
        self.client = client
        self.number = number
        # False for control connections, which the connection limit ignores.
        self.counted = counted
        self.broken = False
        self.on_break: Callable[[], None] | None = None
        self.executor = Executor(database, self._note)
        self._holds_lock = False

    async def exchange(self, sql: str) -> Answer:
        """Send a statement over the network and return its answer."""
        network = self.database.group.network
        place = self.database.place
        await network.cross(self.client, place)
        try:
            answer = await self.execute(sql)
        except TargetRejected:
            await network.cross(place, self.client)
            raise
        await network.cross(place, self.client)
        return answer

    async def execute(self, sql: str) -> Answer:
        """Run one statement; raise TargetRejected or a subclass."""
        statement = parse_statement(sql)
        if statement.kind is Kind.CALL:
            return await call_procedure(self.database, statement)
        try:
            return await self._execute(statement)
        except TargetRejected as refusal:
            self._note(EventKind.REFUSED, f'{refusal.code}: {sql}')
            raise

    def perform(self, statement: Statement) -> Answer:
        """Run one statement without waiting; raise TargetLost if broken."""
        if self.broken:
            raise TargetLost(self.database.name, 'connection closed')
        return self.executor.perform(statement)

    def abort_writes(self) -> None:
        """Roll back open writes as the database is no longer primary."""
        self.executor.abort_writes()
        self._release_lock()

    def close(self) -> None:
        """Roll back and disconnect; closing again has no effect."""
        if self.database.sessions.pop(self.number, None) is None:
            return
        self.broken = True
        self.executor.close()
        self._release_lock()
        self._note(EventKind.CLOSED)

    def disconnect(self) -> None:
        """Close the connection from the side of the database."""
        self.close()
        if self.on_break is not None:
            self.on_break()

    async def _execute(self, statement: Statement) -> Answer:
        database = self.database
        await database.pass_freeze()
        async with AsyncExitStack() as owned:
            owned.callback(self._release_lock)
            # The lock is acquired before a slot. If waiters for the lock held
            # slots, the transaction that holds it could not run its COMMIT.
            if statement.kind is Kind.WRITE and not self._holds_lock:
                await self._acquire_lock()
            await owned.enter_async_context(database.slots)
            database.in_service[self.number] = (self, statement)
            owned.callback(database.in_service.pop, self.number, None)
            await database.work()
            return self.perform(statement)

    async def _acquire_lock(self) -> None:
        self.executor.check_primary()
        try:
            async with timeout(self.database.limits.lock_wait):
                await self.database.write_lock.acquire()
        except TimeoutError as error:
            reason = 'Lock wait timeout exceeded'
            raise TargetRejected(1205, 'HY000', reason) from error
        self._holds_lock = True

    def _release_lock(self) -> None:
        if self._holds_lock and not self.executor.has_open_writes():
            self._holds_lock = False
            self.database.write_lock.release()

    def _note(
        self,
        kind: EventKind,
        sql: str = '',
        point: Point | None = None,
    ) -> None:
        self.database.group.note(
            self.database.place,
            kind,
            self.client.name,
            self.number,
            sql,
            point,
        )
