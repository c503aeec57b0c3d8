"""Connect proxies to the stand-in databases over the emulated network."""

from asyncio import (
    FIRST_COMPLETED,
    Event,
    create_task,
    sleep,
    timeout,
    wait,
)
from collections.abc import Callable
from functools import partial
from itertools import count

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Target
from sedgeshunt.connections.target_session import (
    LogRole,
    LogStatus,
    RefusalKind,
    SessionPhase,
    TargetRefusal,
    TargetReply,
    TargetSession,
    TargetSessionConnector,
)
from sedgeshunt.customers.directory import ANONYMOUS
from sedgeshunt.exceptions import (
    TargetBusy,
    TargetGone,
    TargetLost,
    TargetUnreachable,
)
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    CustomerId,
    GroupId,
    Seconds,
    StatementId,
    Term,
)
from sedgeshunt.statements.statement import PreparedStatement
from tests.standins.network import Network, Place
from tests.standins.statement_group import (
    Run,
    SetupMessage,
    StatementGroup,
    StatementTarget,
)

HANDSHAKE = 0.012
_numbers = count(1)


class MemorySession(TargetSession):
    """Run statements at one stand-in database."""

    def __init__(
        self,
        group: StatementGroup,
        target: StatementTarget,
        client: Place,
        customer: CustomerId = ANONYMOUS,
    ) -> None:
        """Occupy one of the database's connections."""
        self.point: Point | None = target.applied_end
        self.number = next(_numbers)
        self._group = group
        self._target = target
        self._client = client
        self._customer = customer
        self._values: dict[str, str] = {}
        self._prepared: set[PreparedStatement] = set()
        self._phase = SessionPhase.IDLE
        self._writes: list[tuple[str, str]] = []
        self._is_closed = False
        self._closed = Event()
        target.connections += 1

    @property
    def network(self) -> Network:
        """Return the network between the two ends."""
        return self._group.network

    async def run(
        self,
        statement: StatementId,
        text: str,
        after: Point | None = None,
    ) -> TargetReply:
        """Run a caller's statement under its id."""
        if self._is_closed:
            raise TargetGone(self._target.name, 'closed while idle')
        await self._arrive()
        async with self._target.slots:
            await sleep(self._target.work_of.get(text, self._target.work))
            await self._arrive_within()
            reply = self._run(statement, text, after)
        return await self._answer(reply)

    async def execute(
        self,
        statement: StatementId,
        prepared: PreparedStatement,
        arguments: str,
        after: Point | None = None,
    ) -> TargetReply:
        """Run a statement prepared on this connection."""
        if prepared not in self._prepared:
            await self._arrive()
            refusal = TargetRefusal(RefusalKind.NO_STATEMENT, 'NOSTMT')
            return await self._answer(self._make_reply((), refusal))
        word = 'WRITE' if prepared.writes else 'READ'
        return await self.run(statement, f'{word} {arguments}', after)

    async def prepare(self, prepared: PreparedStatement) -> TargetReply:
        """Prepare a statement."""
        return await self._set_up(
            SetupMessage.PREPARE, partial(self._prepared.add, prepared)
        )

    async def set_value(self, name: str, value: str) -> TargetReply:
        """Set one session value."""
        return await self._set_up(
            SetupMessage.SET, partial(self._values.__setitem__, name, value)
        )

    async def reset(self) -> TargetReply:
        """Drop all session values and prepared statements."""
        return await self._set_up(SetupMessage.RESET, self._clear)

    async def begin(
        self,
        *,
        is_read_only: bool,
        after: Point | None = None,
    ) -> TargetReply:
        """Open a transaction."""
        await self._arrive()
        refusal = self._refuse(after)
        if not is_read_only and self._target.role is not LogRole.PRIMARY:
            refusal = TargetRefusal(RefusalKind.READ_ONLY, 'READONLY')
        if refusal is None:
            refusal = self._apply(SetupMessage.BEGIN, self._open)
        return await self._answer(self._make_reply((), refusal))

    async def roll_back(self) -> TargetReply:
        """Roll back the open transaction."""
        return await self._set_up(SetupMessage.ROLLBACK, self._undo)

    async def read_status(self) -> LogStatus | None:
        """Return the state of the log."""
        await self._arrive()
        status = self._target.read_status()
        await self.network.cross(self._target.place, self._client)
        return status

    async def pause_replication(self, term: Term) -> LogStatus | None:
        """Stop receiving the log of lower terms."""
        self._target.held_term = term
        return await self.read_status()

    async def resume_replication(self) -> LogStatus | None:
        """Receive the log again."""
        self._target.held_term = Term(0)
        return await self.read_status()

    async def demote(self, term: Term) -> LogStatus | None:
        """Become a replica if the own term is lower."""
        if self._target.term < term:
            self._target.role = LogRole.REPLICA
        return await self.read_status()

    async def close(self) -> None:
        """Close the connection and roll back an open transaction."""
        if not self._is_closed:
            self._is_closed = True
            self._closed.set()
            self._target.connections -= 1
            self._writes.clear()

    async def _set_up(
        self,
        message: SetupMessage,
        change: Callable[[], None],
    ) -> TargetReply:
        self._target.setup_messages += 1
        await self._arrive()
        refusal = self._apply(message, change)
        return await self._answer(self._make_reply((), refusal))

    def _apply(
        self,
        message: SetupMessage,
        change: Callable[[], None],
    ) -> TargetRefusal | None:
        refusals = self._target.setup_refusals
        kind = None if refusals is None else refusals.draw(message)
        if refusals is None or kind is None:
            change()
            return None
        if refusals.is_applied(kind):
            change()
        return TargetRefusal(kind, kind.value)

    def _clear(self) -> None:
        self._values.clear()
        self._prepared.clear()

    def _open(self) -> None:
        self._phase = SessionPhase.OPEN

    def _undo(self) -> None:
        self._writes.clear()
        self._phase = SessionPhase.IDLE

    async def _arrive(self) -> None:
        await self.network.cross(self._client, self._target.place)
        await self._arrive_within()

    async def _arrive_within(self) -> None:
        await self._wait_thawed()
        if self._target.is_down or self._is_closed:
            raise TargetLost(self._target.name, 'reset')

    async def _wait_thawed(self) -> None:
        ends = (
            create_task(self._target.thawed.wait()),
            create_task(self._closed.wait()),
        )
        try:
            await wait(ends, return_when=FIRST_COMPLETED)
        finally:
            for end in ends:
                end.cancel()

    async def _answer(self, reply: TargetReply) -> TargetReply:
        await self.network.cross(self._target.place, self._client)
        if self._target.is_down:
            raise TargetLost(self._target.name, 'reset')
        self.point = reply.point
        return reply

    def _run(
        self,
        statement: str,
        text: str,
        after: Point | None,
    ) -> TargetReply:
        word, _, rest = text.partition(' ')
        refusal = self._refuse(after)
        if word == 'WRITE' and self._target.role is not LogRole.PRIMARY:
            refusal = TargetRefusal(RefusalKind.READ_ONLY, 'READONLY')
        if refusal is not None:
            return self._make_reply((), refusal)
        self._note(statement, text)
        rows: tuple[str, ...] = ()
        if word == 'READ':
            rows = (dict(self._writes).get(rest, self._target.read(rest)),)
        elif word == 'WRITE':
            item, _, data = rest.partition(' ')
            self._writes.append((item, data))
        if word == 'COMMIT' or self._phase is SessionPhase.IDLE:
            self._commit()
        return self._make_reply(rows, None, f'{self._target.name}/{statement}')

    def _commit(self) -> None:
        self._phase = SessionPhase.IDLE
        if self._writes:
            self._group.commit(self._target, tuple(self._writes))
            self._writes.clear()

    def _refuse(self, after: Point | None) -> TargetRefusal | None:
        if after is not None and not self._target.covers(after):
            self._group.refused += 1
            return TargetRefusal(RefusalKind.BEHIND, 'LAGGING')
        return None

    def _note(self, statement: str, text: str) -> None:
        self._group.runs.append(
            Run(
                read_clock(),
                self._target.name,
                statement,
                text,
                self.number,
                dict(self._values),
                self._phase is SessionPhase.OPEN,
                self._customer,
                self._client.zone,
            ),
        )

    def _make_reply(
        self,
        rows: tuple[str, ...],
        refusal: TargetRefusal | None,
        signature: str = '',
    ) -> TargetReply:
        return TargetReply(
            rows,
            self._phase,
            self._target.applied_end,
            signature,
            refusal,
        )


