"""Turn what proxies say to each other into bytes and back."""

from asyncio import IncompleteReadError, StreamReader
from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from sedgeshunt.adapters.channel import ProtocolBroken
from sedgeshunt.adapters.forwarding_frames import (
    WireBeat,
    WireBeatReply,
    WireCall,
    WireChange,
    WireChanges,
    WireFrame,
    WireInstance,
    WireOwned,
    WirePlace,
    WirePrepared,
    WireReach,
    WireReply,
    WireSpend,
    WireSpent,
)
from sedgeshunt.adapters.packing import pack, unpack
from sedgeshunt.customers.counting import Spend, Spent
from sedgeshunt.customers.directory import Identity
from sedgeshunt.forwarding.messages import (
    Beat,
    BeatReply,
    Frame,
    OwnedGroup,
    ReachQuestion,
)
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    Boottime,
    CustomerId,
    GroupId,
    Incarnation,
    KeyDigest,
    OwnerToken,
    Position,
    ProxyId,
    Revision,
    Seconds,
    StatementId,
    TargetId,
    Term,
    TrafficClass,
    TransactionId,
    ZoneId,
)
from sedgeshunt.ports import WatchEvent
from sedgeshunt.registry.changes import StoreChanges
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Rejected,
    Unknown,
)
from sedgeshunt.statements.call import Access, CallKind, StatementCall
from sedgeshunt.statements.statement import PreparedStatement

# A frame holds one message of a caller, 1 MiB, and what goes with it; or a
# configuration of that size.
LONGEST_FRAME = 4 * 1024 * 1024
LENGTH_BYTES = 4

MILLISECONDS = 1000
# Outcomes of a reply, as the definition file numbers them.
DONE = 0
NOT_RUN = 1
UNKNOWN = 2
REJECTED = 3
_ACCESSES = (Access.PRIMARY, Access.REPLICA)
_KINDS = (
    CallKind.READ,
    CallKind.WRITE,
    CallKind.COMMIT,
    CallKind.ROLLBACK,
)
# A length that bytes which are no frame happen to spell takes no memory.
_PROTOCOL = TBinaryProtocolAcceleratedFactory(
    string_length_limit=LONGEST_FRAME,
    container_length_limit=LONGEST_FRAME,
    fallback=False,
)


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
    body = serialize(_make_frame(frame), _PROTOCOL)
    return len(body).to_bytes(LENGTH_BYTES, 'big') + body


def decode_frame(body: bytes) -> Frame:
    """Read a frame; raise ProtocolBroken."""
    try:
        frame = _read_frame(deserialize(WireFrame(), body, _PROTOCOL))
    except Exception as failure:  # noqa: BLE001
        raise ProtocolBroken(f'a frame is malformed: {failure}') from failure
    # Many bytes that are no frame decode to one without any field.
    if frame.number is None:
        raise ProtocolBroken('a frame has no number')
    return frame


def _make_frame(frame: Frame) -> Any:
    return WireFrame(
        number=frame.number,
        call=None if frame.call is None else _make_call(frame.call),
        reply=(
            None if frame.reply is None else _make_reply(frame.reply, frame.tip)
        ),
        beat=None if frame.beat is None else _make_beat(frame.beat),
        beat_reply=(
            None
            if frame.beat_reply is None
            else _make_beat_reply(frame.beat_reply)
        ),
        is_cancelled=frame.is_cancelled or None,
        undone=frame.undone,
        reach=(
            None
            if frame.reach is None
            else WireReach(frame.reach.group, frame.reach.target)
        ),
        kept_lease=frame.kept_lease,
        is_reached=frame.is_reached,
        followed_from=frame.followed_from,
        changes=(
            None if frame.changes is None else _make_changes(frame.changes)
        ),
        spend=None if frame.spend is None else _make_spend(frame.spend),
        spent=None if frame.spent is None else _make_spent(frame.spent),
    )


def _read_frame(raw: Any) -> Frame:
    return Frame(
        raw.number,
        None if raw.call is None else _read_call(raw.call),
        None if raw.reply is None else _read_reply(raw.reply),
        None if raw.reply is None else _read_tip(raw.reply),
        None if raw.beat is None else _read_beat(raw.beat),
        None if raw.beat_reply is None else _read_beat_reply(raw.beat_reply),
        bool(raw.is_cancelled),
        None if raw.undone is None else TransactionId(raw.undone),
        (
            None
            if raw.reach is None
            else ReachQuestion(
                GroupId(raw.reach.group),
                TargetId(raw.reach.target),
            )
        ),
        raw.kept_lease,
        raw.is_reached,
        None if raw.followed_from is None else Revision(raw.followed_from),
        None if raw.changes is None else _read_changes(raw.changes),
        None if raw.spend is None else _read_spend(raw.spend),
        None if raw.spent is None else _read_spent(raw.spent),
    )


