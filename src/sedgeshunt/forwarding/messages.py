"""Define the messages between proxies."""

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
from sedgeshunt.statements.waits import Waits


class OwnedGroup(Struct, frozen=True):
    """Hold a group that the sender owns and its primary's log end."""

    group: GroupId
    token: OwnerToken
    tip: Point | None


class ReachRequest(Struct, frozen=True):
    """Ask whether the receiver reaches a target that is a primary."""

    group: GroupId
    target: TargetId


class LeaseRenewal(Struct, frozen=True):
    """Ask the receiver to renew a lease in the store."""

    lease: int
    # Lease ids are unique within one era of the store only.
    era: Era


class Heartbeat(Struct, frozen=True):
    """Hold one heartbeat."""

    # The sending instance; None after the first heartbeat of a connection.
    sender: InstanceEntry | None
    # Time for which the sender won't claim the receiver's groups; 0: it may.
    promised: Seconds
    # The receiver's clock from its last reply; 0 before the first.
    echo: Boottime
    # The operator's version of the sender's configuration; None if unchanged
    # since the previous heartbeat.
    version: int | None
    # The newest revision of the store that the sender knows; None if unchanged.
    store_revision: Revision | None = Revision(0)
    # Whether the receiver is to hold the sender's part of customers' limits.
    gives_part: bool = False
    # Whether the sender takes replies without unchanged fields.
    keeps_unchanged: bool = False


class HeartbeatReply(Struct, frozen=True):
    """Hold the reply to a heartbeat."""

    # The replying instance's clock.
    stamp: Boottime
    # None if unchanged since the previous reply.
    owned: tuple[OwnedGroup, ...] | None
    is_stopping: bool
    # Groups whose live owner the sender can relay calls to; None if unchanged
    # since the previous reply.
    relayed: tuple[OwnedGroup, ...] | None = ()
    # None if unchanged since the previous reply.
    store_revision: Revision | None = Revision(0)
    # Whether the store answers the sender.
    reaches_store: bool = False
    # Groups that the sender owned by a claim and has released, with the claim.
    released: tuple[tuple[GroupId, int], ...] = ()
    # The configuration, if the receiver's is older.
    document: bytes | None = None
    # Whether the sender takes heartbeats without unchanged fields.
    keeps_unchanged: bool = False


class Frame(Struct, frozen=True):
    """Hold one message; a reply has the number of its request."""

    number: int
    call: StatementCall | None = None
    reply: Result[Answer, Refusal] | None = None
    tip: Point | None = None
    beat: Heartbeat | None = None
    beat_reply: HeartbeatReply | None = None
    is_cancelled: bool = False
    # Transaction to roll back, as its caller abandoned it.
    undone: TransactionId | None = None
    reach: ReachRequest | None = None
    # Lease that the receiver is to renew in the store.
    kept_lease: LeaseRenewal | None = None
    # The answer to a reach request or a lease renewal.
    is_reached: bool | None = None
    # Revision after which the receiver is to send the store's changes.
    followed_from: Revision | None = None
    # These changes, with the number of the frame that asked for them.
    changes: StoreChanges | None = None
    # A quota request for a customer, and the grant that answers it.
    spend: QuotaRequest | None = None
    spent: QuotaGrant | None = None
    # How long the reply's call waited at the sender, by cause.
    waits: Waits = {}
    # The sender runs no more calls on this connection: those without an answer
    # have not run.
    is_final: bool = False
