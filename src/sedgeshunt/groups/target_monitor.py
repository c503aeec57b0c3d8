"""Watch one target over one control connection."""

from asyncio import sleep, timeout
from collections.abc import Awaitable
from contextlib import AsyncExitStack, suppress

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import DecisionKind
from sedgeshunt.exceptions import (
    FenceRefused,
    SedgeshuntError,
    TargetUnreachable,
)
from sedgeshunt.groups.adaptive_timeout import AdaptiveTimeout
from sedgeshunt.groups.backoff import Backoff
from sedgeshunt.groups.commands import CommandQueue, ControlCall
from sedgeshunt.groups.monitor_context import MonitorContext
from sedgeshunt.groups.repair import FollowOrder
from sedgeshunt.groups.status import Observation, TargetStatus
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, Term
from sedgeshunt.ports import Address, ControlConnection

CONNECT_TIMEOUT = Seconds(0.5)
# What takes longer is a timeout somewhere on the way, not a refusal.
REFUSED_WITHIN = Seconds(0.25)
# A link that broke before this is not taken up again at once.
LASTING_LINK = Seconds(1)
NO_WAIT = Seconds(0)


class TargetMonitor:
    """Own one control connection and all that is asked over it."""

    def __init__(
        self,
        target: TargetId,
        address: Address,
        context: MonitorContext,
    ) -> None:
        """Watch `target` at `address` once run."""
        self.target = target
        self.address = address
        self._context = context
        self._view = context.view
        self._commands = CommandQueue(target)
        self._backoff = Backoff()
        self._known: TargetStatus | None = None
        self._timer = AdaptiveTimeout()
        self._linked_at = Monotonic(0)

    async def fence(self, term: Term) -> TargetStatus:
        """Fence the target for `term`; raise FenceRefused or its kin."""
        return await self._commands.submit(
            lambda connection: connection.fence(term),
        )

    async def promote(self, term: Term) -> TargetStatus:
        """Let the target lead in `term`; raise FenceRefused or its kin."""
        return await self._commands.submit(
            lambda connection: connection.promote(term),
        )

    async def follow(self, term: Term, primary: TargetId) -> TargetStatus:
        """Let the target copy from `primary`; raise as above."""
        return await self._commands.submit(
            lambda connection: connection.follow(term, primary),
        )

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                await self._watch()
            except (SedgeshuntError, OSError):
                self._view.record_disconnect(self.target)
            await self._rest()

    async def _watch(self) -> None:
        async with AsyncExitStack() as owned:
            connection = await self._connect(owned)
            self._linked_at = read_clock()
            self._commands.open()
            owned.callback(self._commands.close)
            while True:
                asked_at = read_clock()
                pace = self._view.choose_poll_urgency().value
                await self._run_commands(connection)
                await self._poll(connection, pace.wait)
                await self._run_commands(connection)
                spent = read_clock() - asked_at
                await sleep(max(0, pace.spacing - spent))

    async def _rest(self) -> None:
        lasted = read_clock() - self._linked_at
        is_first = self._known is not None and lasted >= LASTING_LINK
        self._known = None
        # The first attempt after a long link comes at once: a target that
        # was killed refuses it, and the failover need not wait.
        if not is_first:
            await sleep(self._backoff.compute_delay())

    async def _connect(self, owned: AsyncExitStack) -> ControlConnection:
        started = read_clock()
        try:
            async with timeout(CONNECT_TIMEOUT):
                connection = await self._context.connector.connect_control(
                    self.target,
                    self.address,
                    self._view.group,
                )
        except TargetUnreachable:
            is_prompt = read_clock() - started < REFUSED_WITHIN
            self._view.record_disconnect(self.target, refused=is_prompt)
            raise
        owned.push_async_callback(connection.close)
        return connection

    async def _poll(self, connection: ControlConnection, wait: Seconds) -> None:
        asked_at = read_clock()
        status = await self._call(
            connection.read_status(self._known, wait),
            wait,
        )
        self._record(status, asked_at)
        self._backoff.reset()
        order = self._context.repair.find_order(status)
        if order is not None:
            await self._repair(connection, order)

    async def _repair(
        self,
        connection: ControlConnection,
        order: FollowOrder,
    ) -> None:
        with suppress(FenceRefused):
            await self._change(
                connection,
                lambda control: control.follow(order.term, order.primary),
            )
            self._context.decide(
                DecisionKind.REPAIRED,
                self.target,
                {'term': str(order.term), 'primary': order.primary},
            )

    async def _run_commands(self, connection: ControlConnection) -> None:
        while True:
            command = self._commands.take()
            if command is None:
                return
            try:
                command.finish(await self._change(connection, command.call))
            except FenceRefused as refusal:
                command.fail(refusal)

    async def _change(
        self,
        connection: ControlConnection,
        call: ControlCall,
    ) -> TargetStatus:
        asked_at = read_clock()
        try:
            status = await self._call(call(connection))
        except FenceRefused as refusal:
            self._view.record_term(Term(refusal.current_term))
            raise
        self._record(status, asked_at)
        return status

    async def _call(
        self,
        answer: Awaitable[TargetStatus],
        wait: Seconds = NO_WAIT,
    ) -> TargetStatus:
        liveness = self._view.states.find_liveness(self.target)
        return await self._timer.run(
            answer,
            wait,
            liveness.get_suspicion_time(read_clock()),
        )

    def _record(self, status: TargetStatus, asked_at: Monotonic) -> None:
        # Two names for one database would make it a majority by itself.
        if status.target != self.target:
            reason = f'{status.target} answers at its address'
            raise TargetUnreachable(self.target, reason)
        self._known = status
        self._context.record(Observation(status, asked_at, read_clock()))
