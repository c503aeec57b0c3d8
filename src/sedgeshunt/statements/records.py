"""Record the outcomes of statements."""

from abc import ABC, abstractmethod

from msgspec import Struct

from sedgeshunt.customers.directory import Identity
from sedgeshunt.identifiers import (
    GroupId,
    Seconds,
    StatementId,
    TargetId,
    TrafficClass,
    TransactionId,
)
from sedgeshunt.requests.outcome import Refusal
from sedgeshunt.statements.waits import Waits


class StatementRecord(Struct, frozen=True):
    """Hold the outcome of one statement and what determined it."""

    statement: StatementId
    database: TrafficClass
    group: GroupId
    kind: str
    # None if the statement was answered.
    refusal: Refusal | None
    spent: Seconds
    objective: Seconds
    # The version of the declarations, and the site that the call was sent to.
    version: int
    site: str
    target: TargetId | None = None
    transaction: TransactionId | None = None
    identity: Identity = Identity()
    # How long the statement waited, by cause.
    waits: Waits = {}


class StatementRecorder(ABC):
    """Record statements; implementations must not block or raise."""

    @abstractmethod
    def record(self, record: StatementRecord) -> None:
        """Record the outcome of one statement."""


class NullRecorder(StatementRecorder):
    """Discard all records."""

    def record(self, record: StatementRecord) -> None:
        """Discard one record."""
