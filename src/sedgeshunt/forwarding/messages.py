"""Describe what proxies say to each other."""

from msgspec import Struct
from result import Result

from sedgeshunt.customers.quotas import QuotaGrant, QuotaRequest
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    Boottime,
    Era,
    GroupId,
    OwnerToken,
    Revision,
    Seconds,
    TargetId,
    TransactionId,
)
from sedgeshunt.registry.changes import StoreChanges
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.statements.call import StatementCall


class OwnedGroup(Struct, frozen=True):
    """Name a group that the sender owns and its primary's log end."""

    group: GroupId
    token: OwnerToken
    tip: Point | None


class ReachRequest(Struct, frozen=True):
    """Ask whether the receiver reaches a target that leads."""

    group: GroupId
    target: TargetId


class LeaseRenewal(Struct, frozen=True):
    """Name a lease that the receiver is to renew in the store."""

    lease: int
    # The same id is another lease in another era of the store.
    era: Era


class Heartbeat(Struct, frozen=True):
    """Hold one heartbeat."""

    # Who sends it and how it is reached; None after a connection's first.
    sender: InstanceEntry | None
    # For so long the sender won't claim a group of the receiver; 0: it may.
    promised: Seconds
    # The receiver's clock as it stood in its last reply; 0 before the first.
    echo: Boottime
    # The operator's version of the configuration that the sender has.
    version: int
    # How far the sender has followed the store.
    store_revision: Revision = Revision(0)
    # The receiver counts the sender's part of customers' limits.
    gives_part: bool = False


class HeartbeatReply(Struct, frozen=True):
    """Hold the answer to a heartbeat."""

    # The replying instance's clock.
    stamp: Boottime
    owned: tuple[OwnedGroup, ...]
    is_stopping: bool
    # Groups whose owner the sender hears, and can pass calls on to; None
    # when these have not changed.
    relayed: tuple[OwnedGroup, ...] | None = ()
    store_revision: Revision = Revision(0)
    # The store answers the sender.
    reaches_store: bool = False
    # Groups that the sender owned by a claim, and does not own any more.
    released: tuple[tuple[GroupId, int], ...] = ()
    # The configuration, when the asker's is older.
    document: bytes | None = None


class Frame(Struct, frozen=True):
    """Hold one message; the number ties a reply to what it answers."""

    number: int
    call: StatementCall | None = None
    reply: Result[Answer, Refusal] | None = None
    tip: Point | None = None
    beat: Heartbeat | None = None
    beat_reply: HeartbeatReply | None = None
    is_cancelled: bool = False
    # The caller has given this transaction up.
    undone: TransactionId | None = None
    reach: ReachRequest | None = None
    # Have the receiver renew this lease in the store.
    kept_lease: LeaseRenewal | None = None
    # The answer to both.
    is_reached: bool | None = None
    # Have the receiver hand on what the store changes after this.
    followed_from: Revision | None = None
    # What it hands on, under the number of that frame.
    changes: StoreChanges | None = None
    # Operations that a customer wants to begin, and the answer to it.
    spend: QuotaRequest | None = None
    spent: QuotaGrant | None = None