def _read_tip(raw: Any) -> Point | None:
    return _read_place(raw.point if raw.is_tip else raw.tip)


def _make_place(point: Point | None) -> Any:
    return None if point is None else WirePlace(point.term, point.position)


def _read_place(raw: Any) -> Point | None:
    return (
        None if raw is None else Point(Term(raw.term), Position(raw.position))
    )


def _make_call(call: StatementCall) -> Any:
    prepared = call.prepared
    is_prepared = prepared is not None
    return WireCall(
        group=call.group,
        access=_ACCESSES.index(call.access),
        kind=_KINDS.index(call.kind),
        statement=call.statement,
        # What is prepared is told by its shape and its arguments.
        text=None if is_prepared else call.text,
        traffic_class=call.traffic_class,
        time_left_ms=_count_ms(call.time_left),
        aim_left_ms=_count_ms(call.aim_left),
        priority=call.priority,
        transaction=call.transaction,
        begins=call.begins or None,
        is_read_only=call.is_read_only or None,
        session_values=dict(call.values) or None,
        prepared=_make_prepared(prepared),
        arguments=call.arguments if is_prepared else None,
        after=_make_place(call.after),
        max_age_ms=_count_ms(call.max_age) or None,
        is_relayed=call.is_relayed or None,
        customer=call.identity.customer or None,
        key_digest=call.identity.key or None,
        version=call.identity.version or None,
    )


def _read_call(raw: Any) -> StatementCall:
    return StatementCall(
        GroupId(raw.group),
        _ACCESSES[raw.access],
        _KINDS[raw.kind],
        StatementId(raw.statement),
        raw.text or '',
        TrafficClass(raw.traffic_class),
        _read_ms(raw.time_left_ms),
        _read_ms(raw.aim_left_ms),
        raw.priority,
        None if raw.transaction is None else TransactionId(raw.transaction),
        bool(raw.begins),
        bool(raw.is_read_only),
        raw.session_values or {},
        _read_prepared(raw.prepared),
        raw.arguments or '',
        _read_place(raw.after),
        _read_ms(raw.max_age_ms),
        bool(raw.is_relayed),
        Identity(
            CustomerId(raw.customer or ''),
            KeyDigest(raw.key_digest or ''),
            raw.version or 0,
        ),
    )


def _make_spend(spend: Spend) -> Any:
    return WireSpend(spend.customer, spend.wanted, spend.is_borrowed or None)


def _read_spend(raw: Any) -> Spend:
    return Spend(
        CustomerId(raw.customer),
        raw.wanted,
        bool(raw.is_borrowed),
    )


def _make_spent(spent: Spent) -> Any:
    return WireSpent(
        spent.granted,
        _count_ms(spent.wait),
        spent.is_elsewhere or None,
    )


def _read_spent(raw: Any) -> Spent:
    return Spent(raw.granted, _read_ms(raw.wait_ms), bool(raw.is_elsewhere))


def _make_prepared(prepared: PreparedStatement | None) -> Any:
    if prepared is None:
        return None
    return WirePrepared(prepared.writes, prepared.shape)


def _read_prepared(raw: Any) -> PreparedStatement | None:
    if raw is None:
        return None
    return PreparedStatement(bool(raw.writes), raw.shape)


def _count_ms(span: Seconds) -> int:
    return round(span * MILLISECONDS)


def _read_ms(span: int | None) -> Seconds:
    return Seconds((span or 0) / MILLISECONDS)


def _make_reply(outcome: Result[Answer, Refusal], tip: Point | None) -> Any:
    if isinstance(outcome, Ok):
        answer = outcome.ok_value
        # An owner's answer mostly shows the log's end already.
        is_tip = tip is not None and tip == answer.point
        return WireReply(
            outcome=DONE,
            rows=[str(row[0]) for row in answer.rows] or None,
            point=_make_place(answer.point),
            signature=answer.signature or None,
            served_by=answer.served_by,
            tip=None if is_tip else _make_place(tip),
            is_tip=is_tip or None,
        )
    refusal = outcome.err_value
    if isinstance(refusal, Rejected):
        return WireReply(
            outcome=REJECTED,
            cause=refusal.sqlstate,
            reason=refusal.reason,
            tip=_make_place(tip),
        )
    is_not_run = isinstance(refusal, NotRun)
    return WireReply(
        outcome=NOT_RUN if is_not_run else UNKNOWN,
        cause=refusal.cause.value,
        reason=refusal.reason,
        served_by=refusal.target,
        retry_after_ms=(
            _count_ms(refusal.retry_after)
            if isinstance(refusal, NotRun)
            else None
        ),
        tip=_make_place(tip),
    )


