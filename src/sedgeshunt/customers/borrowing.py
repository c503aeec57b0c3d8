"""Fill a part of a limit that has run dry with what other parts have left."""

from asyncio import Task, create_task, shield
from functools import partial

from sedgeshunt.clocks import read_clock
from sedgeshunt.customers.bucket import TokenBucket
from sedgeshunt.customers.counting import CounterLinks, CounterPlan, Spend
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
        links: CounterLinks,
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
        plan: CounterPlan,
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
        plan: CounterPlan,
    ) -> Seconds:
        spend = _make_spend(customer, bucket)
        wait = bucket.find_wait(read_clock())
        for counter in (*plan.near, *plan.far):
            if counter == self._own:
                continue
            spent = await self._links.ask(counter, spend, self._limit)
            if spent is None or spent.is_elsewhere:
                continue
            if spent.granted:
                bucket.add(spent.granted, read_clock())
                return Seconds(0)
            wait = min(wait, spent.wait)
        self._dry_until[customer] = Monotonic(read_clock() + DRY_TIME)
        return wait


def _make_spend(customer: CustomerId, bucket: TokenBucket) -> Spend:
    room = bucket.find_room(read_clock())
    wanted = min(room, int(bucket.rate * BORROWED_TIME))
    return Spend(customer, max(1, wanted), is_borrowed=True)
