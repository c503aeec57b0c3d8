"""Exchange heartbeats with one peer and send it calls."""

from abc import ABC, abstractmethod
from asyncio import (
    CancelledError,
    Event,
    Future,
    Queue,
    TaskGroup,
    TimerHandle,
    get_running_loop,
    sleep,
    timeout_at,
)
from collections.abc import AsyncGenerator, Mapping

from msgspec.structs import replace
from result import Err, Result

from sedgeshunt.clocks import read_boottime, read_clock
from sedgeshunt.connections.target_session import RefusalKind
from sedgeshunt.customers.quotas import QuotaGrant, QuotaRequest
from sedgeshunt.exceptions import FrameTooLong, PeerStopped, PeerUnreachable
from sedgeshunt.forwarding.channel import FrameChannel, FrameConnector
from sedgeshunt.forwarding.messages import (
    Frame,
    Heartbeat,
    HeartbeatReply,
    LeaseRenewal,
    OwnedGroup,
    ReachRequest,
)
from sedgeshunt.forwarding.unchanged import SentHeartbeats, complete_reply
from sedgeshunt.groups.backoff import Backoff
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    Monotonic,
    ProxyId,
    Revision,
    Seconds,
    TargetId,
    TransactionId,
)
from sedgeshunt.registry.changes import StoreChanges
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Rejected,
)
from sedgeshunt.statements.call import (
    STOPPING_REASON,
    StatementCall,
    refuse_unanswered,
    refuse_unstarted,
)
from sedgeshunt.statements.waits import (
    WaitCause,
    measure_wait,
    take_reported,
)

# Between an owner and the proxies that forward to it or may claim its groups:
# three fit into the time for which a promise is valid.
FAST_HEARTBEAT_INTERVAL = Seconds(0.2)
# Between other peers, which have less to exchange.
SLOW_HEARTBEAT_INTERVAL = Seconds(1)
# Between peers of a large fleet that exchange nothing but calls. The loss of
# such a peer is detected by the first call to it.
IDLE_HEARTBEAT_INTERVAL = Seconds(3)
# The silence of a peer that had no heartbeat for longer may be older than the
# pending one. The excess over a second allows for late timers.
LONGEST_DATED_GAP = Seconds(1.5)
# To an owner whose log ends are needed: this adds half a second to the age of
# reads, which accept 1.5 s at the least.
TIP_HEARTBEAT_INTERVAL = Seconds(0.5)
# A call without a reply for this long triggers a heartbeat to its peer.
CALL_CHECK_DELAY = Seconds(0.15)
# Times without a reply after which a heartbeat counts as missed and the peer
# as lost. Round trips within a region take some milliseconds; a lost packet is
# sent again after 0.2 s.
HEARTBEAT_MISSED_AFTER = Seconds(0.1)
PEER_LOST_AFTER = Seconds(0.4)
# A timer may fire a little early, before the time that it was set for.
TIMER_PRECISION = Seconds(0.001)
CONNECT_TIMEOUT = Seconds(0.5)
MIN_RECONNECT_DELAY = Seconds(0.1)
MAX_RECONNECT_DELAY = Seconds(0.5)
# Time that the reply may take to arrive after the call's own deadline.
REPLY_SLACK = Seconds(0.05)
RETRY_DELAY = Seconds(0.1)
MILLISECONDS = 1000


class LinkEvents(ABC):
    """Build heartbeats for peers and handle the events of their links."""

    @abstractmethod
    def make_heartbeat(
        self,
        peer: ProxyId,
        echo: Boottime,
        *,
        is_answering: bool,
    ) -> Heartbeat:
        """Return the next heartbeat for a peer."""

    @abstractmethod
    def find_heartbeat_interval(
        self,
        peer: ProxyId,
        owned: Mapping[GroupId, OwnedGroup],
    ) -> Seconds:
        """Return the interval between heartbeats to a peer."""

    @abstractmethod
    def take_heartbeat_reply(
        self,
        reply: HeartbeatReply,
        asked_at: Boottime,
    ) -> None:
        """Apply the reply to a heartbeat."""

    @abstractmethod
    def take_tip(
        self,
        group: GroupId,
        asked_at: Boottime,
        tip: Point,
    ) -> None:
        """Record a primary's log end and when it was requested."""

    @abstractmethod
    def note_reachability(
        self,
        peer: ProxyId,
        *,
        is_reached: bool,
        reasons: Mapping[str, str],
    ) -> None:
        """Record that a peer became unreachable or reachable, and why."""

    def note_refused(self, peer: ProxyId, reason: str) -> None:
        """Record that a peer could not be connected."""


