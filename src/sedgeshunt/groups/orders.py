"""Define promotions that are ordered from the platform."""

from abc import ABC, abstractmethod
from enum import Enum

from msgspec import Struct

from sedgeshunt.identifiers import (
    GroupId,
    OwnerToken,
    ProxyId,
    Seconds,
    TargetId,
)


class PromotionAnswer(Enum):
    """Outcome of a promotion order."""

    ACCEPTED = 'accepted'
    # The target to promote is down.
    TARGET_DOWN = 'target-down'
    # Rejected or not sent; the order has no effect.
    NOT_TAKEN = 'not-taken'
    # Sent without an answer that says what was done; the order may still take
    # effect, even seconds later.
    UNANSWERED = 'unanswered'


class PromotionOrder(Struct, frozen=True):
    """The target to promote, and the lease holder that orders it."""

    group: GroupId
    target: TargetId
    holder: ProxyId
    token: OwnerToken


class PromotionService(ABC):
    """Platform service that promotes a target to its group's primary."""

    @abstractmethod
    async def order(
        self,
        order: PromotionOrder,
        limit: Seconds,
    ) -> PromotionAnswer:
        """Send an order and return its outcome within `limit` seconds."""

    def describe_reply(self, group: GroupId) -> str:
        """Return what was received to the latest order of a group."""
        return ''
