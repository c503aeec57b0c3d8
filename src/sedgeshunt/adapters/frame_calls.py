"""Turn calls, replies and counts between proxies into frames and back."""

from typing import Any

from result import Err, Ok, Result

from sedgeshunt.adapters.forwarding_frames import (
    WireCall,
    WirePrepared,
    WireReply,
    WireSpend,
    WireSpent,
)
from sedgeshunt.adapters.frame_values import (
    MILLISECONDS,
    count_ms,
    make_place,
    read_ms,
    read_place,
)
from sedgeshunt.customers.directory import Identity
from sedgeshunt.customers.quotas import QuotaGrant, QuotaRequest
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    CustomerId,
    GroupId,
    KeyDigest,
    StatementId,
    TargetId,
    TrafficClass,
    TransactionId,
)
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
from sedgeshunt.statements.waits import WaitCause, Waits

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
_WAIT_CAUSES = (
    WaitCause.OWNER,
    WaitCause.CONNECTION,
    WaitCause.QUEUE,
    WaitCause.TARGET,
    WaitCause.PEER,
)


def make_call(call: StatementCall) -> Any:
    """Return a call as frames have it."""
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
        time_left_ms=count_ms(call.time_left),
        aim_left_ms=count_ms(call.objective_left),
        priority=call.priority,
        transaction=call.transaction,
        begins=call.begins or None,
        is_read_only=call.is_read_only or None,
        session_values=dict(call.session_values) or None,
        prepared=_make_prepared(prepared),
        arguments=call.arguments if is_prepared else None,
        after=make_place(call.after),
        max_age_ms=count_ms(call.max_age) or None,
        is_relayed=call.is_relayed or None,
        is_prompt=call.is_prompt or None,
        customer=call.identity.customer or None,
        key_digest=call.identity.key or None,
        version=call.identity.version or None,
    )


def read_call(raw: Any) -> StatementCall:
    """Return the call of a frame."""
    return StatementCall(
        GroupId(raw.group),
        _ACCESSES[raw.access],
        _KINDS[raw.kind],
        StatementId(raw.statement),
        raw.text or '',
        TrafficClass(raw.traffic_class),
        read_ms(raw.time_left_ms),
        read_ms(raw.aim_left_ms),
        raw.priority,
        None if raw.transaction is None else TransactionId(raw.transaction),
        bool(raw.begins),
        bool(raw.is_read_only),
        raw.session_values or {},
        _read_prepared(raw.prepared),
        raw.arguments or '',
        read_place(raw.after),
        read_ms(raw.max_age_ms),
        bool(raw.is_relayed),
        bool(raw.is_prompt),
        Identity(
            CustomerId(raw.customer or ''),
            KeyDigest(raw.key_digest or ''),
            raw.version or 0,
        ),
    )


def _make_prepared(prepared: PreparedStatement | None) -> Any:
    if prepared is None:
        return None
    return WirePrepared(prepared.writes, prepared.shape)


def _read_prepared(raw: Any) -> PreparedStatement | None:
    if raw is None:
        return None
    return PreparedStatement(bool(raw.writes), raw.shape)


def make_reply(
    outcome: Result[Answer, Refusal],
    tip: Point | None,
    waits: Waits,
) -> Any:
    """Return a reply as frames have it."""
    if isinstance(outcome, Ok):
        answer = outcome.ok_value
        # An owner's answer mostly shows the log's end already.
        is_tip = tip is not None and tip == answer.point
        return WireReply(
            outcome=DONE,
            rows=[str(row[0]) for row in answer.rows] or None,
            point=make_place(answer.point),
            signature=answer.signature or None,
            served_by=answer.served_by,
            tip=None if is_tip else make_place(tip),
            is_tip=is_tip or None,
            waits=_make_waits(waits),
        )
    refusal = outcome.err_value
    if isinstance(refusal, Rejected):
        return WireReply(
            outcome=REJECTED,
            cause=refusal.sqlstate,
            reason=refusal.reason,
            tip=make_place(tip),
            waits=_make_waits(waits),
        )
    is_not_run = isinstance(refusal, NotRun)
    return WireReply(
        outcome=NOT_RUN if is_not_run else UNKNOWN,
        cause=refusal.cause.value,
        reason=refusal.reason,
        served_by=refusal.target,
        retry_after_ms=(
            count_ms(refusal.retry_after)
            if isinstance(refusal, NotRun)
            else None
        ),
        tip=make_place(tip),
        waits=_make_waits(waits),
    )


def read_reply(raw: Any) -> Result[Answer, Refusal]:
    """Return the reply of a frame."""
    target = TargetId(raw.served_by) if raw.served_by else None
    if raw.outcome == DONE:
        return Ok(
            Answer(
                rows=[(row,) for row in raw.rows or ()],
                point=read_place(raw.point),
                served_by=target,
                signature=raw.signature or '',
            ),
        )
    if raw.outcome == REJECTED:
        return Err(Rejected(0, raw.cause, raw.reason))
    cause = Cause(raw.cause)
    if raw.outcome == NOT_RUN:
        retry_after = read_ms(raw.retry_after_ms)
        return Err(NotRun(cause, raw.reason, retry_after, target))
    return Err(Unknown(cause, raw.reason, target))


def read_tip(raw: Any) -> Point | None:
    """Return the log end that a reply brings."""
    return read_place(raw.point if raw.is_tip else raw.tip)


def read_waits(raw: Any) -> Waits:
    """Return the waits that a reply reports."""
    # A newer build may know further causes; their time stays with the peer.
    return {
        _WAIT_CAUSES[number]: read_ms(spent)
        for number, spent in (raw.waits or {}).items()
        if 0 <= number < len(_WAIT_CAUSES)
    }


def _make_waits(waits: Waits) -> Any:
    spent = (
        (_WAIT_CAUSES.index(cause), int(wait * MILLISECONDS))
        for cause, wait in waits.items()
    )
    return {number: wait for number, wait in spent if wait} or None


def make_spend(spend: QuotaRequest) -> Any:
    """Return a question for room as frames have it."""
    return WireSpend(spend.customer, spend.wanted, spend.is_borrowed or None)


def read_spend(raw: Any) -> QuotaRequest:
    """Return the question for room of a frame."""
    return QuotaRequest(
        CustomerId(raw.customer),
        raw.wanted,
        bool(raw.is_borrowed),
    )


def make_spent(spent: QuotaGrant) -> Any:
    """Return an answer on room as frames have it."""
    return WireSpent(
        spent.granted,
        count_ms(spent.wait),
        spent.is_elsewhere or None,
    )


def read_spent(raw: Any) -> QuotaGrant:
    """Return the answer on room of a frame."""
    return QuotaGrant(raw.granted, read_ms(raw.wait_ms), bool(raw.is_elsewhere))
