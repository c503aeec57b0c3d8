"""Define the outcomes of a request: done, not run, unknown, rejected."""

from collections.abc import Sequence
from enum import Enum

from msgspec import Struct, field

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Seconds, TargetId


class Column(Struct, frozen=True):
    """Hold the name and wire type of one result column."""

    name: str
    type_code: int


class Answer(Struct, frozen=True):
    """Hold the complete result of one statement."""

    columns: Sequence[Column] = ()
    rows: Sequence[Sequence[object]] = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    # Log position of the commit; None for a read.
    point: Point | None = None
    served_by: TargetId | None = None
    # The signed session token, set after a write or a commit.
    token: str | None = None
    # The target's signature over its result, empty if it does not sign.
    signature: str = ''


class Cause(Enum):
    """Enumerate why a request failed, as shown in metrics and logs."""

    ATTRIBUTE = 'attribute'
    TOKEN = 'token'
    NO_GROUP = 'no-group'
    NO_PRIMARY = 'no-primary'
    NO_TARGET = 'no-target'
    TOO_STALE = 'too-stale'
    OVERLOAD = 'overload'
    DEADLINE = 'deadline'
    STOPPING = 'stopping'
    SUPERSEDED = 'superseded'
    NOT_DURABLE = 'not-durable'
    CONNECTION_LOST = 'connection-lost'
    STATEMENT = 'statement'
    TRANSACTION_LOST = 'transaction-lost'
    INVARIANT = 'invariant'
    CUSTOMER_LIMIT = 'customer-limit'


class NotRun(Struct, frozen=True):
    """Report that a request certainly did not run and when to retry."""

    cause: Cause
    reason: str
    retry_after: Seconds = field(default=Seconds(0.1))
    # The target that it was routed to, for reports.
    target: TargetId | None = None

    def describe(self) -> str:
        """Return the message for the caller, with the advised next step."""
        wait = int(self.retry_after * 1000)
        return f'not run: {self.reason}; come back in {wait} ms'


class Unknown(Struct, frozen=True):
    """Report that a request was sent and may or may not have run."""

    cause: Cause
    reason: str
    # The target that it was sent to, for reports.
    target: TargetId | None = None

    def describe(self) -> str:
        """Return the message for the caller, with the advised next step."""
        return (
            f'outcome unknown: {self.reason}; '
            + 'check with a read before asking again, or ask again with '
            + 'the same request id'
        )


class Rejected(Struct, frozen=True):
    """Report an error of the target: the statement failed without effect."""

    code: int
    sqlstate: str
    reason: str

    def describe(self) -> str:
        """Return the target's message unchanged."""
        return self.reason


Refusal = NotRun | Unknown | Rejected
