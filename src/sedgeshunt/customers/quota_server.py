"""Count what customers begin against this proxy's part of their limits."""

from sedgeshunt.clocks import read_boottime, read_clock
from sedgeshunt.customers.borrowing import Borrower
from sedgeshunt.customers.bucket import TokenBucket
from sedgeshunt.customers.directory import CustomerLimit
from sedgeshunt.customers.part_assignment import HeldParts
from sedgeshunt.customers.quotas import (
    QuotaGrant,
    QuotaLinks,
    QuotaRequest,
)
from sedgeshunt.identifiers import CustomerId, Monotonic, ProxyId, Seconds

# A part holds at least one operation, or customers of few would never begin.
SMALLEST_PART = 1
# Share of the operations over a limit that are allowed, which the parts hold
# together so that none of them is soon dry; the rest is for changes of who
# counts.
SHARE_FOR_PARTS = 0.5


class QuotaServer:
    """Keep this proxy's part of each customer's limit."""

    # The parts of all counters sum up to the limit, and a part is spent by its
    # counter alone; so the limit holds however the network falls apart, and no
    # two have to agree. What a part has is in customers/part_assignment.py.

    def __init__(
        self,
        own: ProxyId,
        links: QuotaLinks,
        held: HeldParts,
        borrow_limit: Seconds,
        slack: float = 0,
    ) -> None:
        """Count for nobody yet; wait `borrow_limit` for what others lend.

        All proxies together may let `slack` operations more begin than a limit
        allows.
        """
        self._own = own
        self._links = links
        self._held = held
        self._borrower = Borrower(own, links, borrow_limit)
        self._slack = slack * SHARE_FOR_PARTS
        self._serving_since = Monotonic(0)
        self._is_serving = False
        self._buckets: dict[CustomerId, TokenBucket] = {}

    async def grant(
        self,
        request: QuotaRequest,
        limit: CustomerLimit | None,
    ) -> QuotaGrant:
        """Grant operations of a customer that may ask as much as `limit`."""
        if limit is None:
            return QuotaGrant(request.wanted)
        plan = self._links.plan()
        part = self.refresh_parts() / plan.fleet
        if not part:
            return QuotaGrant(0, is_elsewhere=True)
        bucket = self._find_bucket(request.customer, limit, part)
        if request.is_borrowed:
            return _lend(bucket, request)
        granted = bucket.take(request.wanted, read_clock())
        if granted:
            return QuotaGrant(granted)
        wait = await self._borrower.fill(request.customer, bucket, plan)
        granted = bucket.take(request.wanted, read_clock())
        return QuotaGrant(granted, Seconds(0) if granted else wait)

    def refresh_parts(self) -> int:
        """Begin or end counting as parts come and go; count them."""
        if self._links.keeps_own_part():
            self._held.hold(self._own, read_boottime())
        count = self._held.count()
        if count and not self._is_serving:
            # Whoever counted before may have spent all of this part: a full
            # bucket would let the same customer begin as much once more.
            self._buckets.clear()
            self._serving_since = read_clock()
        self._is_serving = count > 0
        return count

    def _find_bucket(
        self,
        customer: CustomerId,
        limit: CustomerLimit,
        part: float,
    ) -> TokenBucket:
        rate = limit.per_second * part
        spare = max(SMALLEST_PART, self._slack * part)
        bucket = self._buckets.get(customer)
        if bucket is None:
            # As it would be now, had it been there since this proxy counts.
            bucket = TokenBucket(rate, spare, self._serving_since)
            self._buckets[customer] = bucket
        bucket.resize(rate, limit.burst * part + spare, read_clock())
        return bucket


def _lend(bucket: TokenBucket, request: QuotaRequest) -> QuotaGrant:
    now = read_clock()
    return QuotaGrant(bucket.lend(request.wanted, now), bucket.find_wait(now))
