"""Check how one link detects the loss of a peer."""

from asyncio import create_task, sleep
from collections.abc import Mapping
from typing import Any, TypeVar
from unittest.mock import patch

from behave import given, then, when
from msgspec.structs import replace

from sedgeshunt.adapters.forwarding_codec import (
    LENGTH_BYTES,
    decode_frame,
    encode_frame,
)
from sedgeshunt.clocks import read_boottime, read_clock
from sedgeshunt.forwarding.channel import FrameChannel
from sedgeshunt.forwarding.link import LinkEvents, PeerLink
from sedgeshunt.forwarding.messages import (
    Frame,
    Heartbeat,
    HeartbeatReply,
    OwnedGroup,
)
from sedgeshunt.forwarding.unchanged import (
    AnsweredHeartbeats,
    SentHeartbeats,
    complete_reply,
)
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    Incarnation,
    Monotonic,
    OwnerToken,
    ProxyId,
    Revision,
    Seconds,
    StatementId,
    TrafficClass,
    ZoneId,
)
from sedgeshunt.ports import Address
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.statements.call import Access, CallKind, StatementCall
from tests.features.promise_time import VirtualTime
from tests.standins.frames import MemoryFrames
from tests.standins.network import Network, Place

_Message = TypeVar('_Message', Heartbeat, HeartbeatReply)

GROUP = GroupId('songbook')
NEAR = Place('near', 'east')
FAR = Place('far', 'west')
PEER = InstanceEntry(
    ProxyId(FAR.name), Incarnation('1'), ZoneId(FAR.zone), '127.0.0.1', 1, 1
)
CALL_TIME = 8
# A heartbeat is missed after 0.1 s, and the link is closed after 0.4 s.
MISSED_AFTER = 0.2


class ScriptedEvents(LinkEvents):
    """Let the scenario choose the interval and ignore all events."""

    def __init__(self, interval: Seconds) -> None:
        """Send a heartbeat at each `interval`."""
        self.interval = interval

    def make_heartbeat(
        self,
        peer: ProxyId,
        echo: Boottime,
        *,
        is_answering: bool,
    ) -> Heartbeat:
        """Return a heartbeat without a promise."""
        return Heartbeat(None, Seconds(0), echo, 0)

    def find_heartbeat_interval(
        self,
        peer: ProxyId,
        owned: Mapping[GroupId, OwnedGroup],
    ) -> Seconds:
        """Return the scenario's interval."""
        return self.interval

    def take_heartbeat_reply(
        self,
        reply: HeartbeatReply,
        asked_at: Boottime,
    ) -> None:
        """Ignore a reply."""

    def take_tip(self, group: GroupId, asked_at: Boottime, tip: Point) -> None:
        """Ignore a log end."""

    def note_reachability(
        self,
        peer: ProxyId,
        *,
        is_reached: bool,
        reasons: Mapping[str, str],
    ) -> None:
        """Ignore the change."""


def open_time(context: Any) -> None:
    """Start a virtual clock, which the scenario's end stops."""
    context.time = VirtualTime()
    context.add_cleanup(context.time.close)
    clock = patch(
        'sedgeshunt.clocks.clock_gettime',
        lambda clock: context.time.read_now(),
    )
    clock.start()
    context.add_cleanup(clock.stop)


@given('a link whose peer gets a heartbeat each {interval:g} s')
def open_link(context: Any, interval: float) -> None:
    open_time(context)
    context.network = Network()
    listeners: dict[Address, Any] = {}
    MemoryFrames(context.network, FAR, listeners).listen(PEER.address, _answer)
    near = MemoryFrames(context.network, NEAR, listeners)
    context.time.act(lambda: _make_link(context, near, Seconds(interval)))
    context.time.watch(context.link.run())
    # Until right after a heartbeat, at any interval.
    context.time.run(sleep(6.1))


@when('a call is sent and the peer becomes silent {seconds:g} s later')
def send_call(context: Any, seconds: float) -> None:
    call = StatementCall(
        GROUP,
        Access.REPLICA,
        CallKind.READ,
        StatementId('s1'),
        'READ item',
        TrafficClass('browse'),
        Seconds(CALL_TIME),
        Seconds(CALL_TIME),
        2,
    )

    async def run() -> None:
        sent_at = read_clock()
        asked = create_task(
            context.link.call(call, Monotonic(sent_at + CALL_TIME)),
        )
        await sleep(seconds)
        context.network.cut(NEAR.name, FAR.name)
        context.outcome = await asked
        context.spent = read_clock() - sent_at

    context.time.run(run())


