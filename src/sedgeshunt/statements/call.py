"""Describe a call: one statement that a proxy runs, here or at a peer."""

from collections.abc import Mapping
from enum import Enum

from msgspec import Struct, field

from sedgeshunt.customers.directory import Identity
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    GroupId,
    Seconds,
    StatementId,
    TrafficClass,
    TransactionId,
)
from sedgeshunt.requests.outcome import Cause, NotRun, Refusal, Unknown
from sedgeshunt.statements.statement import PreparedStatement

RETRY_DELAY = Seconds(0.1)
STOPPING_REASON = 'the proxy that runs it is shutting down'


class Access(Enum):
    """Name the targets that may run a call."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class CallKind(Enum):
    """Name what a call does at its target."""

    READ = 'read'
    WRITE = 'write'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


class StatementCall(Struct, frozen=True):
    """Hold one statement and all that is needed to run it at any proxy."""

    group: GroupId
    access: Access
    kind: CallKind
    statement: StatementId
    text: str
    traffic_class: TrafficClass
    # Time until the caller's deadline.
    time_left: Seconds
    # Time until the route's objective is missed; may be negative.
    objective_left: Seconds
    # 0 is the highest priority.
    priority: int = 0
    transaction: TransactionId | None = None
    # The first statement of a transaction, which opens it at the target.
    begins: bool = False
    is_read_only: bool = False
    # Session values that must be set when the statement runs.
    session_values: Mapping[str, str] = field(default_factory=dict)
    prepared: PreparedStatement | None = None
    # For an EXECUTE: the text after the prepared name.
    arguments: str = ''
    # The session's last commit, which a replica must have applied.
    after: Point | None = None
    # Staleness bound for reads at replicas.
    max_age: Seconds = Seconds(0)
    # A peer relayed the call to the owner; it must not be relayed again.
    is_relayed: bool = False
    # The call is refused at once instead of queued, as it may find a free slot
    # elsewhere.
    is_prompt: bool = False
    # The customer on whose behalf the call is made.
    identity: Identity = Identity()

    @property
    def is_irreversible(self) -> bool:
        """Return whether the call, once sent, cannot be undone.

        Other statements of a transaction are rolled back with it, and reads
        have no effect.
        """
        if self.kind is CallKind.COMMIT:
            return True
        return self.kind is CallKind.WRITE and self.transaction is None


def refuse_unanswered(call: StatementCall, cause: Cause, text: str) -> Refusal:
    """Return the outcome of a call that may have run without an answer."""
    if call.transaction is not None and call.kind is not CallKind.COMMIT:
        # Without a COMMIT, the target keeps nothing of the transaction, which
        # is rolled back at the latest when its connection closes.
        return NotRun(Cause.TRANSACTION_LOST, text, RETRY_DELAY)
    if call.kind is CallKind.READ:
        return NotRun(cause, text, RETRY_DELAY)
    return Unknown(cause, text)


def refuse_unstarted(call: StatementCall, text: str) -> NotRun:
    """Return the outcome of a call that a stopping proxy did not start."""
    is_begun = call.transaction is not None and not call.begins
    cause = Cause.TRANSACTION_LOST if is_begun else Cause.CONNECTION_LOST
    return NotRun(cause, text, RETRY_DELAY)
