"""Serve a database of the stand-in over TCP to ordinary MySQL clients."""

from asyncio import (
    CancelledError,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
)
from contextlib import suppress
from logging import CRITICAL, getLogger
from struct import pack
from typing import Any

from mysql_mimic import MysqlServer, ResultColumn, ResultSet
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import MysqlStream
from mysql_mimic.types import ColumnType, ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables

from sedgeshunt.exceptions import SedgeshuntError, TargetRejected
from sedgeshunt.requests.outcome import Answer, Column
from tests.standins.databases import Database
from tests.standins.logins import OpenDoor
from tests.standins.network import Place
from tests.standins.sessions import Session

LOOPBACK = '127.0.0.1'
# A client that logs in under this name holds a control connection.
CONTROL_USER = 'control'


class FrontSession(BaseSession):
    """Pass statements to a session of the database."""

    def __init__(self, target: Database) -> None:
        """Open nothing before the client has told its place."""
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database = None
        self.target = target
        self.link: Session | None = None
        self.answer: Answer | None = None

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> ResultSet:
        """Run one statement and keep the answer for the OK packet."""
        if self.link is None:
            raise TargetRejected(1045, '28000', 'log in first')
        answer = await self.link.exchange(sql)
        self.answer = answer
        columns = [_describe(column) for column in answer.columns]
        return ResultSet(answer.rows, columns)

    async def close(self) -> None:
        """Leave the database."""
        if self.link is not None:
            self.link.close()


class FrontConnection(Connection):
    """Add row counts, points and any error code to the packets."""

    session: FrontSession

    async def authenticate(self, username: str, **fields: Any) -> None:
        """Take the client's name and zone from `name@zone`; accept all."""
        if self.session.link is None:
            name, _, zone = username.partition('@')
            link = await self.session.target.open(
                Place(name, zone),
                counted=name != CONTROL_USER,
            )
            link.on_break = self.break_off
            self.session.link = link
        await super().authenticate(username=username, **fields)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Undo the open transaction."""
        await self.session.handle_query('ROLLBACK', {})
        await super().handle_reset_connection(data)

    async def handle_ping(self, data: bytes) -> None:
        """Answer a ping, unless cut off or frozen like any statement."""
        await self.session.handle_query('SET @ping = 1', {})
        await super().handle_ping(data)

    def break_off(self) -> None:
        """Die with the database."""
        self.stream.writer.transport.abort()
        if self._task is not None:
            self._task.cancel()

    def ok(self, **fields: Any) -> bytes:
        """Return an OK packet that tells what the statement did."""
        answer = self.session.answer
        self.session.answer = None
        self.status_flags = self._read_flags()
        if answer is None or answer.columns:
            return super().ok(**fields)
        packet = super().ok(
            affected_rows=answer.affected_rows,
            last_insert_id=answer.last_insert_id,
        )
        if answer.point is None:
            return packet
        point = f'point={answer.point.term}:{answer.point.position}'
        return packet + point.encode()

    def error(self, **fields: Any) -> bytes:
        """Return an error packet; the library's codes are too few."""
        reason = fields.get('msg')
        if not isinstance(reason, TargetRejected):
            return super().error(**fields)
        text = f'#{reason.sqlstate}{reason.reason}'
        return pack('<BH', 0xFF, reason.code) + text.encode()

    def _read_flags(self) -> ServerStatus:
        flags = ServerStatus(0)
        link = self.session.link
        if link is None or link.executor.autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if link is not None and link.executor.transaction is not None:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        return flags


class MysqlFront(MysqlServer):
    """Listen for one database while it is alive."""

    def __init__(self, database: Database, port: int = 0) -> None:
        """Serve `database`; port 0 takes a free one at the first start."""
        super().__init__(identity_provider=OpenDoor())
        self.database = database
        self.port = port
        self._connections: set[FrontConnection] = set()
        self._starting: Task[None] | None = None
        getLogger('mysql_mimic').setLevel(CRITICAL)

    async def start(self) -> None:
        """Listen, and react to kills and restarts from now on."""
        await self._listen()
        self.database.listeners.append(self._react)

    def stop(self) -> None:
        """Stop listening and break all connections."""
        self.close()
        for connection in self._connections:
            connection.break_off()

    async def _listen(self) -> None:
        await self.start_server(host=LOOPBACK, port=self.port)
        self.port = self.sockets()[0].getsockname()[1]

    async def _close_connection(self, connection: FrontConnection) -> None:
        self._connections.discard(connection)
        await connection.session.close()
        connection.stream.writer.close()

    def _react(self) -> None:
        if self.database.alive:
            self._starting = create_task(self._listen())
        else:
            self.stop()

    async def _client_connected_cb(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        connection = FrontConnection(
            stream=MysqlStream(reader, writer),
            session=FrontSession(self.database),
            control=self.control,
            server_capabilities=self.capabilities,
            identity_provider=self.identity_provider,
        )
        connection.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self._connections.add(connection)
        try:
            with suppress(SedgeshuntError, OSError, CancelledError):
                await connection.start()
        finally:
            await self._close_connection(connection)


def _describe(column: Column) -> ResultColumn:
    kind = ColumnType(column.type_code)
    binary = kind is ColumnType.BLOB
    charset = CharacterSet.binary if binary else CharacterSet.utf8mb4
    return ResultColumn(column.name, kind, charset)
