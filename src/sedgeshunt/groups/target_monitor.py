"""Poll one target over one control connection and run commands on it."""

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
# A failure that takes longer is a network timeout, not a refusal.
MAX_REFUSAL_TIME = Seconds(0.25)
# A connection that lasted less is reopened after a backoff delay.
MIN_STABLE_TIME = Seconds(1)
NO_WAIT = Seconds(0)


class TargetMonitor:
    """Own the control connection to one target."""

    def __init__(
        self,
        target: TargetId,
        address: Address,
        context: MonitorContext,
    ) -> None:
        """Prepare to monitor `target` at `address`; `run` connects."""
        self.target = target
        self.address = address
        self._context = context
        self._view = context.view
        self._commands = CommandQueue(target)
        self._backoff = Backoff()
        self._last_status: TargetStatus | None = None
        self._call_timeout = AdaptiveTimeout()
        self._connected_at = Monotonic(0)

    async def fence(self, term: Term) -> TargetStatus:
        """Fence the target for `term`.

        Raise FenceRefused, TargetUnreachable, TargetLost or TimeoutError.
        """
        return await self._commands.submit(
            lambda connection: connection.fence(term),
        )

    async def promote(self, term: Term) -> TargetStatus:
        """Promote the target to primary of `term`; raise as `fence` does."""
        return await self._commands.submit(
            lambda connection: connection.promote(term),
        )

    async def follow(self, term: Term, primary: TargetId) -> TargetStatus:
        """Make the target replicate from `primary`; raise as `fence` does."""
        return await self._commands.submit(
            lambda connection: connection.follow(term, primary),
        )

    async def run(self) -> None:
        """Monitor the target until cancelled."""
        while True:
            try:
                await self._monitor()
            except (SedgeshuntError, OSError):
                self._view.record_disconnect(self.target)
            await self._wait_before_reconnect()

    async def _monitor(self) -> None:
        async with AsyncExitStack() as stack:
            connection = await self._connect(stack)
            self._connected_at = read_clock()
            self._commands.open()
            stack.callback(self._commands.close)
            while True:
                asked_at = read_clock()
                timing = self._view.choose_poll_urgency().value
                await self._run_commands(connection)
                await self._poll(connection, timing.wait)
                await self._run_commands(connection)
                spent = read_clock() - asked_at
                await sleep(max(0, timing.spacing - spent))

    async def _wait_before_reconnect(self) -> None:
        connected_for = read_clock() - self._connected_at
        was_stable = (
            self._last_status is not None and connected_for >= MIN_STABLE_TIME
        )
        self._last_status = None
        # Reconnect at once after a stable connection: a killed target then
        # refuses the connection and the failover starts without delay.
        if not was_stable:
            await sleep(self._backoff.compute_delay())

    async def _connect(self, stack: AsyncExitStack) -> ControlConnection:
        started = read_clock()
        try:
            async with timeout(CONNECT_TIMEOUT):
                connection = await self._context.connector.connect_control(
                    self.target,
                    self.address,
                    self._view.group,
                )
        except TargetUnreachable:
            is_prompt = read_clock() - started < MAX_REFUSAL_TIME
            self._view.record_disconnect(self.target, refused=is_prompt)
            raise
        stack.push_async_callback(connection.close)
        return connection

    async def _poll(self, connection: ControlConnection, wait: Seconds) -> None:
        asked_at = read_clock()
        status = await self._call_with_timeout(
            connection.read_status(self._last_status, wait),
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
            await self._run_call(
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
                command.finish(await self._run_call(connection, command.call))
            except FenceRefused as refusal:
                command.fail(refusal)

    async def _run_call(
        self,
        connection: ControlConnection,
        call: ControlCall,
    ) -> TargetStatus:
        asked_at = read_clock()
        try:
            status = await self._call_with_timeout(call(connection))
        except FenceRefused as refusal:
            self._view.record_term(Term(refusal.current_term))
            raise
        self._record(status, asked_at)
        return status

    async def _call_with_timeout(
        self,
        answer: Awaitable[TargetStatus],
        wait: Seconds = NO_WAIT,
    ) -> TargetStatus:
        liveness = self._view.states.find_liveness(self.target)
        return await self._call_timeout.run(
            answer,
            wait,
            liveness.get_suspicion_time(read_clock()),
        )

    def _record(self, status: TargetStatus, asked_at: Monotonic) -> None:
        # One database under two names would be a majority by itself.
        if status.target != self.target:
            reason = f'{status.target} answers at its address'
            raise TargetUnreachable(self.target, reason)
        self._last_status = status
        self._context.record(Observation(status, asked_at, read_clock()))
