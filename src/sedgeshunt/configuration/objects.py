"""Declare the labelled objects by which operators steer."""

from enum import Enum

from msgspec import Struct, field

from sedgeshunt.identifiers import GroupId, TargetId, TrafficClass, ZoneId

# A target with this label gets no new work and may be removed later.
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
    """Say what a route's reads must see."""

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
    # Connections that one target accepts, from all proxies together.
    connection_limit: int = 20
    # Entry instances among which the connections are shared out.
    seats: int = 6
    # Replicas that have received a write before its target acknowledges it.
    synchronous_replicas: int = 0
    # A transaction without a statement for so long may be ended; 0: never.
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
        """Tell whether operators want no new work on this target."""
        return self.labels.get(STATE_LABEL) == LEAVING


class Proxy(Struct, frozen=True, forbid_unknown_fields=True):
    """Declare an entry instance and the groups it serves."""

    name: str
    zone: ZoneId
    host: str
    # Port towards other proxies and the command line.
    peer_port: int
    labels: dict[str, str] = field(default_factory=dict)
    # Selects groups by label; empty selects all.
    groups: str = ''


class Route(Struct, frozen=True, forbid_unknown_fields=True):
    """Say which targets a traffic class may reach and how stale it may read."""

    name: str
    traffic_class: TrafficClass
    # Selector of groups by label; empty selects all.
    groups: str = ''
    # Selector of targets by label; empty selects all.
    targets: str = ''
    # Oldest data accepted when the caller names no age; 0 means none.
    accepted_age_ms: int = 0
    # Time to answer when the caller names no deadline.
    deadline_ms: int = 2000
    # Share of a target under load, against the other classes.
    weight: int = 1
    # Reads may go to the primary when no replica can serve.
    primary_reads: bool = True
    consistency: Consistency = Consistency.OWN_WRITES
    # Time within which an operation is to be answered; 0: the deadline.
    objective_ms: int = 0
    # Routes with a lower number go first where targets are short.
    priority: int = 1
    # Callers need no customer's key.
    allows_anonymous: bool = False
    labels: dict[str, str] = field(default_factory=dict)


class Objective(Struct, frozen=True, forbid_unknown_fields=True):
    """Set a service-level objective of a traffic class."""

    name: str
    traffic_class: TrafficClass
    # Share of requests to be answered within `within_ms`.
    answered_share: float = 0.999
    within_ms: int = 500
    # Longest time in which a group takes no writes, in milliseconds.
    failover_gap_ms: int = 2000
    labels: dict[str, str] = field(default_factory=dict)


ConfigurationObject = Group | Target | Proxy | Route | Objective
