"""Refill an empty part of a limit with tokens borrowed from other parts."""

from asyncio import Task, create_task, gather, shield
from collections.abc import Sequence
from functools import partial

from sedgeshunt.clocks import read_clock
from sedgeshunt.customers.bucket import TokenBucket
from sedgeshunt.customers.quotas import (
    QuotaGrant,
    QuotaLinks,
    QuotaRequest,
    QuotaServerPlan,
)
from sedgeshunt.identifiers import CustomerId, Monotonic, ProxyId, Seconds

# Tokens requested at once, as the time in which the part itself gains as many.
BORROWED_TIME = Seconds(0.5)
# Pause before the next requests after no other server had tokens to lend.
RETRY_DELAY = Seconds(0.1)


class Borrower:
    """Borrow tokens from the other quota servers."""

    # A lender removes tokens from its own part before it sends them, so tokens
    # lost on the way are never spent and none is spent twice.

    def __init__(
        self,
        own: ProxyId,
        links: QuotaLinks,
        limit: Seconds,
    ) -> None:
        """Wait at most `limit` for each server's answer."""
        self._own = own
        self._links = links
        self._limit = limit
        self._asking: dict[CustomerId, Task[Seconds]] = {}
        # Time before which no other server is asked again.
        self._exhausted_until: dict[CustomerId, Monotonic] = {}

    async def fill(
        self,
        customer: CustomerId,
        bucket: TokenBucket,
        plan: QuotaServerPlan,
    ) -> Seconds:
        """Refill a customer's part; return the wait for the next operation."""
        now = read_clock()
        if now < self._exhausted_until.get(customer, now):
            return bucket.find_wait(now)
        # Concurrent calls share one request: a burst of one customer would
        # otherwise send requests to all servers for each of its calls.
        asking = self._asking.get(customer)
        if asking is None:
            asking = create_task(self._ask_others(customer, bucket, plan))
            self._asking[customer] = asking
            asking.add_done_callback(partial(self._forget, customer))
        return await shield(asking)

    def _forget(self, customer: CustomerId, asking: Task[Seconds]) -> None:
        self._asking.pop(customer, None)

    async def _ask_others(
        self,
        customer: CustomerId,
        bucket: TokenBucket,
        plan: QuotaServerPlan,
    ) -> Seconds:
        waits = [bucket.find_wait(read_clock())]
        # Servers of other zones are asked only if the own zone has none left.
        for servers in (plan.near, plan.far):
            answers = await self._ask_at_once(customer, bucket, servers)
            for grant in answers:
                bucket.add(grant.granted, read_clock())
                waits.append(grant.wait)
            if any(answer.granted for answer in answers):
                return Seconds(0)
        self._exhausted_until[customer] = Monotonic(read_clock() + RETRY_DELAY)
        return min(waits)

    async def _ask_at_once(
        self,
        customer: CustomerId,
        bucket: TokenBucket,
        servers: Sequence[ProxyId],
    ) -> list[QuotaGrant]:
        others = [name for name in servers if name != self._own]
        request = _make_request(customer, bucket, len(others))
        answers = await gather(
            *(self._links.ask(name, request, self._limit) for name in others),
        )
        return [
            grant
            for grant in answers
            if grant is not None and not grant.is_elsewhere
        ]


def _make_request(
    customer: CustomerId,
    bucket: TokenBucket,
    lenders: int,
) -> QuotaRequest:
    room = bucket.find_room(read_clock())
    wanted = min(room, int(bucket.rate * BORROWED_TIME))
    each = wanted // max(1, lenders)
    return QuotaRequest(customer, max(1, each), is_borrowed=True)
