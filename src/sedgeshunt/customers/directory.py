"""Declare customers, their keys and their limits."""

from collections.abc import Iterable, Mapping
from hashlib import blake2s

from msgspec import Struct, field

from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.identifiers import CustomerId, KeyDigest

# Callers without a customer, where that is allowed, and the proxy's own work.
ANONYMOUS = CustomerId('')
NO_KEY = KeyDigest('')
# Two of a million keys share a digest with a probability of 1 in 37 million.
DIGEST_BYTES = 8
MAX_NAME_LENGTH = 200


class CustomerInvalid(SedgeshuntError):
    """Report an invalid declaration of a customer."""

    def __init__(self, customer: str, reason: str) -> None:
        """Keep the customer and the reason, which never contains a key."""
        super().__init__(customer, reason)
        self.customer = customer
        self.reason = reason

    def format_message(self) -> str:
        """Name the customer and the remedy."""
        return f'customer "{self.customer[:40]}": {self.reason}'


class CustomerLimit(Struct, frozen=True):
    """Hold how many operations a customer may begin, over all proxies."""

    per_second: float
    # Operations that may begin at once after an idle time.
    burst: float


class Customer(Struct, frozen=True):
    """Declare one customer."""

    name: CustomerId
    keys: tuple[KeyDigest, ...]
    # None: the customer has no limit.
    limit: CustomerLimit | None = None


class Identity(Struct, frozen=True):
    """Hold a caller's customer and key, and the version that maps them."""

    customer: CustomerId = ANONYMOUS
    key: KeyDigest = NO_KEY
    version: int = 0


class CustomerDirectory(Struct, frozen=True):
    """Hold the customers of one version of the configuration."""

    customers: Mapping[CustomerId, Customer] = field(default_factory=dict)
    customers_by_key: Mapping[KeyDigest, CustomerId] = field(
        default_factory=dict,
    )
    # Sum of the rates of all customers with a limit.
    per_second: float = 0

    def find_customer(self, key: KeyDigest) -> CustomerId | None:
        """Return the customer that has the key, None for an unknown key."""
        return self.customers_by_key.get(key)

    def find_limit(self, customer: CustomerId) -> CustomerLimit | None:
        """Return a customer's limit, None if it has none."""
        known = self.customers.get(customer)
        return None if known is None else known.limit

    def find_rate_share(self, customer: CustomerId) -> float:
        """Return a customer's share of the sum of all customers' rates."""
        limit = self.find_limit(customer)
        if limit is None:
            return 0
        return limit.per_second / self.per_second


def digest_key(key: str) -> KeyDigest:
    """Return the digest of a key, which may be stored and sent."""
    if not key:
        return NO_KEY
    digest = blake2s(key.encode(), digest_size=DIGEST_BYTES)
    return KeyDigest(digest.hexdigest())


def make_directory(customers: Iterable[Customer]) -> CustomerDirectory:
    """Build the directory of customers; raise CustomerInvalid."""
    known: dict[CustomerId, Customer] = {}
    customers_by_key: dict[KeyDigest, CustomerId] = {}
    for customer in customers:
        _check_name(customer.name)
        _check_limit(customer)
        if customer.name in known:
            raise CustomerInvalid(customer.name, 'declare it once')
        known[customer.name] = customer
        _add_keys(customer, customers_by_key)
    return CustomerDirectory(
        known,
        customers_by_key,
        _sum_limits(known.values()),
    )


def _sum_limits(customers: Iterable[Customer]) -> float:
    limits = (customer.limit for customer in customers)
    return sum(limit.per_second for limit in limits if limit is not None)


def _add_keys(
    customer: Customer,
    customers_by_key: dict[KeyDigest, CustomerId],
) -> None:
    if NO_KEY in customer.keys:
        raise CustomerInvalid(customer.name, 'give it no empty key')
    for key in customer.keys:
        holder = customers_by_key.setdefault(key, customer.name)
        if holder != customer.name:
            reason = f'give it a key that {holder} does not have'
            raise CustomerInvalid(customer.name, reason)


def _check_name(name: CustomerId) -> None:
    if not (name.isprintable() and 0 < len(name) <= MAX_NAME_LENGTH):
        reason = f'name it with 1 to {MAX_NAME_LENGTH} printable characters'
        raise CustomerInvalid(name, reason)
    # The name is one word of the first line on connections to targets.
    if any(map(str.isspace, name)):
        raise CustomerInvalid(name, 'name it without blanks')


def _check_limit(customer: Customer) -> None:
    limit = customer.limit
    if limit is not None and min(limit.per_second, limit.burst) <= 0:
        reason = 'allow it a rate and a burst above 0'
        raise CustomerInvalid(customer.name, reason)
