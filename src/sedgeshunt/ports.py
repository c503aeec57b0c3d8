"""Define what the decisions ask of targets, platform and peers."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from enum import Enum

from msgspec import Struct

from sedgeshunt.groups.status import TargetStatus
from sedgeshunt.identifiers import (
    Era,
    GroupId,
    ProxyId,
    Revision,
    Seconds,
    TargetId,
    Term,
    ZoneId,
)
from sedgeshunt.requests.outcome import Answer

FIRST_ERA = Era(0)


class Address(Struct, frozen=True):
    """Hold an IP number and a port."""

    host: str
    port: int


class TargetConnection(ABC):
    """Run statements on one connection to one target."""

    @abstractmethod
    async def execute(self, sql: str) -> Answer:
        """Run `sql`; raise TargetRejected, TargetReadOnly or TargetLost."""

    @abstractmethod
    async def close(self) -> None:
        """Drop the connection at once; closing twice does no harm."""


class ControlConnection(ABC):
    """Ask one target about its place in the group and change it."""

    @abstractmethod
    async def read_status(
        self,
        known: TargetStatus | None,
        wait: Seconds,
    ) -> TargetStatus:
        """Answer once the status differs from `known` or `wait` is over."""

    @abstractmethod
    async def fence(self, term: Term) -> TargetStatus:
        """Accept only a `term` above the target's; raise FenceRefused."""

    @abstractmethod
    async def promote(self, term: Term) -> TargetStatus:
        """Lead in `term`, once, if fenced for it; raise FenceRefused."""

    @abstractmethod
    async def follow(self, term: Term, primary: TargetId) -> TargetStatus:
        """Drop what `primary` lacks and copy it; raise FenceRefused."""

    @abstractmethod
    async def close(self) -> None:
        """Drop the connection at once; closing twice does no harm."""


class TargetConnector(ABC):
    """Open connections to the targets of one group."""

    @abstractmethod
    async def connect(
        self,
        target: TargetId,
        address: Address,
        group: GroupId,
    ) -> TargetConnection:
        """Open a connection; raise TargetUnreachable or TargetBusy."""

    @abstractmethod
    async def connect_control(
        self,
        target: TargetId,
        address: Address,
        group: GroupId,
    ) -> ControlConnection:
        """Open a control connection; raise TargetUnreachable."""


class KeyValue(Struct, frozen=True):
    """Hold one key, its value and the revision that last changed it."""

    key: str
    value: bytes
    revision: Revision
    # The revision that made the key; 0 where the service does not tell.
    created: Revision = Revision(0)


class Listing(Struct, frozen=True):
    """Hold all pairs under a prefix as of one revision."""

    revision: Revision
    pairs: Sequence[KeyValue]


class Compare(Struct, frozen=True):
    """Demand that `key` was last changed at `revision`; 0 means absent."""

    key: str
    revision: Revision


class Put(Struct, frozen=True):
    """Write `value` under `key`, bound to a lease when one is given."""

    key: str
    value: bytes
    lease: int | None = None


class Delete(Struct, frozen=True):
    """Remove `key`."""

    key: str


class CommitResult(Struct, frozen=True):
    """Tell whether all comparisons held, and the revision after it."""

    succeeded: bool
    revision: Revision
    # What the compared keys hold now, when a comparison failed.
    current: Sequence[KeyValue] = ()


class WatchEvent(Struct, frozen=True):
    """Tell that one key changed; a value of None means it was removed."""

    key: str
    value: bytes | None
    revision: Revision
    # The revision that made the key; 0 where the service does not tell.
    created: Revision = Revision(0)


class GrantedLease(Struct, frozen=True):
    """Hold a new lease's id and the time to live that applies to it."""

    id: int
    ttl: Seconds


class KeyValueService(ABC):
    """Keep what must last: compare-and-swap, leases and watches."""

    @property
    def era(self) -> Era:
        """Return the newest era that an answer has told.

        A service that never goes back stays in the first one.
        """
        return FIRST_ERA

    @abstractmethod
    async def list_prefix(
        self,
        prefix: str,
        *,
        may_be_old: bool = False,
    ) -> Listing:
        """Read all pairs under `prefix`; raise PlatformUnavailable.

        A state that `may_be_old`, by seconds, costs the service less.
        """

    @abstractmethod
    async def commit(
        self,
        compares: Sequence[Compare],
        changes: Sequence[Put | Delete],
    ) -> CommitResult:
        """Apply all or nothing; raise PlatformUnavailable or AnswerLost."""

    @abstractmethod
    def watch(
        self,
        prefix: str,
        after: Revision,
    ) -> AsyncIterator[Sequence[WatchEvent]]:
        """Yield changes past `after`; raise PlatformUnavailable at its end.

        Raise WatchCompacted when `after` is no longer kept.
        """

    @abstractmethod
    async def grant_lease(self, ttl: Seconds) -> GrantedLease:
        """Create a lease; raise PlatformUnavailable.

        The service decides on the time to live; `ttl` is a request.
        """

    @abstractmethod
    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; tell False when it has lapsed."""

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""


class WatchCompacted(Exception):
    """Say that a watch must start anew from a listing."""


class InstanceState(Enum):
    """Tell what the platform says of an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedInstance(Struct, frozen=True):
    """Hold one line of the platform's list; the list lags."""

    name: str
    address: Address
    zone: ZoneId
    state: InstanceState


class InstanceList(ABC):
    """Read the platform's lagging list of instances."""

    @abstractmethod
    async def read_instances(self) -> Sequence[ListedInstance]:
        """Return the list; raise PlatformUnavailable."""


class PrimaryReport(Struct, frozen=True):
    """Tell when a peer last heard a group's primary, as an age."""

    group: GroupId
    term: Term
    primary: TargetId | None
    # Seconds since the answer to the newest status was asked for.
    heard_ago: Seconds | None


class ConfigurationCopy(Struct, frozen=True):
    """Hold a peer's configuration in force, encoded as JSON."""

    revision: Revision
    document: bytes


class ProxyReport(Struct, frozen=True):
    """Hold what a proxy says of itself to peers and operators."""

    proxy: ProxyId
    zone: ZoneId
    revision: Revision
    stopping: bool
    # JSON document with groups, targets, limits and counts.
    document: bytes


class PeerService(ABC):
    """Answer the calls that peers make."""

    @abstractmethod
    async def report(self) -> ProxyReport:
        """Tell what this proxy runs with."""

    @abstractmethod
    async def report_primary(self, group: GroupId) -> PrimaryReport:
        """Tell when this proxy last heard a group's primary."""

    @abstractmethod
    async def copy_configuration(
        self,
        known: Revision,
    ) -> ConfigurationCopy | None:
        """Return a configuration newer than `known`, None if there is none."""

    @abstractmethod
    async def announce_leaving(self, name: str) -> None:
        """Take note that instance `name` is leaving."""

    @abstractmethod
    async def explain(self, question: bytes) -> bytes:
        """Tell how a request would be routed; both are JSON documents."""

    @abstractmethod
    async def copy_tallies(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> Sequence[bytes]:
        """Return counts and copies, those of `proxies` or all."""


class PeerConnection(PeerService):
    """Call another proxy; each call may raise PeerUnreachable."""

    @abstractmethod
    async def close(self) -> None:
        """Drop the connection at once; closing twice does no harm."""


class PeerConnector(ABC):
    """Open connections to other proxies."""

    @abstractmethod
    async def connect(self, address: Address) -> PeerConnection:
        """Open a connection; raise PeerUnreachable."""
