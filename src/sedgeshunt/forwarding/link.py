"""Keep in touch with one peer and have it run calls."""

from abc import ABC, abstractmethod
from asyncio import (
    CancelledError,
    Future,
    TaskGroup,
    get_running_loop,
    sleep,
    timeout_at,
)

from result import Err, Result

from sedgeshunt.clocks import read_boottime, read_clock
from sedgeshunt.exceptions import PeerUnreachable
from sedgeshunt.forwarding.channel import FrameChannel, FrameConnector
from sedgeshunt.forwarding.messages import (
    Beat,
    BeatReply,
    Frame,
    OwnedGroup,
    ReachQuestion,
)
from sedgeshunt.groups.backoff import Backoff
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    Monotonic,
    ProxyId,
    Seconds,
    TargetId,
    TransactionId,
)
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Unknown,
)
from sedgeshunt.statements.call import CallKind, StatementCall

# Often enough that three fit into the time for which a promise binds.
BEAT_EVERY = Seconds(0.2)
# Silence after which a peer counts as gone: two heartbeats and a margin.
SILENCE_LIMIT = Seconds(0.5)
# Silence after which an answer was missed.
MISSED_AFTER = Seconds(0.3)
CONNECT_LIMIT = Seconds(0.5)
SHORTEST_PAUSE = Seconds(0.1)
LONGEST_PAUSE = Seconds(0.5)
# What the answer's way back may take after the call's own deadline.
ANSWER_SLACK = Seconds(0.05)
RETRY_AFTER = Seconds(0.1)


class LinkEvents(ABC):
    """Say what to tell peers, and take in what they tell."""

    @abstractmethod
    def make_beat(
        self,
        peer: ProxyId,
        echo: Boottime,
        *,
        is_answering: bool,
    ) -> Beat:
        """Return the next heartbeat for a peer."""

    @abstractmethod
    def take_beat_reply(self, reply: BeatReply, asked_at: Boottime) -> None:
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
    def note_reach(self, peer: ProxyId, *, is_reached: bool) -> None:
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
        self._beats: dict[int, Boottime] = {}
        self._number = 0
        self._heard_at = Monotonic(0)
        self._echo = Boottime(0)
        self._backoff = Backoff(SHORTEST_PAUSE, LONGEST_PAUSE)

    def is_heard(self) -> bool:
        """Tell whether the peer has answered of late."""
        if self._channel is None:
            return False
        return self.measure_silence() < SILENCE_LIMIT

    def measure_silence(self) -> Seconds:
        """Return the time since the peer's last answer."""
        return Seconds(read_clock() - self._heard_at)

    async def run(self) -> None:
        """Stay connected until cancelled."""
        while True:
            try:
                channel = await self._connector.connect(
                    self.peer.address,
                    CONNECT_LIMIT,
                )
            except PeerUnreachable:
                await sleep(self._backoff.draw())
                continue
            try:
                await self._use(channel)
            finally:
                self._drop(channel)
            await sleep(self._backoff.draw())

    async def call(
        self,
        call: StatementCall,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Have the peer run a call."""
        channel = self._channel
        if channel is None or not self.is_heard():
            return Err(self._refuse('does not answer'))
        asked_at = read_boottime()
        number, reply = self._expect()
        channel.send(Frame(number, call=call))
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

    async def ask_reach(
        self,
        group: GroupId,
        target: TargetId,
        limit: Seconds,
    ) -> bool:
        """Ask whether the peer reaches a target that leads its group."""
        channel = self._channel
        if channel is None:
            return False
        number, reply = self._expect()
        channel.send(Frame(number, reach=ReachQuestion(group, target)))
        try:
            async with timeout_at(read_clock() + limit):
                frame = await reply
        except (TimeoutError, PeerUnreachable):
            return False
        finally:
            self._waiting.pop(number, None)
        return bool(frame.is_reached)

    def end_transaction(self, transaction: TransactionId) -> None:
        """Have the peer undo a transaction; a broken link does so too."""
        if self._channel is not None:
            self._number += 1
            self._channel.send(Frame(self._number, undone=transaction))

    async def _use(self, channel: FrameChannel) -> None:
        self._channel = channel
        self._heard_at = read_clock()
        self._beats.clear()
        self._events.note_reach(self.peer.name, is_reached=True)
        async with TaskGroup() as tasks:
            beating = tasks.create_task(self._beat(channel))
            while (frame := await channel.receive()) is not None:
                self._take(frame)
            beating.cancel()

    async def _beat(self, channel: FrameChannel) -> None:
        while True:
            if self.measure_silence() > SILENCE_LIMIT:
                channel.close()
                return
            self._number += 1
            silence = self.measure_silence()
            beat = self._events.make_beat(
                self.peer.name,
                self._echo,
                is_answering=silence < MISSED_AFTER,
            )
            self._beats[self._number] = read_boottime()
            channel.send(Frame(self._number, beat=beat))
            await sleep(BEAT_EVERY)

    def _take(self, frame: Frame) -> None:
        self._heard_at = read_clock()
        self._backoff.reset()
        if frame.beat_reply is not None:
            asked_at = self._beats.pop(frame.number, None)
            if asked_at is not None:
                self._note_beat(frame.beat_reply, asked_at)
            return
        waiting = self._waiting.get(frame.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(frame)

    def _note_beat(self, reply: BeatReply, asked_at: Boottime) -> None:
        self._echo = Boottime(max(self._echo, reply.stamp))
        self.owned = {one.group: one for one in reply.owned}
        self.relayed = {one.group: one for one in reply.relayed}
        self.is_stopping = reply.is_stopping
        self.reaches_store = reply.reaches_store
        self._events.take_beat_reply(reply, asked_at)

    def _expect(self) -> tuple[int, 'Future[Frame]']:
        self._number += 1
        reply: Future[Frame] = get_running_loop().create_future()
        self._waiting[self._number] = reply
        return self._number, reply

    def _drop(self, channel: FrameChannel) -> None:
        channel.close()
        self._channel = None
        self.owned = {}
        self.relayed = {}
        self._events.note_reach(self.peer.name, is_reached=False)
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
