"""Define a connection to a target that keeps a session's state."""

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
    """Tell whether a session is inside a transaction."""

    IDLE = 'idle'
    OPEN = 'open'
    # The transaction failed; ending it undoes it.
    FAILED = 'failed'


class RefusalKind(Enum):
    """Name a target's own refusals; the first group proves that none ran."""

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
        """Tell whether the statement surely had no effect."""
        return self not in _MAY_HAVE_RUN


_MAY_HAVE_RUN = frozenset(
    (RefusalKind.FAILED, RefusalKind.TIMED_OUT, RefusalKind.MALFORMED),
)


class TargetRefusal(Struct, frozen=True):
    """Hold why a target did not answer with success."""

    kind: RefusalKind
    reason: str


class TargetReply(Struct, frozen=True):
    """Hold a target's whole answer to one statement."""

    rows: tuple[str, ...]
    phase: SessionPhase
    # The end of the target's log; None where it shows none.
    point: Point | None
    signature: str = ''
    refusal: TargetRefusal | None = None


class LogRole(Enum):
    """Name the part that a target plays, as it says itself."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class LogStatus(Struct, frozen=True):
    """Hold what a target says of its log when asked."""

    role: LogRole
    # The term of its log's end.
    term: Term
    # The end of what it has received, applied or not.
    received: Point
    # A replica that is paused takes nothing of lower terms.
    held_term: Term


class TargetSession(ABC):
    """Run statements on one connection; one caller at a time.

    Each call may raise TargetGone (nothing was sent) or TargetLost (it was
    sent, and no whole answer came).
    """

    point: Point | None

    @abstractmethod
    async def run(
        self,
        statement: StatementId,
        text: str,
        after: Point | None = None,
    ) -> TargetReply:
        """Run a caller's own text under its id."""

    @abstractmethod
    async def execute(
        self,
        statement: StatementId,
        prepared: PreparedStatement,
        arguments: str,
        after: Point | None = None,
    ) -> TargetReply:
        """Run what was prepared on this connection."""

    @abstractmethod
    async def prepare(self, prepared: PreparedStatement) -> TargetReply:
        """Prepare a statement under a name of this connection's own."""

    @abstractmethod
    async def set_value(self, name: str, value: str) -> TargetReply:
        """Set one session value."""

    @abstractmethod
    async def reset(self) -> TargetReply:
        """Drop all session values and prepared statements."""

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
        """Undo the open transaction."""

    @abstractmethod
    async def read_status(self) -> LogStatus | None:
        """Ask for the log's state; None when the target is too busy."""

    @abstractmethod
    async def pause_replication(self, term: Term) -> LogStatus | None:
        """Stop a replica from receiving, for a `term` above the newest."""

    @abstractmethod
    async def resume_replication(self) -> LogStatus | None:
        """Let a paused replica receive again."""

    @abstractmethod
    async def demote(self, term: Term) -> LogStatus | None:
        """Make a primary of a lower term a replica."""

    @abstractmethod
    async def close(self) -> None:
        """Drop the connection at once; closing twice does no harm."""


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
        """Open a session in a customer's name.

        Raise TargetUnreachable or TargetBusy.
        """
