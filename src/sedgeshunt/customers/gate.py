"""Admit customers' operations up to their limits."""

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

# A quota server answers within one round trip and the time of its own work;
# after this long without an answer, the next one is asked.
REQUEST_TIMEOUT = Seconds(0.1)
# Longest time for which a refused customer is refused without asking a quota
# server: tokens may become available there in the meantime.
MAX_REFUSAL_TIME = Seconds(0.2)
MIN_RETRY_DELAY = Seconds(0.02)
NO_SERVER_RETRY_DELAY = Seconds(0.5)

FindLimit = Callable[[CustomerId], CustomerLimit | None]


class CustomerGate(ABC):
    """Decide whether a customer's next operation may begin."""

    @abstractmethod
    async def admit(self, identity: Identity) -> NotRun | None:
        """Count one operation; return why it may not begin."""


class QuotaGate(CustomerGate):
    """Ask the quota servers whether an operation may begin."""

    def __init__(
        self,
        own: ProxyId,
        links: QuotaLinks,
        quota_server: QuotaServer,
        find_limit: FindLimit,
    ) -> None:
        """Use `quota_server` directly where this proxy is asked itself."""
        self._own = own
        self._links = links
        self._quota_server = quota_server
        self._find_limit = find_limit
        # Customers refused without asking a quota server, and until when.
        self._refused_until: dict[CustomerId, Monotonic] = {}

    async def admit(self, identity: Identity) -> NotRun | None:
        """Count one operation; return why it may not begin."""
        limit = self._find_limit(identity.customer)
        if limit is None:
            return None
        refusal_time = self._find_refusal_time(identity.customer)
        if refusal_time is not None:
            return _refuse(identity, limit, refusal_time, self._own)
        grant = await self._request_quota(
            QuotaRequest(identity.customer),
            limit,
        )
        if grant is None:
            return _refuse_unreachable(identity)
        if grant.granted:
            return None
        refusal_time = min(MAX_REFUSAL_TIME, grant.wait)
        self._refused_until[identity.customer] = Monotonic(
            read_clock() + refusal_time,
        )
        return _refuse(identity, limit, grant.wait, grant.server)

    async def answer(self, request: QuotaRequest) -> QuotaGrant:
        """Answer a quota request of another proxy."""
        return await self._quota_server.grant(
            request,
            self._find_limit(request.customer),
        )

    def _find_refusal_time(self, customer: CustomerId) -> Seconds | None:
        now = read_clock()
        until = self._refused_until.get(customer)
        if until is None or until <= now:
            self._refused_until.pop(customer, None)
            return None
        return Seconds(until - now)

    async def _request_quota(
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
                grant = await self._links.ask(name, request, REQUEST_TIMEOUT)
            if grant is not None and not grant.is_elsewhere:
                return replace(grant, server=name)
        return None


def _refuse(
    identity: Identity,
    limit: CustomerLimit,
    wait: Seconds,
    server: ProxyId,
) -> NotRun:
    return NotRun(
        Cause.CUSTOMER_LIMIT,
        f'customer {identity.customer} (key {identity.key}, version '
        + f'{identity.version}) has begun {limit.per_second:g} operations a '
        + f'second and its burst of {limit.burst:g}, by {server}',
        Seconds(max(MIN_RETRY_DELAY, wait)),
    )


def _refuse_unreachable(identity: Identity) -> NotRun:
    return NotRun(
        Cause.CUSTOMER_LIMIT,
        f'nobody who counts for customer {identity.customer} is reached',
        NO_SERVER_RETRY_DELAY,
    )
