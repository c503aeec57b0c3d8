"""Send requests over an ordinary driver, roaming between proxies."""

from asyncio import sleep, timeout
from collections.abc import Sequence
from random import Random
from time import monotonic
from typing import Any

from asyncmy import connect
from asyncmy.errors import MySQLError

from examples.demo.layout import GROUP, HOST
from examples.demo.ledger import Attempt, Kind, Ledger, Outcome, Turn

CONNECT_LIMIT = 3
ANSWER_LIMIT = 10
REQUESTS_PER_VISIT = 6
PAUSE = 0.01
BACKOFF = 0.05
IDS_PER_CALLER = 1_000_000
# A statement that the proxy refused before it ran; the second: it stops.
NOT_RUN_CODES = frozenset((1205, 1053))
# The answer is lost, or the proxy itself says that the outcome is unknown.
UNKNOWN_CODES = frozenset((2006, 2013))
CHOICES = (Kind.TURN, Kind.PLAY, Kind.OWN, Kind.BROWSE)
WEIGHTS = (2, 1, 3, 4)
READ_TOKEN = 'SELECT @sedgeshunt_session_token'


class Caller:
    """Work as one session that moves from proxy to proxy."""

    def __init__(
        self,
        number: int,
        ports: Sequence[int],
        ledger: Ledger,
    ) -> None:
        """Write all outcomes to `ledger`."""
        self.token: str | None = None
        self._random = Random(number)
        self._ports = ports
        self._ledger = ledger
        self._next = number * IDS_PER_CALLER
        # A turn whose outcome is open; it is asked for again by its id.
        self._pending: Turn | None = None
        self._own: Turn | None = None

    async def run(self, until: float) -> None:
        """Work until then, and settle what is pending."""
        while monotonic() < until or self._pending is not None:
            if monotonic() > until + ANSWER_LIMIT:
                return
            await self._visit(is_last=monotonic() >= until)

    async def write_plays(self, count: int) -> None:
        """Write licence entries, each on a connection of its own."""
        for _ in range(count):
            connection = await self._connect()
            try:
                await self._write_play(connection)
            finally:
                connection.close()

    async def _visit(self, is_last: bool) -> None:
        try:
            connection = await self._connect()
        except (MySQLError, OSError, TimeoutError):
            self._ledger.turned_away += 1
            await sleep(BACKOFF)
            return
        try:
            for _ in range(REQUESTS_PER_VISIT):
                kind = Kind.TURN if is_last else self._choose()
                if not await self._work(connection, kind):
                    await sleep(BACKOFF)
                    return
                await sleep(PAUSE)
                if is_last and self._pending is None:
                    return
        finally:
            connection.close()

    async def _connect(self) -> Any:
        async with timeout(CONNECT_LIMIT):
            connection = await connect(
                host=HOST,
                port=self._random.choice(self._ports),
                user='demo',
                db=GROUP,
                autocommit=True,
            )
            if self.token is not None:
                await _run(
                    connection,
                    f"SET @sedgeshunt_session_token = '{self.token}'",
                )
        return connection

    def _choose(self) -> Kind:
        kind = self._random.choices(CHOICES, WEIGHTS)[0]
        return Kind.TURN if self._pending or self._own is None else kind

    async def _work(self, connection: Any, kind: Kind) -> bool:
        if kind is Kind.TURN:
            return await self._write_turn(connection)
        if kind is Kind.PLAY:
            return await self._write_play(connection)
        if kind is Kind.OWN and self._own is not None:
            own = self._own
            sql = f'SELECT song FROM turns WHERE id = {own.number}'
            rows = await self._ask(connection, kind, own.reference, sql)
            if rows is not None and not rows:
                self._ledger.not_found.append(own.reference)
            return rows is not None
        sql = "/*traffic_class='browse'*/ SELECT count(*) FROM turns"
        return await self._ask(connection, kind, '', sql) is not None

    async def _write_turn(self, connection: Any) -> bool:
        if self._pending is None:
            self._next += 1
            self._pending = Turn(self._next)
        turn = self._pending
        done = await self._ask(connection, Kind.TURN, turn.reference, turn.sql)
        if done is None:
            return False
        self._pending = None
        if await self._keep_token(connection):
            self._own = turn
        return True

    async def _write_play(self, connection: Any) -> bool:
        self._next += 1
        reference = f'play-{self._next}'
        sql = f"INSERT INTO plays (licence, song) VALUES ('{reference}', 's')"
        done = await self._ask(connection, Kind.PLAY, reference, sql)
        return done is not None and await self._keep_token(connection)

    async def _keep_token(self, connection: Any) -> bool:
        try:
            async with timeout(ANSWER_LIMIT):
                rows = await _run(connection, READ_TOKEN)
        except (MySQLError, OSError, TimeoutError):
            return False
        self.token = str(rows[0][0])
        return True

    async def _ask(
        self,
        connection: Any,
        kind: Kind,
        reference: str,
        sql: str,
    ) -> Sequence[Any] | None:
        started_at = monotonic()
        rows: Sequence[Any] | None = None
        outcome, reason = Outcome.DONE, ''
        try:
            async with timeout(ANSWER_LIMIT):
                rows = await _run(connection, sql)
        except (MySQLError, OSError, TimeoutError) as failure:
            outcome, reason = _name_failure(failure), repr(failure)
        self._ledger.attempts.append(
            Attempt(kind, reference, outcome, started_at, monotonic(), reason),
        )
        return rows


async def _run(connection: Any, sql: str) -> Sequence[Any]:
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        rows: Sequence[Any] = await cursor.fetchall()
    return rows or ()


def _name_failure(failure: Exception) -> Outcome:
    if not isinstance(failure, MySQLError):
        return Outcome.UNKNOWN
    code = failure.args[0] if failure.args else 0
    if code in NOT_RUN_CODES:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN if code in UNKNOWN_CODES else Outcome.REJECTED
