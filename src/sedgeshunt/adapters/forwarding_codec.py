"""Turn what proxies say to each other into bytes and back."""

from asyncio import IncompleteReadError, StreamReader
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from sedgeshunt.adapters.channel import ProtocolBroken
from sedgeshunt.adapters.forwarding_frames import (
    WireFrame,
    WireLease,
    WireReach,
)
from sedgeshunt.adapters.frame_beats import (
    make_beat,
    make_beat_reply,
    make_changes,
    read_beat,
    read_beat_reply,
    read_changes,
)
from sedgeshunt.adapters.frame_calls import (
    make_call,
    make_reply,
    make_spend,
    make_spent,
    read_call,
    read_reply,
    read_spend,
    read_spent,
    read_tip,
    read_waits,
)
from sedgeshunt.adapters.frame_values import LONGEST_FRAME
from sedgeshunt.forwarding.messages import (
    Frame,
    LeaseRenewal,
    ReachRequest,
)
from sedgeshunt.identifiers import (
    Era,
    GroupId,
    Revision,
    TargetId,
    TransactionId,
)

LENGTH_BYTES = 4
# A length that bytes which are no frame happen to spell takes no memory. One
# protocol serves all frames, as making one costs more than encoding a frame.
_PROTOCOL = TBinaryProtocolAcceleratedFactory(
    string_length_limit=LONGEST_FRAME,
    container_length_limit=LONGEST_FRAME,
    fallback=False,
).getProtocol(TMemoryBuffer())


async def read_frame(reader: StreamReader) -> Frame | None:
    """Return the next frame, None at the end; raise ProtocolBroken."""
    try:
        head = await reader.readexactly(LENGTH_BYTES)
        length = int.from_bytes(head, 'big')
        if length > LONGEST_FRAME:
            raise ProtocolBroken(f'a frame of {length} bytes is too long')
        body = await reader.readexactly(length)
    except IncompleteReadError:
        return None
    return decode_frame(body)


def encode_frame(frame: Frame) -> bytes:
    """Return a frame with its length before it."""
    _PROTOCOL.trans = TMemoryBuffer()
    _make_frame(frame).write(_PROTOCOL)
    body: bytes = _PROTOCOL.trans.getvalue()
    return len(body).to_bytes(LENGTH_BYTES, 'big') + body


def decode_frame(body: bytes) -> Frame:
    """Read a frame; raise ProtocolBroken."""
    try:
        _PROTOCOL.trans = TMemoryBuffer(body)
        raw = WireFrame()
        raw.read(_PROTOCOL)
        frame = _read_frame(raw)
    except Exception as failure:  # noqa: BLE001
        raise ProtocolBroken(f'a frame is malformed: {failure}') from failure
    # Many bytes that are no frame decode to one without any field.
    if frame.number is None:
        raise ProtocolBroken('a frame has no number')
    return frame


def _make_frame(frame: Frame) -> Any:
    return WireFrame(
        number=frame.number,
        call=None if frame.call is None else make_call(frame.call),
        reply=(
            None
            if frame.reply is None
            else make_reply(frame.reply, frame.tip, frame.waits)
        ),
        beat=None if frame.beat is None else make_beat(frame.beat),
        beat_reply=(
            None
            if frame.beat_reply is None
            else make_beat_reply(frame.beat_reply)
        ),
        is_cancelled=frame.is_cancelled or None,
        undone=frame.undone,
        reach=(
            None
            if frame.reach is None
            else WireReach(frame.reach.group, frame.reach.target)
        ),
        kept_lease=(
            None
            if frame.kept_lease is None
            else WireLease(frame.kept_lease.lease, frame.kept_lease.era)
        ),
        is_reached=frame.is_reached,
        followed_from=frame.followed_from,
        changes=(
            None if frame.changes is None else make_changes(frame.changes)
        ),
        spend=None if frame.spend is None else make_spend(frame.spend),
        spent=None if frame.spent is None else make_spent(frame.spent),
        is_final=frame.is_final or None,
    )


def _read_frame(raw: Any) -> Frame:
    return Frame(
        raw.number,
        None if raw.call is None else read_call(raw.call),
        None if raw.reply is None else read_reply(raw.reply),
        None if raw.reply is None else read_tip(raw.reply),
        None if raw.beat is None else read_beat(raw.beat),
        None if raw.beat_reply is None else read_beat_reply(raw.beat_reply),
        bool(raw.is_cancelled),
        None if raw.undone is None else TransactionId(raw.undone),
        (
            None
            if raw.reach is None
            else ReachRequest(
                GroupId(raw.reach.group),
                TargetId(raw.reach.target),
            )
        ),
        (
            None
            if raw.kept_lease is None
            else LeaseRenewal(raw.kept_lease.id, Era(raw.kept_lease.era))
        ),
        raw.is_reached,
        None if raw.followed_from is None else Revision(raw.followed_from),
        None if raw.changes is None else read_changes(raw.changes),
        None if raw.spend is None else read_spend(raw.spend),
        None if raw.spent is None else read_spent(raw.spent),
        {} if raw.reply is None else read_waits(raw.reply),
        bool(raw.is_final),
    )
