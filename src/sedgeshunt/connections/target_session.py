"""Define the interface of sessions with targets."""

from abc import ABC, abstractmethod
from enum import Enum

from msgspec import Struct

from sedgeshunt.configuration.objects import Target
from sedgeshunt.customers.directory import ANONYMOUS
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    CustomerId,
    GroupId,
    Seconds,
    StatementId,
    Term,
)
from sedgeshunt.statements.statement import PreparedStatement


class SessionPhase(Enum):
    """Enumerate the transaction states of a session."""

    IDLE = 'idle'
    OPEN = 'open'
    # The transaction failed; ending it rolls it back.
    FAILED = 'failed'


class RefusalKind(Enum):
    """Enumerate refusals of a target; the first group proves no effect."""

    BUSY = 'busy'
    NO_STATEMENT = 'no-statement'
    BEHIND = 'behind'
    READ_ONLY = 'read-only'
    WRONG_TARGET = 'wrong-target'
    TOO_MANY = 'too-many'

    FAILED = 'failed'
    TIMED_OUT = 'timed-out'
    MALFORMED = 'malformed'

    @property
    def proves_not_run(self) -> bool:
        """Return whether the statement certainly had no effect."""
        return self not in _MAY_HAVE_RUN

    @property
    def keeps_session(self) -> bool:
        """Return whether the session is certainly as it was before."""
        return self in _SESSION_KEPT


_MAY_HAVE_RUN = frozenset(
    (RefusalKind.FAILED, RefusalKind.TIMED_OUT, RefusalKind.MALFORMED),
)


_SESSION_KEPT = frozenset(
    (
        RefusalKind.BUSY,
        RefusalKind.NO_STATEMENT,
        RefusalKind.BEHIND,
        RefusalKind.READ_ONLY,
    ),
)


class TargetRefusal(Struct, frozen=True):
    """Hold why a target refused or failed a statement."""

    kind: RefusalKind
    reason: str


class TargetReply(Struct, frozen=True):
    """Hold the complete answer of a target to one statement."""

    rows: tuple[str, ...]
    phase: SessionPhase
    # Log end of the target; None if the answer contains none.
    point: Point | None
    signature: str = ''
    refusal: TargetRefusal | None = None
    # The target has reported success or failure.
    has_result: bool = True

    @property
    def lacks_statement(self) -> bool:
        """Return whether the target knows no such prepared statement."""
        return (
            self.refusal is not None
            and self.refusal.kind is RefusalKind.NO_STATEMENT
        )


class LogRole(Enum):
    """Enumerate the replication roles that a target reports."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class LogStatus(Struct, frozen=True):
    """Hold the state of its log that a target reports."""

    role: LogRole
    # Term of its log end.
    term: Term
    # End of the received log, whether applied or not.
    received: Point
    # A paused replica accepts no records of lower terms.
    held_term: Term


class TargetSession(ABC):
    """Run statements on one connection, for one caller at a time.

    Each method may raise TargetGone (nothing was sent) or TargetLost (the
    request was sent, but no complete answer arrived). Those that send the words
    of callers may raise StatementUnsendable (nothing was sent).
    """

    point: Point | None

    @abstractmethod
    async def run(
        self,
        statement: StatementId,
        text: str,
        after: Point | None = None,
    ) -> TargetReply:
        """Run the text of a caller's statement under its statement id."""

    @abstractmethod
    async def execute(
        self,
        statement: StatementId,
        prepared: PreparedStatement,
        arguments: str,
        after: Point | None = None,
    ) -> TargetReply:
        """Run a statement that was prepared on this connection."""

    @abstractmethod
    async def prepare(self, prepared: PreparedStatement) -> TargetReply:
        """Prepare a statement under a name specific to this connection."""

    @abstractmethod
    async def set_value(self, name: str, value: str) -> TargetReply:
        """Set one session value."""

    @abstractmethod
    async def reset(self) -> TargetReply:
        """Clear all session values and prepared statements."""

    @abstractmethod
    async def begin(
        self,
        *,
        is_read_only: bool,
        after: Point | None = None,
    ) -> TargetReply:
        """Open a transaction."""

    @abstractmethod
    async def roll_back(self) -> TargetReply:
        """Roll back the open transaction."""

    @abstractmethod
    async def read_status(self) -> LogStatus | None:
        """Return the state of the log; None if the target is too busy."""

    @abstractmethod
    async def pause_replication(self, term: Term) -> LogStatus | None:
        """Stop a replica from receiving; `term` must exceed the newest one."""

    @abstractmethod
    async def resume_replication(self) -> LogStatus | None:
        """Let a paused replica receive the log again."""

    @abstractmethod
    async def demote(self, term: Term) -> LogStatus | None:
        """Demote a primary of a lower term to a replica."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection at once; closing again has no effect."""


class TargetSessionConnector(ABC):
    """Open sessions with targets."""

    @abstractmethod
    async def connect(
        self,
        target: Target,
        group: GroupId,
        limit: Seconds,
        customer: CustomerId = ANONYMOUS,
    ) -> TargetSession:
        """Open a session on behalf of a customer.

        Raise TargetUnreachable or TargetBusy.
        """
