"""Keep in touch with one peer and have it run calls."""

from abc import ABC, abstractmethod
from asyncio import (
    CancelledError,
    Event,
    Future,
    Queue,
    TaskGroup,
    get_running_loop,
    sleep,
    timeout_at,
)
from collections.abc import AsyncGenerator, Mapping
from contextlib import suppress

from msgspec.structs import replace
from result import Err, Result

from sedgeshunt.clocks import read_boottime, read_clock
from sedgeshunt.customers.quotas import QuotaGrant, QuotaRequest
from sedgeshunt.exceptions import PeerUnreachable
from sedgeshunt.forwarding.channel import FrameChannel, FrameConnector
from sedgeshunt.forwarding.messages import (
    Frame,
    Heartbeat,
    HeartbeatReply,
    LeaseRenewal,
    OwnedGroup,
    ReachRequest,
)
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
    Unknown,
)
from sedgeshunt.statements.call import CallKind, StatementCall

# Between an owner and who forwards to it, or may claim from it: three fit into
# the time for which a promise binds. Other peers have less to tell.
FAST_HEARTBEAT_INTERVAL = Seconds(0.2)
SLOW_HEARTBEAT_INTERVAL = Seconds(1)
# To an owner whose log ends are wanted: half a second of the age that reads
# accept, 1.5 s at the least.
TIP_HEARTBEAT_INTERVAL = Seconds(0.5)
# A call that waits for so long asks whether the peer is there still.
CALL_PATIENCE = Seconds(0.15)
# A heartbeat without an answer for so long: the answer was missed, and the
# peer counts as gone. Ways within a region take some milliseconds; a packet
# that was lost is sent again after 0.2 s.
HEARTBEAT_MISSED_AFTER = Seconds(0.1)
PEER_LOST_AFTER = Seconds(0.4)
CONNECT_LIMIT = Seconds(0.5)
SHORTEST_PAUSE = Seconds(0.1)
LONGEST_PAUSE = Seconds(0.5)
# What the answer's way back may take after the call's own deadline.
ANSWER_SLACK = Seconds(0.05)
RETRY_AFTER = Seconds(0.1)


class LinkEvents(ABC):
    """Say what to tell peers, and take in what they tell."""

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
        """Return how often a peer's heartbeats are needed."""

    @abstractmethod
    def take_heartbeat_reply(
        self,
        reply: HeartbeatReply,
        asked_at: Boottime,
    ) -> None:
        """Take in the answer to a heartbeat."""

    @abstractmethod
    def take_tip(
        self,
        group: GroupId,
        asked_at: Boottime,
        tip: Point,
    ) -> None:
        """Take in a primary's log end and when it was asked for."""

    @abstractmethod
    def note_reachability(self, peer: ProxyId, *, is_reached: bool) -> None:
        """Take in that a peer was lost or found."""


