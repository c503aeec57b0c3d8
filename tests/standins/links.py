"""Connect to database groups in memory, through the proxy's ports."""

from asyncio import Queue, Task, create_task
from collections.abc import Mapping

from msgspec.structs import replace

from sedgeshunt.exceptions import (
    SedgeshuntError,
    TargetLost,
    TargetUnreachable,
)
from sedgeshunt.identifiers import GroupId, TargetId, ZoneId
from sedgeshunt.ports import (
    Address,
    TargetConnection,
    TargetConnector,
)
from sedgeshunt.requests.outcome import Answer
from tests.standins.controls import MemoryControl
from tests.standins.engine import DatabaseGroup
from tests.standins.network import Place
from tests.standins.sessions import Session


class MemoryConnection(TargetConnection):
    """Send statements over the emulated network, answers in order."""

    def __init__(self, session: Session) -> None:
        """Serve `session` in its own task, as the database would."""
        self._session = session
        self._target = session.database.name
        self._requests: Queue[str | None] = Queue()
        # A late answer stays queued: as on a real connection, it is read by
        # the next statement if the connection is used again.
        self._answers: Queue[Answer | SedgeshuntError] = Queue()
        self._lost = False
        self._closed = False
        self._telling: Task[None] | None = None
        session.on_break = self._break
        self._serving = create_task(self._serve())

    async def execute(self, sql: str) -> Answer:
        """Run `sql`; hang in a partition or freeze until cancelled."""
        if self._lost or self._closed:
            raise TargetLost(self._target, 'connection closed')
        self._requests.put_nowait(sql)
        answer = await self._answers.get()
        if isinstance(answer, SedgeshuntError):
            raise answer
        return replace(answer, served_by=self._target)

    async def close(self) -> None:
        """Close the connection; requests already sent still run."""
        if not self._closed:
            self._closed = True
            self._requests.put_nowait(None)

    async def _serve(self) -> None:
        while (sql := await self._requests.get()) is not None:
            try:
                self._answers.put_nowait(await self._session.exchange(sql))
            except SedgeshuntError as error:
                self._answers.put_nowait(error)
        database = self._session.database
        await database.group.network.cross(self._session.client, database.place)
        self._session.close()

    def _break(self) -> None:
        self._serving.cancel()
        self._telling = create_task(self._tell_loss())

    async def _tell_loss(self) -> None:
        database = self._session.database
        await database.group.network.cross(database.place, self._session.client)
        self._lost = True
        self._answers.put_nowait(TargetLost(self._target, 'connection reset'))


class MemoryConnector(TargetConnector):
    """Open connections as a client in one zone."""

    def __init__(
        self,
        groups: Mapping[GroupId, DatabaseGroup],
        zone: ZoneId,
        client: str,
    ) -> None:
        """Connect to the databases of `groups` as `client` in `zone`."""
        self._groups = groups
        self._place = Place(client, zone)

    async def connect(
        self,
        target: TargetId,
        address: Address,
        group: GroupId,
    ) -> MemoryConnection:
        """Open a connection; raise TargetUnreachable or TargetBusy."""
        return await self._open(target, group, counted=True)

    async def connect_control(
        self,
        target: TargetId,
        address: Address,
        group: GroupId,
    ) -> MemoryControl:
        """Open a control connection, which is exempt from the limit."""
        connection = await self._open(target, group, counted=False)
        return MemoryControl(connection, target)

    async def _open(
        self,
        target: TargetId,
        group: GroupId,
        counted: bool,
    ) -> MemoryConnection:
        members = self._groups[group].databases if group in self._groups else {}
        if target not in members:
            raise TargetUnreachable(target, 'no such host')
        session = await members[target].open(self._place, counted)
        connection = MemoryConnection(session)
        if session.broken:
            session.on_break = None
            await connection.close()
            raise TargetUnreachable(target, 'connection reset')
        return connection
