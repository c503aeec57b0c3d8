"""Fill a part of a limit that has run dry with what other parts have left."""

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

# How much is asked for at once: what the part itself gains in so long.
BORROWED_TIME = Seconds(0.5)
# After all others had nothing to lend, they are asked again after so long.
DRY_TIME = Seconds(0.1)


class Borrower:
    """Ask the other counters for what they have left."""

    # Who lends has taken it out of its own part before it says so: what is lost
    # on the way is spent by nobody.

    def __init__(
        self,
        own: ProxyId,
        links: QuotaLinks,
        limit: Seconds,
    ) -> None:
        """Wait at most `limit` for each counter's answer."""
        self._own = own
        self._links = links
        self._limit = limit
        self._asking: dict[CustomerId, Task[Seconds]] = {}
        # Until when nobody has anything to lend.
        self._dry_until: dict[CustomerId, Monotonic] = {}

    async def fill(
        self,
        customer: CustomerId,
        bucket: TokenBucket,
        plan: QuotaServerPlan,
    ) -> Seconds:
        """Fill a customer's part; return the wait for the next operation."""
        now = read_clock()
        if now < self._dry_until.get(customer, now):
            return bucket.find_wait(now)
        # One asks for all: a storm of one customer would else ask all counters
        # for each of its calls.
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
        # Those of other zones only once the own one has nothing left.
        for counters in (plan.near, plan.far):
            answers = await self._ask_at_once(customer, bucket, counters)
            for grant in answers:
                bucket.add(grant.granted, read_clock())
                waits.append(grant.wait)
            if any(answer.granted for answer in answers):
                return Seconds(0)
        self._dry_until[customer] = Monotonic(read_clock() + DRY_TIME)
        return min(waits)

    async def _ask_at_once(
        self,
        customer: CustomerId,
        bucket: TokenBucket,
        counters: Sequence[ProxyId],
    ) -> list[QuotaGrant]:
        others = [name for name in counters if name != self._own]
        request = _make_spend(customer, bucket, len(others))
        answers = await gather(
            *(self._links.ask(name, request, self._limit) for name in others),
        )
        return [
            grant
            for grant in answers
            if grant is not None and not grant.is_elsewhere
        ]


def _make_spend(
    customer: CustomerId,
    bucket: TokenBucket,
    lenders: int,
) -> QuotaRequest:
    room = bucket.find_room(read_clock())
    wanted = min(room, int(bucket.rate * BORROWED_TIME))
    each = wanted // max(1, lenders)
    return QuotaRequest(customer, max(1, each), is_borrowed=True)
