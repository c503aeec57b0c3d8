"""Run calls of one peer and answer its heartbeats."""

from abc import ABC, abstractmethod
from asyncio import CancelledError, Task, TaskGroup, wait
from functools import partial

from msgspec.structs import replace
from result import Err, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import RefusalKind
from sedgeshunt.customers.quotas import QuotaGrant, QuotaRequest
from sedgeshunt.exceptions import FrameTooLong
from sedgeshunt.execution.transactions import TransactionTable
from sedgeshunt.forwarding.channel import FrameChannel
from sedgeshunt.forwarding.messages import (
    Frame,
    Heartbeat,
    HeartbeatReply,
    LeaseRenewal,
    ReachRequest,
)
from sedgeshunt.forwarding.unchanged import AnsweredHeartbeats
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    Revision,
    TargetId,
    TransactionId,
)
from sedgeshunt.registry.changes import StoreChanges
from sedgeshunt.registry.feeds import ChangeReceiver
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    Refusal,
    Rejected,
    Unknown,
)
from sedgeshunt.statements.call import (
    STOPPING_REASON,
    StatementCall,
    refuse_unanswered,
    refuse_unstarted,
)
from sedgeshunt.statements.waits import start_recording


class PeerRequestHandler(ABC):
    """Handle the requests of peers."""

    @abstractmethod
    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run a statement of a peer's caller."""

    @abstractmethod
    def record_cut(self, call: StatementCall) -> None:
        """Record that a peer's call was ended without an answer."""

    @abstractmethod
    async def end_transaction(
        self,
        transaction: TransactionId,
        transactions: TransactionTable,
    ) -> None:
        """Roll back a transaction that a peer's caller abandoned."""

    @abstractmethod
    def read_tip(self, group: GroupId) -> Point | None:
        """Return the log end of a group that is owned here."""

    @abstractmethod
    async def can_reach(self, group: GroupId, target: TargetId) -> bool:
        """Return whether a target is reachable here and is a primary."""

    @abstractmethod
    async def keep_lease(self, asked: LeaseRenewal) -> bool:
        """Renew a peer's lease in the store; return whether it is held."""

    @abstractmethod
    async def grant_quota(self, request: QuotaRequest) -> QuotaGrant:
        """Answer a peer's quota request for a customer."""

    @abstractmethod
    def answer_heartbeat(self, beat: Heartbeat) -> HeartbeatReply:
        """Answer a heartbeat."""

    @abstractmethod
    def add_follower(self, receive: ChangeReceiver, after: Revision) -> None:
        """Send a peer the store's changes after a revision."""

    @abstractmethod
    def remove_follower(self, receive: ChangeReceiver) -> None:
        """Stop sending changes to a peer."""