def _read_reply(raw: Any) -> Result[Answer, Refusal]:
    target = TargetId(raw.served_by) if raw.served_by else None
    if raw.outcome == DONE:
        return Ok(
            Answer(
                rows=[(row,) for row in raw.rows or ()],
                point=_read_place(raw.point),
                served_by=target,
                signature=raw.signature or '',
            ),
        )
    if raw.outcome == REJECTED:
        return Err(Rejected(0, raw.cause, raw.reason))
    cause = Cause(raw.cause)
    if raw.outcome == NOT_RUN:
        retry_after = _read_ms(raw.retry_after_ms)
        return Err(NotRun(cause, raw.reason, retry_after, target))
    return Err(Unknown(cause, raw.reason, target))


def _make_beat(beat: Beat) -> Any:
    sender = beat.sender
    return WireBeat(
        sender=(
            None
            if sender is None
            else WireInstance(
                sender.name,
                sender.incarnation,
                sender.zone,
                sender.host,
                sender.port,
                sender.capacity,
            )
        ),
        promised_ms=_count_ms(beat.promised),
        echo=beat.echo,
        revision=beat.revision,
        store_revision=beat.store_revision,
    )


def _read_beat(raw: Any) -> Beat:
    return Beat(
        None if raw.sender is None else _read_instance(raw.sender),
        _read_ms(raw.promised_ms),
        Boottime(raw.echo),
        Revision(raw.revision),
        Revision(raw.store_revision),
    )


def _read_instance(raw: Any) -> InstanceEntry:
    return InstanceEntry(
        ProxyId(raw.name),
        Incarnation(raw.incarnation),
        ZoneId(raw.zone),
        raw.host,
        raw.port,
        raw.capacity,
    )


def _make_beat_reply(reply: BeatReply) -> Any:
    document, is_packed = pack(reply.document)
    return WireBeatReply(
        stamp=reply.stamp,
        owned=_make_owned(reply.owned),
        relayed=None if reply.relayed is None else _make_owned(reply.relayed),
        store_revision=reply.store_revision,
        reaches_store=reply.reaches_store,
        released=dict(reply.released) or None,
        revision=reply.revision,
        is_stopping=reply.is_stopping,
        document=document,
        is_packed=is_packed or None,
    )


def _read_beat_reply(raw: Any) -> BeatReply:
    return BeatReply(
        Boottime(raw.stamp),
        _read_owned(raw.owned),
        Revision(raw.revision),
        bool(raw.is_stopping),
        None if raw.relayed is None else _read_owned(raw.relayed),
        Revision(raw.store_revision),
        bool(raw.reaches_store),
        tuple(
            (GroupId(group), claim)
            for group, claim in (raw.released or {}).items()
        ),
        _unpack(raw),
    )


def _make_owned(owned: Sequence[OwnedGroup]) -> list[Any]:
    return [
        WireOwned(one.group, one.token, _make_place(one.tip)) for one in owned
    ]


def _read_owned(raw: Sequence[Any] | None) -> tuple[OwnedGroup, ...]:
    return tuple(
        OwnedGroup(
            GroupId(one.group),
            OwnerToken(one.token),
            _read_place(one.tip),
        )
        for one in raw or ()
    )


def _make_changes(changes: StoreChanges) -> Any:
    return WireChanges(
        changes.after,
        changes.revision,
        [_make_change(one) for one in changes.events],
        changes.is_whole or None,
    )


def _read_changes(raw: Any) -> StoreChanges:
    return StoreChanges(
        Revision(raw.after),
        Revision(raw.revision),
        tuple(
            WatchEvent(
                one.key,
                _unpack(one),
                Revision(one.revision),
                Revision(one.created),
            )
            for one in raw.changes
        ),
        bool(raw.is_whole),
    )


def _make_change(event: WatchEvent) -> Any:
    document, is_packed = pack(event.value)
    return WireChange(
        event.key,
        document,
        event.revision,
        event.created,
        is_packed or None,
    )


def _unpack(raw: Any) -> bytes | None:
    return unpack(
        raw.document,
        is_packed=bool(raw.is_packed),
        longest=LONGEST_FRAME,
    )
