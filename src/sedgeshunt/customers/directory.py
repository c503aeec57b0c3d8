"""Know the customers, whose key is whose, and how much each may ask."""

from collections.abc import Iterable, Mapping
from hashlib import blake2s

from msgspec import Struct, field

from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.identifiers import CustomerId, KeyDigest

# The name of who calls where anybody may, and of the proxy's own work.
ANONYMOUS = CustomerId('')
NO_KEY = KeyDigest('')
# Two of a million keys have the same digest once in 37 million such sets.
DIGEST_BYTES = 8
LONGEST_NAME = 200


class CustomerInvalid(SedgeshuntError):
    """Say that a customer is not declared as one can be."""

    def __init__(self, customer: str, reason: str) -> None:
        """Keep whom it concerns; a key is never named."""
        super().__init__(customer, reason)
        self.customer = customer
        self.reason = reason

    def format_message(self) -> str:
        """Name the customer and the remedy."""
        return f'customer "{self.customer[:40]}": {self.reason}'


class CustomerLimit(Struct, frozen=True):
    """Hold how many operations a customer may begin, over all proxies."""

    per_second: float
    # Operations at once after a rest.
    burst: float


class Customer(Struct, frozen=True):
    """Declare one customer."""

    name: CustomerId
    keys: tuple[KeyDigest, ...]
    # None: as many operations as it likes.
    limit: CustomerLimit | None = None


class Identity(Struct, frozen=True):
    """Tell in whose name a call is made, and which version says so."""

    customer: CustomerId = ANONYMOUS
    key: KeyDigest = NO_KEY
    version: int = 0


class CustomerDirectory(Struct, frozen=True):
    """Hold the customers of one version of the configuration."""

    customers: Mapping[CustomerId, Customer] = field(default_factory=dict)
    customers_by_key: Mapping[KeyDigest, CustomerId] = field(
        default_factory=dict,
    )
    # What all customers with a limit may ask together, a second.
    per_second: float = 0

    def find_customer(self, key: KeyDigest) -> CustomerId | None:
        """Return whose key it is, None for nobody's."""
        return self.customers_by_key.get(key)

    def find_limit(self, customer: CustomerId) -> CustomerLimit | None:
        """Return how much a customer may ask, None for all it likes."""
        known = self.customers.get(customer)
        return None if known is None else known.limit

    def find_rate_share(self, customer: CustomerId) -> float:
        """Return a customer's part of all that customers may ask."""
        limit = self.find_limit(customer)
        if limit is None:
            return 0
        return limit.per_second / self.per_second


def digest_key(key: str) -> KeyDigest:
    """Return what may be kept and passed on of a key."""
    if not key:
        return NO_KEY
    digest = blake2s(key.encode(), digest_size=DIGEST_BYTES)
    return KeyDigest(digest.hexdigest())


def make_directory(customers: Iterable[Customer]) -> CustomerDirectory:
    """Put customers together; raise CustomerInvalid."""
    known: dict[CustomerId, Customer] = {}
    customers_by_key: dict[KeyDigest, CustomerId] = {}
    for customer in customers:
        _check_name(customer.name)
        _check_limit(customer)
        if customer.name in known:
            raise CustomerInvalid(customer.name, 'declare it once')
        known[customer.name] = customer
        _note_keys(customer, customers_by_key)
    return CustomerDirectory(
        known,
        customers_by_key,
        _sum_limits(known.values()),
    )


def _sum_limits(customers: Iterable[Customer]) -> float:
    limits = (customer.limit for customer in customers)
    return sum(limit.per_second for limit in limits if limit is not None)


def _note_keys(
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
    if not (name.isprintable() and 0 < len(name) <= LONGEST_NAME):
        reason = f'name it with 1 to {LONGEST_NAME} printable characters'
        raise CustomerInvalid(name, reason)
    # It is one word of the line by which connections to targets begin.
    if any(map(str.isspace, name)):
        raise CustomerInvalid(name, 'name it without blanks')


def _check_limit(customer: Customer) -> None:
    limit = customer.limit
    if limit is not None and min(limit.per_second, limit.burst) <= 0:
        reason = 'allow it a rate and a burst above 0'
        raise CustomerInvalid(customer.name, reason)