@then('the call is refused {least:g} to {most:g} s after it was sent')
def check_refused(context: Any, least: float, most: float) -> None:
    assert context.outcome.is_err(), context.outcome
    assert least <= context.spent <= most, context.spent


@when('the peer becomes silent and gets a heartbeat {seconds:g} s later')
def ask_silent(context: Any, seconds: float) -> None:
    context.network.cut(NEAR.name, FAR.name)
    context.time.run(sleep(seconds))
    context.time.act(context.link.wake)
    context.time.run(sleep(MISSED_AFTER))


@when(
    'the peer becomes silent and gets one each {interval:g} s from '
    '{seconds:g} s later on'
)
def shorten_interval(context: Any, interval: float, seconds: float) -> None:
    context.network.cut(NEAR.name, FAR.name)
    context.time.run(sleep(seconds))
    context.events.interval = Seconds(interval)
    # The interval is chosen again each second.
    context.time.run(sleep(1))


@then('the link counts as silent')
def check_silent(context: Any) -> None:
    assert _measure_silence(context) is not None


@then('the link does not count as silent')
def check_not_silent(context: Any) -> None:
    assert _measure_silence(context) is None


@given('a peer that keeps what is unchanged')
def open_new(context: Any) -> None:
    context.is_new = True


@given('a peer that does not keep what is unchanged')
def open_old(context: Any) -> None:
    context.is_new = False


@when('three heartbeats are exchanged, the third after a change')
def exchange(context: Any) -> None:
    sent, answered = SentHeartbeats(), AnsweredHeartbeats()
    context.exchanged = []
    owned: tuple[OwnedGroup, ...] = ()
    for number in (1, 1, 2):
        full = Heartbeat(
            PEER, Seconds(0), Boottime(0), number, Revision(number)
        )
        beat = _carry(Frame(1, beat=sent.shorten(full))).beat
        assert beat is not None
        complete = answered.complete(_forget(context, beat))
        assert complete is not None
        groups = (OwnedGroup(GROUP, OwnerToken(number), None),)
        reply = HeartbeatReply(Boottime(1), groups, is_stopping=False)
        raw = _carry(Frame(1, beat_reply=answered.shorten(reply))).beat_reply
        assert raw is not None
        sent.note_reply(_forget(context, raw))
        owned = complete_reply(raw, owned).owned or ()
        is_known = (complete.version, owned) == (number, groups)
        context.exchanged.append((beat, raw, is_known))


@then('the second {has} the version and revision, and its reply the groups')
def check_second(context: Any, has: str) -> None:
    _check_fields(context, 1, is_full=has == 'has')


@then('the third and its reply have them')
def check_third(context: Any) -> None:
    _check_fields(context, 2, is_full=True)


@then('both sides know the same after each')
def check_known(context: Any) -> None:
    assert all(is_known for _, _, is_known in context.exchanged)


def _check_fields(context: Any, place: int, *, is_full: bool) -> None:
    beat, reply, _ = context.exchanged[place]
    for found in (beat.version, beat.store_revision, reply.owned):
        assert (found is not None) == is_full, (beat, reply)


def _forget(context: Any, message: _Message) -> _Message:
    # A peer of an earlier build neither sends nor reads the field.
    if context.is_new:
        return message
    return replace(message, keeps_unchanged=False)


def _carry(frame: Frame) -> Frame:
    return decode_frame(encode_frame(frame)[LENGTH_BYTES:])


def _measure_silence(context: Any) -> Seconds | None:
    async def measure() -> Seconds | None:
        assert not context.link.is_answering()
        silence: Seconds | None = context.link.measure_silence()
        return silence

    measured: Seconds | None = context.time.run(measure())
    return measured


def _make_link(context: Any, near: MemoryFrames, interval: Seconds) -> None:
    context.events = ScriptedEvents(interval)
    context.link = PeerLink(PEER, near, context.events)


async def _answer(channel: FrameChannel) -> None:
    while (frame := await channel.receive()) is not None:
        if frame.beat is not None:
            reply = HeartbeatReply(read_boottime(), (), is_stopping=False)
            channel.send(Frame(frame.number, beat_reply=reply))
