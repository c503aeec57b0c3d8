"""Take down how statements ended, as many as a log can bear."""

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


class StatementRecord(Struct, frozen=True):
    """Hold what decided how one statement ended."""

    statement: StatementId
    database: TrafficClass
    group: GroupId
    kind: str
    # None for an answer.
    refusal: Refusal | None
    spent: Seconds
    objective: Seconds
    # What the proxy went by: the declarations, and where it sent the call.
    version: int
    site: str
    target: TargetId | None = None
    transaction: TransactionId | None = None
    identity: Identity = Identity()


class StatementRecorder(ABC):
    """Take down statements; no call may block or raise."""

    @abstractmethod
    def record(self, end: StatementRecord) -> None:
        """Take down how one statement ended."""


class NullRecorder(StatementRecorder):
    """Take nothing down."""

    def record(self, end: StatementRecord) -> None:
        """Drop it."""
