"""Record what a proxy decides and for which reasons."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Mapping
from enum import Enum

from msgspec import Struct, field

from sedgeshunt.identifiers import GroupId, TargetId

MEMORY_LIMIT = 1000


class DecisionKind(Enum):
    """Name the decisions that operators can look up."""

    PROMOTED = 'promoted'
    FENCED = 'fenced'
    PROMOTION_DEFERRED = 'promotion-deferred'
    REPAIRED = 'repaired'
    EJECTED = 'ejected'
    READMITTED = 'readmitted'
    DRAINING = 'draining'
    WRITES_REFUSED = 'writes-refused'
    ZONE_CUT = 'zone-cut'
    ZONE_REJOINED = 'zone-rejoined'
    CONFIGURATION_APPLIED = 'configuration-applied'
    CONFIGURATION_REFUSED = 'configuration-refused'
    ENTRY_FAILED = 'entry-failed'
    SEAT_TAKEN = 'seat-taken'
    SEAT_LOST = 'seat-lost'
    PAUSED = 'paused'
    INVARIANT_BROKEN = 'invariant-broken'
    STORE_LOST = 'store-lost'
    STORE_REGAINED = 'store-regained'
    STORE_RETURNED = 'store-returned'
    LEASE_LOST = 'lease-lost'
    LEASE_ENDED = 'lease-ended'
    GROUP_CLAIMED = 'group-claimed'
    GROUP_CLAIMED_AGAIN = 'group-claimed-again'
    GROUP_RELEASED = 'group-released'
    GROUP_LOST = 'group-lost'
    GROUP_HELD = 'group-held'
    GROUP_NOT_HELD = 'group-not-held'
    GROUP_KEY_LOST = 'group-key-lost'
    PRIMARY_FOUND = 'primary-found'
    PRIMARY_SUSPECTED = 'primary-suspected'
    PRIMARY_SUSPENDED = 'primary-suspended'
    PRIMARY_REPLACED = 'primary-replaced'
    PROMOTION_ORDERED = 'promotion-ordered'
    PROMOTION_WITHHELD = 'promotion-withheld'
    PROMOTION_NOT_SEEN = 'promotion-not-seen'
    INTENT_RECORDED = 'intent-recorded'
    INTENT_FOUND = 'intent-found'
    INTENT_CLEARED = 'intent-cleared'
    PEER_LOST = 'peer-lost'
    PEER_REGAINED = 'peer-regained'
    PEER_REFUSED = 'peer-refused'
    SESSION_CUT = 'session-cut'
    CALL_CUT = 'call-cut'
    ANSWER_VOIDED = 'answer-voided'
    PRIMARY_STATEMENT = 'primary-statement'


class Decision(Struct, frozen=True):
    """Hold one decision, what it concerns and its reasons."""

    kind: DecisionKind
    group: GroupId | None = None
    target: TargetId | None = None
    reasons: Mapping[str, str] = field(default_factory=dict)


class DecisionLog(ABC):
    """Take decisions down where people can find them."""

    @abstractmethod
    def record(self, decision: Decision) -> None:
        """Take one decision down; never fail and never wait."""


class MemoryDecisionLog(DecisionLog):
    """Keep the latest decisions in memory."""

    def __init__(self, limit: int = MEMORY_LIMIT) -> None:
        """Keep at most `limit` decisions."""
        self._decisions: deque[Decision] = deque(maxlen=limit)

    def record(self, decision: Decision) -> None:
        """Keep the decision, dropping the oldest when full."""
        self._decisions.append(decision)

    def list_decisions(
        self,
        kind: DecisionKind | None = None,
    ) -> list[Decision]:
        """List the kept decisions, oldest first, of one kind if given."""
        return [
            decision
            for decision in self._decisions
            if kind is None or decision.kind is kind
        ]
