"""Name the outcomes that a caller can get: done, not run, unknown."""

from collections.abc import Sequence
from enum import Enum

from msgspec import Struct, field

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Seconds, TargetId


class Column(Struct, frozen=True):
    """Describe one column of an answer by its name and wire type."""

    name: str
    type_code: int


class Answer(Struct, frozen=True):
    """Hold the whole answer to one statement."""

    columns: Sequence[Column] = ()
    rows: Sequence[Sequence[object]] = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    # The end of the log after a commit; a read brings none.
    point: Point | None = None
    served_by: TargetId | None = None
    # The signed session token, set after a write or a commit.
    token: str | None = None
    # The target's own proof that it ran the statement, for those that sign.
    signature: str = ''


class Cause(Enum):
    """Name why a request got no answer, as metrics and logs show it."""

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
    """Refuse a request that truly did not run, and say when to return."""

    cause: Cause
    reason: str
    retry_after: Seconds = field(default=Seconds(0.1))
    # The target that it was meant for, for reports.
    target: TargetId | None = None

    def describe(self) -> str:
        """Tell the caller what happened and what to do next."""
        wait = int(self.retry_after * 1000)
        return f'not run: {self.reason}; come back in {wait} ms'


class Unknown(Struct, frozen=True):
    """Say that a request was sent and that no proof of its fate exists."""

    cause: Cause
    reason: str
    # The target that it was sent to, for reports.
    target: TargetId | None = None

    def describe(self) -> str:
        """Tell the caller what happened and what to do next."""
        return (
            f'outcome unknown: {self.reason}; '
            + 'check with a read before asking again, or ask again with '
            + 'the same request id'
        )


class Rejected(Struct, frozen=True):
    """Pass on a target's own error: the statement failed and left nothing."""

    code: int
    sqlstate: str
    reason: str

    def describe(self) -> str:
        """Repeat the target's message unchanged."""
        return self.reason


Refusal = NotRun | Unknown | Rejected
