"""Let a customer's operations begin as far as its limit goes."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from msgspec.structs import replace

from sedgeshunt.clocks import read_clock
from sedgeshunt.customers.directory import CustomerLimit, Identity
from sedgeshunt.customers.quota_server import QuotaServer
from sedgeshunt.customers.quotas import (
    QuotaGrant,
    QuotaLinks,
    QuotaRequest,
)
from sedgeshunt.identifiers import CustomerId, Monotonic, ProxyId, Seconds
from sedgeshunt.requests.outcome import Cause, NotRun

# A counter answers within two ways and its own work; one that is silent for so
# long is passed over.
ASK_LIMIT = Seconds(0.1)
# A customer that was refused is refused here for so long at the most before
# its counter is asked again: others may have left room for it.
LONGEST_REST = Seconds(0.2)
SHORTEST_RETRY = Seconds(0.02)
NO_COUNTER_RETRY = Seconds(0.5)

FindLimit = Callable[[CustomerId], CustomerLimit | None]


class CustomerGate(ABC):
    """Decide whether a customer's next operation may begin."""

    @abstractmethod
    async def admit(self, identity: Identity) -> NotRun | None:
        """Count one operation; return why it may not begin."""


class QuotaGate(CustomerGate):
    """Ask the proxies that count a customer's operations."""

    def __init__(
        self,
        own: ProxyId,
        links: QuotaLinks,
        quota_server: QuotaServer,
        find_limit: FindLimit,
    ) -> None:
        """Count here where this proxy is one of them."""
        self._own = own
        self._links = links
        self._quota_server = quota_server
        self._find_limit = find_limit
        # Customers that have no room, and until when.
        self._resting: dict[CustomerId, Monotonic] = {}

    async def admit(self, identity: Identity) -> NotRun | None:
        """Count one operation; return why it may not begin."""
        limit = self._find_limit(identity.customer)
        if limit is None:
            return None
        rest = self._find_rest(identity.customer)
        if rest is not None:
            return _refuse(identity, limit, rest, self._own)
        grant = await self._spend(QuotaRequest(identity.customer), limit)
        if grant is None:
            return _refuse_uncounted(identity)
        if grant.granted:
            return None
        rest = min(LONGEST_REST, grant.wait)
        self._resting[identity.customer] = Monotonic(read_clock() + rest)
        return _refuse(identity, limit, grant.wait, grant.counter)

    async def answer(self, request: QuotaRequest) -> QuotaGrant:
        """Answer another proxy's question."""
        return await self._quota_server.grant(
            request,
            self._find_limit(request.customer),
        )

    def _find_rest(self, customer: CustomerId) -> Seconds | None:
        now = read_clock()
        until = self._resting.get(customer)
        if until is None or until <= now:
            self._resting.pop(customer, None)
            return None
        return Seconds(until - now)

    async def _spend(
        self,
        request: QuotaRequest,
        limit: CustomerLimit,
    ) -> QuotaGrant | None:
        plan = self._links.plan()
        for name in (*plan.near, *plan.far):
            if name == self._own:
                grant: QuotaGrant | None = await self._quota_server.grant(
                    request,
                    limit,
                )
            else:
                grant = await self._links.ask(name, request, ASK_LIMIT)
            if grant is not None and not grant.is_elsewhere:
                return replace(grant, counter=name)
        return None


def _refuse(
    identity: Identity,
    limit: CustomerLimit,
    wait: Seconds,
    counter: ProxyId,
) -> NotRun:
    return NotRun(
        Cause.CUSTOMER_LIMIT,
        f'customer {identity.customer} (key {identity.key}, version '
        + f'{identity.version}) has begun {limit.per_second:g} operations a '
        + f'second and its burst of {limit.burst:g}, by {counter}',
        Seconds(max(SHORTEST_RETRY, wait)),
    )


def _refuse_uncounted(identity: Identity) -> NotRun:
    return NotRun(
        Cause.CUSTOMER_LIMIT,
        f'nobody who counts for customer {identity.customer} is reached',
        NO_COUNTER_RETRY,
    )
