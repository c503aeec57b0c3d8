"""Serve one client's connection to one database."""

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
    """Run the statements of one connection, one after another."""

    def __init__(
        self,
        database: 'Database',
        client: Place,
        number: int,
        counted: bool,
    ) -> None:
        """Belong to `database`; open its file with the first statement."""
        self.database = database
        self.client = client
        self.number = number
        # Control connections don't count against the connection limit.
        self.counted = counted
        self.broken = False
        self.on_break: Callable[[], None] | None = None
        self.executor = Executor(database, self._note)
        self._holds_lock = False

    async def exchange(self, sql: str) -> Answer:
        """Carry a statement over the network and its answer back."""
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
        """Run one statement; raise TargetRejected or its kin."""
        statement = parse_statement(sql)
        if statement.kind is Kind.CALL:
            return await call_procedure(self.database, statement)
        try:
            return await self._execute(statement)
        except TargetRejected as refusal:
            self._note(EventKind.REFUSED, f'{refusal.code}: {sql}')
            raise

    def perform(self, statement: Statement) -> Answer:
        """Run one statement without waiting, unless the connection broke."""
        if self.broken:
            raise TargetLost(self.database.name, 'connection closed')
        return self.executor.perform(statement)

    def doom(self) -> None:
        """Undo the open writes: the database leads no longer."""
        self.executor.doom()
        self._free_lock()

    def close(self) -> None:
        """Undo what is open and leave; closing twice does no harm."""
        if self.database.sessions.pop(self.number, None) is None:
            return
        self.broken = True
        self.executor.close()
        self._free_lock()
        self._note(EventKind.CLOSED)

    def lose(self) -> None:
        """Break the connection from the database's side."""
        self.close()
        if self.on_break is not None:
            self.on_break()

    async def _execute(self, statement: Statement) -> Answer:
        database = self.database
        await database.pass_freeze()
        async with AsyncExitStack() as owned:
            owned.callback(self._free_lock)
            # The lock comes first: waiters that hold slots would keep the
            # transaction they wait for from ever reaching its COMMIT.
            if statement.kind is Kind.WRITE and not self._holds_lock:
                await self._take_lock()
            await owned.enter_async_context(database.slots)
            database.in_service[self.number] = (self, statement)
            owned.callback(database.in_service.pop, self.number, None)
            await database.work()
            return self.perform(statement)

    async def _take_lock(self) -> None:
        self.executor.check_leading()
        try:
            async with timeout(self.database.limits.lock_wait):
                await self.database.write_lock.acquire()
        except TimeoutError as error:
            reason = 'Lock wait timeout exceeded'
            raise TargetRejected(1205, 'HY000', reason) from error
        self._holds_lock = True

    def _free_lock(self) -> None:
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
