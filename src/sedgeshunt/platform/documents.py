"""Decode the documents that the operator and databases write to the store."""

from collections.abc import Iterable
from ipaddress import ip_address
from typing import Any

from msgspec import Struct, field

from sedgeshunt.configuration.objects import (
    LEAVING,
    STATE_LABEL,
    Consistency,
    Group,
    Route,
    Target,
)
from sedgeshunt.customers.directory import (
    Customer,
    CustomerDirectory,
    CustomerInvalid,
    CustomerLimit,
    digest_key,
    make_directory,
)
from sedgeshunt.decoding import MAX_REASON, Undecodable, decode_document
from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.identifiers import (
    CustomerId,
    GroupId,
    TargetId,
    TargetLife,
    TrafficClass,
    ZoneId,
)
from sedgeshunt.ports import KeyValue
from sedgeshunt.registry.directory import (
    DeclaredConfiguration,
    KnownTarget,
    PlatformDocuments,
)

CONFIGURATION_KEY = 'op/config'
TARGETS_PREFIX = 'servers/'

_CONSISTENCIES = {
    'primary': Consistency.CURRENT,
    'read_your_writes': Consistency.OWN_WRITES,
    'bounded_staleness': Consistency.BOUNDED_AGE,
}
READY_STATE = 'ready'
MAX_PORT = 65535
PRIMARY_ROLE = 'primary'
ROLE_LABEL = 'role'
VERSION_LABEL = 'version'


class DocumentUnreadable(SedgeshuntError):
    """Signal that a document of the store has an invalid format."""

    def __init__(self, key: str, reason: str) -> None:
        """Store the key and the reason, which may quote the document."""
        super().__init__(key, reason)
        self.key = key
        self.reason = reason[:MAX_REASON]

    def format_message(self) -> str:
        """Name the key and the remedy."""
        return (
            f'the value of {self.key} is invalid ({self.reason}); '
            + 'the previous value stays in force until a valid one is written'
        )


class _Route(Struct):
    name: str
    # Name of the database that callers request, not a network host.
    host: str
    service: str
    type: str = ''
    timeout_ms: int = 2000
    target_latency_ms: int = 0
    priority: int = 1
    max_staleness_ms: int = 0
    allow_anonymous: bool = False


class _Service(Struct):
    name: str
    max_connections: int = 20
    sync_replicas: int = 0


class _Limits(Struct):
    tx_idle_ms: int = 0


class _Tenant(Struct):
    name: str
    api_keys: list[str] = field(default_factory=list)
    rate_per_s: float | None = None
    burst: float | None = None


class _Configuration(Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = field(default_factory=_Limits)
    # Absent where the platform has no customers.
    tenants: list[_Tenant] | None = None


class _Server(Struct):
    service: str
    # IP address and port.
    address: str
    zone: str
    state: str = 'ready'
    version: str = ''
    db_role: str = ''
    # Number of statements that it runs at the same time.
    capacity_slots: int = 3
    cold_remaining_ms: int = 0
    # Start time as whole Unix milliseconds.
    born: int = 0


class StoreDocuments(PlatformDocuments):
    """Decode the documents of the platform's store."""

    configuration_key = CONFIGURATION_KEY
    targets_prefix = TARGETS_PREFIX

    def read_declared(self, pair: KeyValue) -> DeclaredConfiguration:
        """Decode the operator's document; raise DocumentUnreadable."""
        read = _decode(pair.value, _Configuration, pair.key)
        groups = (_make_group(one, read.limits) for one in read.services)
        return DeclaredConfiguration(
            read.version,
            {group.name: group for group in groups},
            {route.traffic_class: route for route in _make_routes(read.routes)},
            _make_customers(pair.key, read.tenants),
        )

    def read_target(self, pair: KeyValue) -> KnownTarget:
        """Decode the entry of one database; raise DocumentUnreadable."""
        read = _decode(pair.value, _Server, pair.key)
        host, port = _parse_address(pair.key, read.address)
        if read.capacity_slots < 1:
            reason = (
                f'capacity_slots is {read.capacity_slots}, must be at least 1'
            )
            raise DocumentUnreadable(pair.key, reason)
        labels = {VERSION_LABEL: read.version, ROLE_LABEL: read.db_role}
        if read.state != READY_STATE:
            labels[STATE_LABEL] = LEAVING
        return KnownTarget(
            Target(
                _parse_id(pair.key),
                GroupId(read.service),
                host,
                port,
                ZoneId(read.zone),
                labels,
            ),
            read.capacity_slots,
            read.db_role == PRIMARY_ROLE,
            TargetLife(read.born),
        )


def _decode(document: bytes, kind: type[Any], key: str) -> Any:
    try:
        return decode_document(document, kind)
    except Undecodable as failure:
        raise DocumentUnreadable(key, failure.reason) from failure


def _parse_id(key: str) -> TargetId:
    # The id is sent to the target as one word of a line. A line end in it would
    # begin another message.
    name = key.removeprefix(TARGETS_PREFIX)
    if not name.isprintable() or name.split() != [name]:
        raise DocumentUnreadable(ascii(key), 'the id is not one word')
    return TargetId(name)


def _parse_address(key: str, address: str) -> tuple[str, int]:
    # Other writers' entries aren't validated. A host name would cause a DNS
    # lookup, and a port out of range would end the connecting task.
    host, _, port = address.rpartition(':')
    try:
        is_usable = bool(ip_address(host)) and 0 < int(port) <= MAX_PORT
    except ValueError:
        is_usable = False
    if not is_usable:
        raise DocumentUnreadable(
            key, f'"{address}" is not an IP address and port'
        )
    return host, int(port)


def _make_group(service: _Service, limits: _Limits) -> Group:
    return Group(
        GroupId(service.name),
        connection_limit=service.max_connections,
        synchronous_replicas=service.sync_replicas,
        transaction_idle_ms=limits.tx_idle_ms,
    )


def _make_routes(routes: Iterable[_Route]) -> Iterable[Route]:
    for route in routes:
        consistency = _CONSISTENCIES.get(route.type)
        # Routes of other types belong to other protocols.
        if consistency is None:
            continue
        yield Route(
            route.name,
            TrafficClass(route.host),
            groups=f'name={route.service}',
            accepted_age_ms=route.max_staleness_ms,
            deadline_ms=route.timeout_ms,
            consistency=consistency,
            objective_ms=route.target_latency_ms,
            priority=route.priority,
            allows_anonymous=route.allow_anonymous,
        )


def _make_customers(
    key: str,
    tenants: Iterable[_Tenant] | None,
) -> CustomerDirectory | None:
    if tenants is None:
        return None
    try:
        return make_directory(map(_make_customer, tenants))
    except CustomerInvalid as invalid:
        raise DocumentUnreadable(key, invalid.format_message()) from invalid


def _make_customer(tenant: _Tenant) -> Customer:
    return Customer(
        CustomerId(tenant.name),
        tuple(map(digest_key, tenant.api_keys)),
        _make_limit(tenant),
    )


def _make_limit(tenant: _Tenant) -> CustomerLimit | None:
    rate, burst = tenant.rate_per_s, tenant.burst
    if rate is None and burst is None:
        return None
    if rate is None or burst is None:
        raise CustomerInvalid(tenant.name, 'set both rate_per_s and burst')
    return CustomerLimit(rate, burst)
