"""Describe the work that one proxy does for a caller, here or at a peer."""

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
from sedgeshunt.statements.statement import PreparedStatement


class Access(Enum):
    """Tell which targets may do the work."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class CallKind(Enum):
    """Tell what a call does at its target."""

    READ = 'read'
    WRITE = 'write'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


class StatementCall(Struct, frozen=True):
    """Hold one statement with all that its target's proxy has to know."""

    group: GroupId
    access: Access
    kind: CallKind
    statement: StatementId
    text: str
    traffic_class: TrafficClass
    # Time until the caller's answer is worth nothing.
    time_left: Seconds
    # Time until the caller's objective is missed; may be negative.
    objective_left: Seconds
    # 0 is served first.
    priority: int = 0
    transaction: TransactionId | None = None
    # The transaction's first statement: its target begins it.
    begins: bool = False
    is_read_only: bool = False
    # Session values that the statement must find.
    session_values: Mapping[str, str] = field(default_factory=dict)
    prepared: PreparedStatement | None = None
    # For an execution: what follows the prepared name.
    arguments: str = ''
    # The session's last commit, which a replica must hold.
    after: Point | None = None
    # Oldest state that a replica may serve from.
    max_age: Seconds = Seconds(0)
    # A peer passes it on to the owner; nobody passes it on again.
    is_relayed: bool = False
    # Refuse it at once where it would have to queue: others may have room.
    is_prompt: bool = False
    # In whose name it is made.
    identity: Identity = Identity()

    @property
    def is_irreversible(self) -> bool:
        """Return whether the call, once sent, can't be taken back.

        Anything else in a transaction is undone with it, and reads are
        harmless.
        """
        if self.kind is CallKind.COMMIT:
            return True
        return self.kind is CallKind.WRITE and self.transaction is None
