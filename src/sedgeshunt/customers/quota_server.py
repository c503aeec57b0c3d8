"""Grant customers' operations from the parts of limits held here."""

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

# Least extra tokens of a part: with less than one token, a customer with a low
# limit could never begin an operation.
MIN_SPARE_TOKENS = 1
# Share of the allowed excess over a limit that the parts hold together, so that
# they don't run out soon; the rest covers changes of quota servers.
SLACK_FOR_PARTS = 0.5


class QuotaServer:
    """Grant operations from the parts of each limit that are held here."""

    # The parts of all quota servers sum up to the limit, and each part is used
    # by one server alone. So the limit holds under any network partition
    # without agreement between servers. customers/part_assignment.py defines
    # which parts a server holds.

    def __init__(
        self,
        own: ProxyId,
        links: QuotaLinks,
        held: HeldParts,
        borrow_limit: Seconds,
        slack: float = 0,
    ) -> None:
        """Start without parts; wait `borrow_limit` for each lender.

        All proxies together may admit up to `slack` operations over a limit.
        """
        self._own = own
        self._links = links
        self._held = held
        self._borrower = Borrower(own, links, borrow_limit)
        self._slack = slack * SLACK_FOR_PARTS
        self._serving_since = Monotonic(0)
        self._is_serving = False
        self._buckets: dict[CustomerId, TokenBucket] = {}

    async def grant(
        self,
        request: QuotaRequest,
        limit: CustomerLimit | None,
    ) -> QuotaGrant:
        """Grant operations of a customer with this limit; None: no limit."""
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
        """Start or stop serving as parts are held; return their number."""
        if self._links.keeps_own_part():
            self._held.hold(self._own, read_boottime())
        count = self._held.count()
        if count and not self._is_serving:
            # The previous server may have used up this part: full buckets
            # would let a customer begin as many operations once more.
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
        spare = max(MIN_SPARE_TOKENS, self._slack * part)
        bucket = self._buckets.get(customer)
        if bucket is None:
            # Filled as if it existed since this proxy started serving.
            bucket = TokenBucket(rate, spare, self._serving_since)
            self._buckets[customer] = bucket
        bucket.resize(rate, limit.burst * part + spare, read_clock())
        return bucket


def _lend(bucket: TokenBucket, request: QuotaRequest) -> QuotaGrant:
    now = read_clock()
    return QuotaGrant(bucket.lend(request.wanted, now), bucket.find_wait(now))
