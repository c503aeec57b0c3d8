"""Say how proxies ask each other to count what customers begin."""

from abc import ABC, abstractmethod

from msgspec import Struct

from sedgeshunt.identifiers import CustomerId, ProxyId, Seconds


class QuotaRequest(Struct, frozen=True):
    """Ask for room for operations of a customer."""

    customer: CustomerId
    wanted: int = 1
    # Another counter asks, for its own part of the limit.
    is_borrowed: bool = False


class QuotaGrant(Struct, frozen=True):
    """Tell how many operations may begin."""

    granted: int
    # Until there is room for one more.
    wait: Seconds = Seconds(0)
    # The answering proxy does not count for this customer.
    is_elsewhere: bool = False
    # Who has counted, as the asking proxy notes it.
    counter: ProxyId = ProxyId('')


class QuotaServerPlan(Struct, frozen=True):
    """Hold who counts for the callers of one proxy."""

    # Of the own availability zone, the one to ask first at the beginning.
    near: tuple[ProxyId, ...]
    far: tuple[ProxyId, ...]
    # Proxies among which limits are shared out.
    fleet: int


class QuotaLinks(ABC):
    """Reach the proxies that count."""

    @abstractmethod
    def plan(self) -> QuotaServerPlan:
        """Tell who counts, by the instances that are known now."""

    @abstractmethod
    def keeps_own_part(self) -> bool:
        """Return whether this proxy counts its own part of limits itself."""

    @abstractmethod
    async def ask(
        self,
        counter: ProxyId,
        request: QuotaRequest,
        limit: Seconds,
    ) -> QuotaGrant | None:
        """Ask a counter; None when it gives no answer within `limit`."""