class PeerLink:
    """Maintain the connection to one peer."""

    def __init__(
        self,
        peer: InstanceEntry,
        connector: FrameConnector,
        events: LinkEvents,
    ) -> None:
        """Prepare; run() connects."""
        self.peer = peer
        # Groups that the peer owns, and those that it can relay calls for.
        self.owned: dict[GroupId, OwnedGroup] = {}
        self.relayed: dict[GroupId, OwnedGroup] = {}
        self.is_stopping = False
        self.reaches_store = False
        # The peer runs no more calls on this connection.
        self._is_final = False
        self._connector = connector
        self._events = events
        self._channel: FrameChannel | None = None
        self._waiting: dict[int, Future[Frame]] = {}
        # The store's changes from the peer, by the number of the request.
        self._feeds: dict[int, Queue[StoreChanges | None]] = {}
        # Heartbeats without a reply, and when each was sent.
        self._pending_heartbeats: dict[int, Boottime] = {}
        self._awake = Event()
        self._loss_timer: TimerHandle | None = None
        # Whether a heartbeat is to be sent before the next one is due.
        self._is_wanted = False
        self._number = 0
        self._called_at = read_clock()
        # Start of the peer's silence for which the connection was closed.
        self._silent_since: Monotonic | None = None
        self._sent = SentHeartbeats()
        self._interval = SLOW_HEARTBEAT_INTERVAL
        self._sent_at = read_clock()
        # Whether the oldest pending heartbeat came soon after an earlier one.
        self._is_silence_dated = True
        self._echo = Boottime(0)
        # For the lines: when the peer was heard or lost, and how it ended.
        self._heard_at = read_clock()
        self._lost_at: Monotonic | None = None
        self._has_closed = False
        self._is_refused = False
        self._backoff = Backoff(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY)

    def is_alive(self) -> bool:
        """Return whether the peer is connected and does not count as lost."""
        return (
            self._channel is not None and self._measure_wait() < PEER_LOST_AFTER
        )

    def is_answering(self) -> bool:
        """Return whether the peer answered the latest heartbeats."""
        if self._channel is None:
            return False
        return self._measure_wait() < HEARTBEAT_MISSED_AFTER

    def measure_silence(self) -> Seconds | None:
        """Return how long the peer has been silent, None if it is not.

        A peer that never answered, or closed its connection, is not silent.
        Nor is one that was asked rarely before: it may have been lost earlier.
        """
        if self._channel is not None:
            is_silent = self._is_silence_dated and not self.is_answering()
            return self._measure_wait() if is_silent else None
        if self._silent_since is None:
            return None
        return Seconds(read_clock() - self._silent_since)

    def count_calls(self) -> int:
        """Return the number of calls that the peer has not answered yet."""
        return len(self._waiting)

    def measure_idle(self) -> Seconds:
        """Return how long no call has been under way."""
        if self._waiting:
            return Seconds(0)
        return Seconds(read_clock() - self._called_at)

    def wake(self) -> None:
        """Send the next heartbeat now."""
        self._is_wanted = True
        self._awake.set()

    def wake_if_idle(self) -> None:
        """Send a heartbeat now to a peer that gets them rarely."""
        if self._interval >= IDLE_HEARTBEAT_INTERVAL:
            self.wake()

    async def run(self) -> None:
        """Connect, and reconnect after failures, until cancelled."""
        while True:
            try:
                channel = await self._connector.connect(
                    self.peer.address,
                    CONNECT_TIMEOUT,
                )
            except PeerUnreachable as failure:
                self._note_refused(failure.reason)
                await sleep(self._backoff.compute_delay())
                continue
            try:
                await self._serve(channel)
            finally:
                self._drop(channel)
            await sleep(self._backoff.compute_delay())

    async def call(
        self,
        call: StatementCall,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Send a call to the peer and return its reply."""
        channel = self._channel
        if channel is None or self._is_final or not self.is_alive():
            return Err(self._refuse_unsent(call))
        try:
            return await self._exchange(channel, call, deadline)
        except FrameTooLong as failure:
            return Err(self._reject_unsent(call, failure))

    async def _exchange(
        self,
        channel: FrameChannel,
        call: StatementCall,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        asked_at = read_boottime()
        number, reply = self._send_call(channel, call)
        try:
            async with timeout_at(deadline + REPLY_SLACK):
                with measure_wait(WaitCause.PEER):
                    frame = await reply
        except TimeoutError:
            channel.send(Frame(number, is_cancelled=True))
            return Err(
                self._make_refusal(call, Cause.DEADLINE, 'no answer in time'),
            )
        except PeerUnreachable as lost:
            return Err(self._refuse_lost(call, lost))
        except CancelledError:
            channel.send(Frame(number, is_cancelled=True))
            raise
        finally:
            self._waiting.pop(number, None)
        take_reported(frame.waits)
        if frame.tip is not None:
            self._events.take_tip(call.group, asked_at, frame.tip)
        if frame.reply is None:
            return Err(
                self._make_refusal(call, Cause.CONNECTION_LOST, 'no reply'),
            )
        return frame.reply

    async def ask_reachability(
        self,
        group: GroupId,
        target: TargetId,
        limit: Seconds,
    ) -> bool:
        """Ask whether the peer reaches a target that is a primary."""
        asked = Frame(0, reach=ReachRequest(group, target))
        return _is_yes(await self._ask(asked, limit))

    async def keep_lease(self, asked: LeaseRenewal, limit: Seconds) -> bool:
        """Ask the peer to renew a lease in the store."""
        return _is_yes(await self._ask(Frame(0, kept_lease=asked), limit))

    async def request_quota(
        self,
        request: QuotaRequest,
        limit: Seconds,
    ) -> QuotaGrant | None:
        """Ask the peer for quota; return None without an answer."""
        answer = await self._ask(Frame(0, spend=request), limit)
        if answer is None:
            # A heartbeat checks the peer before other requests are sent to it.
            self.wake()
            return None
        return answer.spent

    async def _ask(self, question: Frame, limit: Seconds) -> Frame | None:
        channel = self._channel
        if channel is None:
            return None
        number, reply = self._add_waiter()
        channel.send(replace(question, number=number))
        try:
            async with timeout_at(read_clock() + limit):
                return await reply
        except (TimeoutError, PeerUnreachable):
            return None
        finally:
            self._waiting.pop(number, None)

    async def follow_changes(
        self,
        after: Revision,
    ) -> AsyncGenerator[StoreChanges, None]:
        """Yield the store's changes after a revision, sent by the peer."""
        channel = self._channel
        if channel is None:
            return
        self._number += 1
        number = self._number
        feed: Queue[StoreChanges | None] = Queue()
        self._feeds[number] = feed
        channel.send(Frame(number, followed_from=after))
        try:
            while (changes := await feed.get()) is not None:
                yield changes
        finally:
            self._feeds.pop(number, None)
            channel.send(Frame(number, is_cancelled=True))

    def end_transaction(self, transaction: TransactionId) -> None:
        """Ask the peer to roll back a transaction, as a closed link does."""
        if self._channel is not None:
            self._number += 1
            self._channel.send(Frame(self._number, undone=transaction))

    async def _serve(self, channel: FrameChannel) -> None:
        self._channel = channel
        self._silent_since = None
        self._is_final = False
        self._interval = SLOW_HEARTBEAT_INTERVAL
        self._sent_at = read_clock()
        self._sent = SentHeartbeats()
        self._pending_heartbeats.clear()
        self._heard_at = read_clock()
        self._has_closed = False
        self._is_refused = False
        self._events.note_reachability(
            self.peer.name, is_reached=True, reasons=self._describe_return()
        )
        async with TaskGroup() as tasks:
            heartbeats = tasks.create_task(self._send_heartbeats(channel))
            while (frame := await channel.receive()) is not None:
                self._handle(frame)
                if self._is_final:
                    break
            self._has_closed = True
            heartbeats.cancel()

    async def _send_heartbeats(self, channel: FrameChannel) -> None:
        while self._measure_wait() < PEER_LOST_AFTER:
            self._number += 1
            beat = self._events.make_heartbeat(
                self.peer.name,
                self._echo,
                is_answering=self._measure_wait() < HEARTBEAT_MISSED_AFTER,
            )
            now = read_clock()
            if not self._pending_heartbeats:
                # The interval may have been shortened since the last one.
                self._is_silence_dated = now - self._sent_at < LONGEST_DATED_GAP
            self._sent_at = now
            self._pending_heartbeats[self._number] = read_boottime()
            channel.send(Frame(self._number, beat=self._sent.shorten(beat)))
            await self._wait_due()
        channel.close()

    async def _wait_due(self) -> None:
        """Wait until the next heartbeat is due or the peer is lost."""
        self._is_wanted = False
        # A callback costs less than waking this task when the reply is there.
        self._watch_loss()
        try:
            await self._wait_interval(read_clock())
        finally:
            if self._loss_timer is not None:
                self._loss_timer.cancel()

    async def _wait_interval(self, sent_at: Monotonic) -> None:
        check_at = sent_at
        while not self._is_wanted and self._measure_wait() < PEER_LOST_AFTER:
            now = read_clock()
            if now >= check_at:
                # Checked again during a long interval, as the peer may have
                # become an owner, or a call to it may be under way.
                self._interval = self._find_interval()
                check_at = Monotonic(now + SLOW_HEARTBEAT_INTERVAL)
            due_at = Monotonic(sent_at + self._interval)
            if now >= due_at:
                return
            await self._sleep_until(min(due_at, check_at))

    async def _sleep_until(self, moment: Monotonic) -> None:
        self._awake.clear()
        timer = get_running_loop().call_at(moment, self._awake.set)
        try:
            await self._awake.wait()
        finally:
            timer.cancel()

    def _watch_loss(self) -> None:
        """Wake the sender of heartbeats once the peer counts as lost."""
        if not self._pending_heartbeats:
            return
        rest = PEER_LOST_AFTER - self._measure_wait()
        if rest <= 0:
            self._awake.set()
            return
        self._loss_timer = get_running_loop().call_later(
            max(rest, TIMER_PRECISION),
            self._watch_loss,
        )

    def _find_interval(self) -> Seconds:
        interval = self._events.find_heartbeat_interval(
            self.peer.name,
            self.owned,
        )
        # A call under way has to end early if the peer is lost, and a peer
        # that is stopping has to be known before many calls are sent to it.
        if self.measure_idle() < SLOW_HEARTBEAT_INTERVAL:
            return min(interval, SLOW_HEARTBEAT_INTERVAL)
        return interval

    def _send_call(
        self,
        channel: FrameChannel,
        call: StatementCall,
    ) -> tuple[int, 'Future[Frame]']:
        self._called_at = read_clock()
        number, reply = self._add_waiter()
        try:
            channel.send(Frame(number, call=call))
        except FrameTooLong:
            del self._waiting[number]
            raise
        get_running_loop().call_later(
            CALL_CHECK_DELAY,
            self._check_peer,
            number,
        )
        return number, reply

    def _check_peer(self, number: int) -> None:
        # A heartbeat that awaits its reply already serves as the check.
        if number in self._waiting and not self._pending_heartbeats:
            self.wake()

    def _measure_wait(self) -> Seconds:
        """Return how long the oldest pending heartbeat has had no reply."""
        if not self._pending_heartbeats:
            return Seconds(0)
        return Seconds(
            read_boottime() - next(iter(self._pending_heartbeats.values())),
        )

    def _handle(self, frame: Frame) -> None:
        self._backoff.reset()
        self._heard_at = read_clock()
        if frame.is_final:
            self._is_final = True
            self._fail_waiting(PeerStopped(self.peer.name, STOPPING_REASON))
            return
        if frame.beat_reply is not None:
            asked_at = self._pending_heartbeats.pop(frame.number, None)
            if asked_at is not None:
                self._note_heartbeat_reply(frame.beat_reply, asked_at)
            return
        if frame.number in self._feeds:
            # A frame without changes ends the feed.
            self._feeds[frame.number].put_nowait(frame.changes)
            return
        waiting = self._waiting.get(frame.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(frame)

    def _note_heartbeat_reply(
        self,
        reply: HeartbeatReply,
        asked_at: Boottime,
    ) -> None:
        self._sent.note_reply(reply)
        # Not the later of both: the peer's clock starts at 0 again when its
        # instance restarts. Replies on one connection arrive in order.
        self._echo = reply.stamp
        if reply.owned is not None:
            self.owned = {one.group: one for one in reply.owned}
        if reply.relayed is not None:
            self.relayed = {one.group: one for one in reply.relayed}
        self.is_stopping = reply.is_stopping
        self.reaches_store = reply.reaches_store
        known = tuple(self.owned.values())
        self._events.take_heartbeat_reply(
            complete_reply(reply, known), asked_at
        )

    def _add_waiter(self) -> tuple[int, 'Future[Frame]']:
        self._number += 1
        reply: Future[Frame] = get_running_loop().create_future()
        self._waiting[self._number] = reply
        return self._number, reply

    def _drop(self, channel: FrameChannel) -> None:
        channel.close()
        self._channel = None
        wait = self._measure_wait()
        if wait >= PEER_LOST_AFTER and self._is_silence_dated:
            self._silent_since = Monotonic(read_clock() - wait)
        self.owned = {}
        self.relayed = {}
        for feed in self._feeds.values():
            feed.put_nowait(None)
        self._lost_at = read_clock()
        self._events.note_reachability(
            self.peer.name, is_reached=False, reasons=self._describe_loss(wait)
        )
        self._fail_waiting(
            PeerUnreachable(self.peer.name, 'the connection broke')
        )

    def _note_refused(self, reason: str) -> None:
        if not self._is_refused:
            self._is_refused = True
            self._events.note_refused(self.peer.name, reason)

    def _describe_return(self) -> dict[str, str]:
        if self._lost_at is None:
            return {}
        return {'lost_ms': _format(read_clock() - self._lost_at)}

    def _describe_loss(self, wait: Seconds) -> dict[str, str]:
        why = 'closed' if self._has_closed else 'given up'
        if self._is_final:
            why = 'stopping'
        elif wait >= PEER_LOST_AFTER:
            why = 'silent'
        return {
            'why': why,
            'silent_ms': _format(read_clock() - self._heard_at),
            'unanswered_ms': _format(wait),
            'calls': str(len(self._waiting)),
        }

    def _fail_waiting(self, failure: PeerUnreachable) -> None:
        for reply in self._waiting.values():
            if not reply.done():
                reply.set_exception(failure)

    def _refuse_unsent(self, call: StatementCall) -> NotRun:
        if self._is_final:
            return refuse_unstarted(call, STOPPING_REASON)
        return NotRun(
            Cause.CONNECTION_LOST,
            f'proxy {self.peer.name} does not answer',
            RETRY_DELAY,
        )

    def _reject_unsent(
        self,
        call: StatementCall,
        failure: FrameTooLong,
    ) -> Rejected:
        if call.transaction is not None:
            # A refused statement ends its transaction.
            self.end_transaction(call.transaction)
        return Rejected(0, RefusalKind.MALFORMED.value, str(failure))

    def _refuse_lost(
        self,
        call: StatementCall,
        lost: PeerUnreachable,
    ) -> Refusal:
        if isinstance(lost, PeerStopped):
            return refuse_unstarted(call, STOPPING_REASON)
        return self._make_refusal(call, Cause.CONNECTION_LOST, lost.reason)

    def _make_refusal(
        self,
        call: StatementCall,
        cause: Cause,
        reason: str,
    ) -> Refusal:
        """Return the outcome of a call that got no reply."""
        text = f'proxy {self.peer.name}: {reason}'
        return refuse_unanswered(call, cause, text)


def _format(span: float) -> str:
    return str(round(span * MILLISECONDS))


def _is_yes(answer: Frame | None) -> bool:
    return answer is not None and bool(answer.is_reached)