class PeerConnectionHandler:
    """Serve one peer's connection."""

    def __init__(
        self,
        channel: FrameChannel,
        handler: PeerRequestHandler,
    ) -> None:
        """Track the calls and transactions that the peer begins here."""
        self._channel = channel
        self._handler = handler
        self._transactions = TransactionTable()
        self._running: dict[int, Task[None]] = {}
        # Calls without an answer that the peer still waits for.
        self._calls: dict[int, StatementCall] = {}
        # The receivers of changes, by the number of the peer's request.
        self._receivers: dict[int, ChangeReceiver] = {}
        self._heartbeats = AnsweredHeartbeats()
        self._is_finishing = False
        self._is_final = False

    @property
    def has_transactions(self) -> bool:
        """Return whether the peer has a transaction open here."""
        return self._transactions.has_open

    async def finish(self, give_up: Monotonic) -> None:
        """Answer the running calls by `give_up`, and start no more.

        The peer learns that calls without an answer have not run.
        """
        self._is_finishing = True
        running = tuple(self._running.values())
        if running:
            await wait(running, timeout=max(0, give_up - read_clock()))
        for number, call in tuple(self._calls.items()):
            refusal = refuse_unanswered(call, Cause.DEADLINE, STOPPING_REASON)
            self._channel.send(Frame(number, reply=Err(refusal)))
            self._cancel(number)
        self._is_final = True
        self._channel.send(Frame(0, is_final=True))

    async def run(self) -> None:
        """Serve until the peer closes the connection."""
        try:
            async with TaskGroup() as tasks:
                while (frame := await self._channel.receive()) is not None:
                    self._handle(frame, tasks)
                for task in self._running.values():
                    task.cancel()
        except CancelledError:
            for call in self._calls.values():
                self._handler.record_cut(call)
            raise
        finally:
            for receive in self._receivers.values():
                self._handler.remove_follower(receive)
            await self._transactions.roll_back_all()

    def _handle(self, frame: Frame, tasks: TaskGroup) -> None:
        number = frame.number
        if frame.beat is not None:
            reply = self._answer_heartbeat(frame.beat)
            self._channel.send(Frame(number, beat_reply=reply))
        if frame.call is not None:
            self._start_call(number, frame.call, tasks)
        if frame.is_cancelled:
            self._cancel(number)
        if frame.followed_from is not None:
            receive = partial(self._send_changes, number)
            self._receivers[number] = receive
            self._handler.add_follower(receive, frame.followed_from)
        if frame.reach is not None:
            tasks.create_task(self._answer_reach(number, frame.reach))
        if frame.kept_lease is not None:
            tasks.create_task(self._answer_keep(number, frame.kept_lease))
        if frame.spend is not None:
            tasks.create_task(self._answer_quota(number, frame.spend))
        if frame.undone is not None:
            tasks.create_task(
                self._handler.end_transaction(frame.undone, self._transactions),
            )

    def _start_call(
        self,
        number: int,
        call: StatementCall,
        tasks: TaskGroup,
    ) -> None:
        if self._is_final:
            # The peer has been told that it does not run.
            return
        if self._is_finishing:
            refusal = refuse_unstarted(call, STOPPING_REASON)
            self._channel.send(Frame(number, reply=Err(refusal)))
            return
        self._calls[number] = call
        self._running[number] = tasks.create_task(self._run(number, call))

    def _cancel(self, number: int) -> None:
        self._calls.pop(number, None)
        if number in self._running:
            self._running[number].cancel()
        receive = self._receivers.pop(number, None)
        if receive is not None:
            self._handler.remove_follower(receive)

    def _send_changes(self, number: int, changes: StoreChanges | None) -> None:
        is_over = changes is None
        self._channel.send(
            Frame(number, changes=changes, is_cancelled=is_over),
        )

    def _answer_heartbeat(self, beat: Heartbeat) -> HeartbeatReply | None:
        complete = self._heartbeats.complete(beat)
        if complete is None:
            return None
        reply = self._handler.answer_heartbeat(complete)
        return self._heartbeats.shorten(reply)

    async def _answer_reach(self, number: int, asked: ReachRequest) -> None:
        is_reached = await self._handler.can_reach(asked.group, asked.target)
        self._channel.send(Frame(number, is_reached=is_reached))

    async def _answer_keep(self, number: int, asked: LeaseRenewal) -> None:
        is_kept = await self._handler.keep_lease(asked)
        self._channel.send(Frame(number, is_reached=is_kept))

    async def _answer_quota(self, number: int, request: QuotaRequest) -> None:
        grant = await self._handler.grant_quota(request)
        self._channel.send(Frame(number, spent=grant))

    async def _run(self, number: int, call: StatementCall) -> None:
        waits = start_recording()
        try:
            deadline = Monotonic(read_clock() + call.time_left)
            reply = await self._handler.run_call(
                call,
                self._transactions,
                deadline,
            )
            tip = self._handler.read_tip(call.group)
            await self._send_reply(
                call,
                Frame(number, reply=reply, tip=tip, waits=waits.finish()),
            )
            self._calls.pop(number, None)
        finally:
            self._running.pop(number, None)

    async def _send_reply(self, call: StatementCall, frame: Frame) -> None:
        try:
            self._channel.send(frame)
        except FrameTooLong as failure:
            refusal = await self._refuse_long(call, failure)
            self._channel.send(replace(frame, reply=Err(refusal)))

    async def _refuse_long(
        self,
        call: StatementCall,
        failure: FrameTooLong,
    ) -> Refusal:
        """Return the refusal of a call whose reply is too long to be sent."""
        if call.is_irreversible:
            return Unknown(Cause.CONNECTION_LOST, str(failure))
        if call.transaction is not None:
            # A refused statement ends its transaction.
            await self._handler.end_transaction(
                call.transaction, self._transactions
            )
        return Rejected(0, RefusalKind.FAILED.value, str(failure))
