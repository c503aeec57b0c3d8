"""Define the quota requests between proxies for customers' limits."""

from abc import ABC, abstractmethod

from msgspec import Struct

from sedgeshunt.identifiers import CustomerId, ProxyId, Seconds


class QuotaRequest(Struct, frozen=True):
    """Ask for a number of operations of a customer."""

    customer: CustomerId
    wanted: int = 1
    # Whether another quota server borrows for its own part of the limit.
    is_borrowed: bool = False


class QuotaGrant(Struct, frozen=True):
    """Hold how many operations may begin."""

    granted: int
    # Time until one more operation may begin.
    wait: Seconds = Seconds(0)
    # Whether the answering proxy is no quota server now.
    is_elsewhere: bool = False
    # The quota server that answered, set by the asking proxy.
    server: ProxyId = ProxyId('')


class QuotaServerPlan(Struct, frozen=True):
    """Hold the quota servers for the callers of one proxy."""

    # Those of the own availability zone, in the order of preference.
    near: tuple[ProxyId, ...]
    far: tuple[ProxyId, ...]
    # Number of proxies that the limits are divided among.
    fleet: int


class QuotaLinks(ABC):
    """Send requests to the quota servers."""

    @abstractmethod
    def plan(self) -> QuotaServerPlan:
        """Return the quota servers among the instances known now."""

    @abstractmethod
    def keeps_own_part(self) -> bool:
        """Assign the own part to this proxy if possible; return whether so."""

    @abstractmethod
    async def ask(
        self,
        server: ProxyId,
        request: QuotaRequest,
        limit: Seconds,
    ) -> QuotaGrant | None:
        """Ask a quota server; return None without an answer in `limit`."""