class PeerLink:
    """Own the connection to one peer."""

    def __init__(
        self,
        peer: InstanceEntry,
        connector: FrameConnector,
        events: LinkEvents,
    ) -> None:
        """Connect in run()."""
        self.peer = peer
        # Groups that the peer owns, and those whose owner it hears.
        self.owned: dict[GroupId, OwnedGroup] = {}
        self.relayed: dict[GroupId, OwnedGroup] = {}
        self.is_stopping = False
        self.reaches_store = False
        self._connector = connector
        self._events = events
        self._channel: FrameChannel | None = None
        self._waiting: dict[int, Future[Frame]] = {}
        # What the peer hands on, by the number of the question.
        self._feeds: dict[int, Queue[StoreChanges | None]] = {}
        # Heartbeats without an answer, and when each was sent.
        self._beats: dict[int, Boottime] = {}
        self._awake = Event()
        self._number = 0
        self._called_at = read_clock()
        # Since when the peer was silent as the connection was given up.
        self._silent_since: Monotonic | None = None
        self._echo = Boottime(0)
        self._backoff = Backoff(SHORTEST_PAUSE, LONGEST_PAUSE)

    def is_alive(self) -> bool:
        """Return whether the peer has answered of late."""
        return (
            self._channel is not None and self._measure_wait() < PEER_LOST_AFTER
        )

    def is_answering(self) -> bool:
        """Return whether the peer has answered the latest heartbeats."""
        if self._channel is None:
            return False
        return self._measure_wait() < HEARTBEAT_MISSED_AFTER

    def measure_silence(self) -> Seconds | None:
        """Return for how long the peer has been silent, None if it isn't.

        Nor is a peer that was never heard, or has closed its connection.
        """
        if self._channel is not None:
            return None if self.is_answering() else self._measure_wait()
        if self._silent_since is None:
            return None
        return Seconds(read_clock() - self._silent_since)

    def count_calls(self) -> int:
        """Count the calls that the peer has not answered yet."""
        return len(self._waiting)

    def measure_idle(self) -> Seconds:
        """Return for how long no call has begun or been under way."""
        if self._waiting:
            return Seconds(0)
        return Seconds(read_clock() - self._called_at)

    def wake(self) -> None:
        """Send the next heartbeat now."""
        self._awake.set()

    async def run(self) -> None:
        """Stay connected until cancelled."""
        while True:
            try:
                channel = await self._connector.connect(
                    self.peer.address,
                    CONNECT_LIMIT,
                )
            except PeerUnreachable:
                await sleep(self._backoff.compute_delay())
                continue
            try:
                await self._use(channel)
            finally:
                self._drop(channel)
            await sleep(self._backoff.compute_delay())

    async def call(
        self,
        call: StatementCall,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Have the peer run a call."""
        channel = self._channel
        if channel is None or not self.is_alive():
            return Err(self._refuse('does not answer'))
        asked_at = read_boottime()
        number, reply = self._begin(channel, call)
        try:
            async with timeout_at(deadline + ANSWER_SLACK):
                frame = await reply
        except TimeoutError:
            channel.send(Frame(number, is_cancelled=True))
            return Err(self._judge(call, Cause.DEADLINE, 'no answer in time'))
        except PeerUnreachable as lost:
            return Err(self._judge(call, Cause.CONNECTION_LOST, lost.reason))
        except CancelledError:
            channel.send(Frame(number, is_cancelled=True))
            raise
        finally:
            self._waiting.pop(number, None)
        if frame.tip is not None:
            self._events.take_tip(call.group, asked_at, frame.tip)
        if frame.reply is None:
            return Err(self._judge(call, Cause.CONNECTION_LOST, 'no reply'))
        return frame.reply

    async def ask_reachability(
        self,
        group: GroupId,
        target: TargetId,
        limit: Seconds,
    ) -> bool:
        """Ask whether the peer reaches a target that leads its group."""
        asked = Frame(0, reach=ReachRequest(group, target))
        return _is_yes(await self._ask(asked, limit))

    async def keep_lease(self, asked: LeaseRenewal, limit: Seconds) -> bool:
        """Have the peer renew a lease in the store."""
        return _is_yes(await self._ask(Frame(0, kept_lease=asked), limit))

    async def request_quota(
        self,
        request: QuotaRequest,
        limit: Seconds,
    ) -> QuotaGrant | None:
        """Have the peer count operations; None without an answer."""
        answer = await self._ask(Frame(0, spend=request), limit)
        if answer is None:
            # A heartbeat tells whether it is there, before others ask it too.
            self.wake()
            return None
        return answer.spent

    async def _ask(self, question: Frame, limit: Seconds) -> Frame | None:
        channel = self._channel
        if channel is None:
            return None
        number, reply = self._expect()
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
        """Yield what the store changes, as the peer hands it on."""
        channel = self._channel
        if channel is None:
            return
        self._number += 1
        number = self._number
        handed: Queue[StoreChanges | None] = Queue()
        self._feeds[number] = handed
        channel.send(Frame(number, followed_from=after))
        try:
            while (changes := await handed.get()) is not None:
                yield changes
        finally:
            self._feeds.pop(number, None)
            channel.send(Frame(number, is_cancelled=True))

    def end_transaction(self, transaction: TransactionId) -> None:
        """Have the peer undo a transaction; a broken link does so too."""
        if self._channel is not None:
            self._number += 1
            self._channel.send(Frame(self._number, undone=transaction))

    async def _use(self, channel: FrameChannel) -> None:
        self._channel = channel
        self._silent_since = None
        self._beats.clear()
        self._events.note_reachability(self.peer.name, is_reached=True)
        async with TaskGroup() as tasks:
            beating = tasks.create_task(self._beat(channel))
            while (frame := await channel.receive()) is not None:
                self._take(frame)
            beating.cancel()

    async def _beat(self, channel: FrameChannel) -> None:
        is_first = True
        while self._measure_wait() < PEER_LOST_AFTER:
            self._number += 1
            beat = self._events.make_heartbeat(
                self.peer.name,
                self._echo,
                is_answering=self._measure_wait() < HEARTBEAT_MISSED_AFTER,
            )
            if not is_first:
                beat = replace(beat, sender=None)
            is_first = False
            self._beats[self._number] = read_boottime()
            channel.send(Frame(self._number, beat=beat))
            await self._wait_beat()
        channel.close()

    async def _wait_beat(self) -> None:
        """Wait until the next heartbeat is due, or an answer was missed."""
        pace = self._events.find_heartbeat_interval(self.peer.name, self.owned)
        due_at = read_clock() + pace
        self._awake.clear()
        while read_clock() < due_at and not self._awake.is_set():
            # A peer that is gone shows while its answer is awaited.
            step = min(pace, PEER_LOST_AFTER) if self._beats else pace
            with suppress(TimeoutError):
                async with timeout_at(min(due_at, read_clock() + step)):
                    await self._awake.wait()
            if self._measure_wait() >= PEER_LOST_AFTER:
                return

    def _begin(
        self,
        channel: FrameChannel,
        call: StatementCall,
    ) -> tuple[int, 'Future[Frame]']:
        self._called_at = read_clock()
        number, reply = self._expect()
        channel.send(Frame(number, call=call))
        get_running_loop().call_later(CALL_PATIENCE, self._doubt, number)
        return number, reply

    def _doubt(self, number: int) -> None:
        # A heartbeat that has no answer yet will tell soon.
        if number in self._waiting and not self._beats:
            self.wake()

    def _measure_wait(self) -> Seconds:
        """Return for how long the oldest heartbeat has had no answer."""
        if not self._beats:
            return Seconds(0)
        return Seconds(read_boottime() - next(iter(self._beats.values())))

    def _take(self, frame: Frame) -> None:
        self._backoff.reset()
        if frame.beat_reply is not None:
            asked_at = self._beats.pop(frame.number, None)
            if asked_at is not None:
                self._note_beat(frame.beat_reply, asked_at)
            return
        if frame.number in self._feeds:
            # A frame without changes is the feed's end.
            self._feeds[frame.number].put_nowait(frame.changes)
            return
        waiting = self._waiting.get(frame.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(frame)

    def _note_beat(self, reply: HeartbeatReply, asked_at: Boottime) -> None:
        self._echo = Boottime(max(self._echo, reply.stamp))
        self.owned = {one.group: one for one in reply.owned}
        if reply.relayed is not None:
            self.relayed = {one.group: one for one in reply.relayed}
        self.is_stopping = reply.is_stopping
        self.reaches_store = reply.reaches_store
        self._events.take_heartbeat_reply(reply, asked_at)

    def _expect(self) -> tuple[int, 'Future[Frame]']:
        self._number += 1
        reply: Future[Frame] = get_running_loop().create_future()
        self._waiting[self._number] = reply
        return self._number, reply

    def _drop(self, channel: FrameChannel) -> None:
        channel.close()
        self._channel = None
        wait = self._measure_wait()
        if wait >= PEER_LOST_AFTER:
            self._silent_since = Monotonic(read_clock() - wait)
        self.owned = {}
        self.relayed = {}
        for handed in self._feeds.values():
            handed.put_nowait(None)
        self._events.note_reachability(self.peer.name, is_reached=False)
        lost = PeerUnreachable(self.peer.name, 'the connection broke')
        for reply in self._waiting.values():
            if not reply.done():
                reply.set_exception(lost)

    def _refuse(self, reason: str) -> NotRun:
        return NotRun(
            Cause.CONNECTION_LOST,
            f'proxy {self.peer.name} {reason}',
            RETRY_AFTER,
        )

    def _judge(
        self,
        call: StatementCall,
        cause: Cause,
        reason: str,
    ) -> Refusal:
        """Tell what may have become of a call without an answer."""
        text = f'proxy {self.peer.name}: {reason}'
        if call.transaction is not None and call.kind is not CallKind.COMMIT:
            # The peer undoes it with the connection, or when told so; without
            # its COMMIT the target keeps nothing of it.
            return NotRun(Cause.TRANSACTION_LOST, text, RETRY_AFTER)
        if call.kind is CallKind.READ:
            return NotRun(cause, text, RETRY_AFTER)
        return Unknown(cause, text)


def _is_yes(answer: Frame | None) -> bool:
    return answer is not None and bool(answer.is_reached)
