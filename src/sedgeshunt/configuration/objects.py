"""Define the labelled objects that operators declare."""

from enum import Enum

from msgspec import Struct, field

from sedgeshunt.identifiers import GroupId, TargetId, TrafficClass, ZoneId

# A target with this label and value gets no new work and can be removed.
STATE_LABEL = 'state'
LEAVING = 'leaving'


class ObjectKind(Enum):
    """List the kinds of objects."""

    GROUP = 'group'
    TARGET = 'target'
    PROXY = 'proxy'
    ROUTE = 'route'
    OBJECTIVE = 'objective'


class Consistency(Enum):
    """Define which writes a route's reads must see."""

    # Every acknowledged write.
    CURRENT = 'current'
    # The session's own writes, and the others' up to the accepted age.
    OWN_WRITES = 'own-writes'
    # All writes up to the accepted age.
    BOUNDED_AGE = 'bounded-age'


class Group(Struct, frozen=True, forbid_unknown_fields=True):
    """Declare a database group and the limits of each of its targets."""

    name: GroupId
    labels: dict[str, str] = field(default_factory=dict)
    # Statements that one target runs at the same time.
    slots: int = 3
    # Connections that one target accepts from all proxies in total.
    connection_limit: int = 20
    # Number of proxies among which the connections are divided.
    seats: int = 6
    # Replicas that have received a write before its target acknowledges it.
    synchronous_replicas: int = 0
    # Idle time after which a transaction may be ended; 0: never.
    transaction_idle_ms: int = 0


class Target(Struct, frozen=True, forbid_unknown_fields=True):
    """Declare one database of a group."""

    name: TargetId
    group: GroupId
    host: str
    port: int
    zone: ZoneId
    labels: dict[str, str] = field(default_factory=dict)

    def is_leaving(self) -> bool:
        """Return whether the target is draining and gets no new work."""
        return self.labels.get(STATE_LABEL) == LEAVING


class Proxy(Struct, frozen=True, forbid_unknown_fields=True):
    """Declare a proxy and the groups it serves."""

    name: str
    zone: ZoneId
    host: str
    # Port for other proxies and the command line.
    peer_port: int
    labels: dict[str, str] = field(default_factory=dict)
    # Selects groups by label; empty selects all.
    groups: str = ''


class Route(Struct, frozen=True, forbid_unknown_fields=True):
    """Declare a traffic class's targets, staleness and limits."""

    name: str
    traffic_class: TrafficClass
    # Selector of groups by label; empty selects all.
    groups: str = ''
    # Selector of targets by label; empty selects all.
    targets: str = ''
    # Accepted age of data if the caller gives none; 0: no default age.
    accepted_age_ms: int = 0
    # Deadline if the caller gives none.
    deadline_ms: int = 2000
    # Share of a loaded target relative to other classes.
    weight: int = 1
    # Reads may go to the primary when no replica can serve.
    primary_reads: bool = True
    consistency: Consistency = Consistency.OWN_WRITES
    # Target response time of an operation; 0: the deadline.
    objective_ms: int = 0
    # Under overload, routes with a lower number take precedence.
    priority: int = 1
    # Callers may omit a customer key.
    allows_anonymous: bool = False
    labels: dict[str, str] = field(default_factory=dict)


class Objective(Struct, frozen=True, forbid_unknown_fields=True):
    """Set a service-level objective of a traffic class."""

    name: str
    traffic_class: TrafficClass
    # Share of requests to be answered within `within_ms`.
    answered_share: float = 0.999
    within_ms: int = 500
    # Longest time during which a group may accept no writes.
    failover_gap_ms: int = 2000
    labels: dict[str, str] = field(default_factory=dict)


ConfigurationObject = Group | Target | Proxy | Route | Objective