class LosingSession(MemorySession):
    """Run statements and lose some answers."""

    async def _answer(self, reply: TargetReply) -> TargetReply:
        if reply.signature and self._target.answers_to_lose:
            self._target.answers_to_lose -= 1
            await Event().wait()
        return await super()._answer(reply)


class MemoryTargetConnector(TargetSessionConnector):
    """Connect one proxy to all stand-in databases."""

    def __init__(self, group: StatementGroup, client: Place) -> None:
        """Connect from the place `client`."""
        self._group = group
        self._client = client

    async def connect(
        self,
        target: Target,
        group: GroupId,
        limit: Seconds,
        customer: CustomerId = ANONYMOUS,
    ) -> TargetSession:
        """Open a session; raise TargetUnreachable or TargetBusy."""
        try:
            async with timeout(limit):
                return await self._connect(target, customer)
        except TimeoutError as failure:
            raise TargetUnreachable(target.name, 'no answer') from failure

    async def _connect(
        self,
        target: Target,
        customer: CustomerId,
    ) -> TargetSession:
        known = self._group.targets[target.name]
        await self._group.network.cross(self._client, known.place)
        if known.is_down:
            raise TargetUnreachable(target.name, 'refused')
        await known.thawed.wait()
        if known.connections >= known.connection_limit:
            raise TargetBusy(0, '', 'TOOMANY')
        await sleep(HANDSHAKE)
        await self._group.network.cross(known.place, self._client)
        known.opened += 1
        return LosingSession(self._group, known, self._client, customer)
