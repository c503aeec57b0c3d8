"""Apply configurations in the order of their versions."""

from asyncio import Event, get_running_loop
from collections.abc import Callable

from sedgeshunt.clocks import read_boottime
from sedgeshunt.configuration.objects import Group, Route
from sedgeshunt.customers.directory import (
    ANONYMOUS,
    CustomerLimit,
    Identity,
)
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.identifiers import (
    Boottime,
    CustomerId,
    GroupId,
    KeyDigest,
    Seconds,
    TrafficClass,
)
from sedgeshunt.ports import KeyValue
from sedgeshunt.registry.directory import (
    DeclaredConfiguration,
    GroupMembers,
    KnownTarget,
    PlatformDocuments,
)
from sedgeshunt.registry.feeds import LARGE_DOCUMENT_BYTES, MAX_SPREAD_TIME
from sedgeshunt.registry.store_view import StoreView
from sedgeshunt.registry.unreadable import UnreadableEntries
from sedgeshunt.revisions import NOTHING, read_count, read_era

NAME_SELECTOR = 'name='
# After a restore of the store, targets write their entries again within this
# time.
RELIST_TIME = Seconds(2.5)


class LiveConfiguration:
    """Follow the declared routes and groups, and the live targets."""

    def __init__(
        self,
        view: StoreView,
        documents: PlatformDocuments,
        decisions: DecisionLog,
    ) -> None:
        """Follow the changes of `view`."""
        self.declared = DeclaredConfiguration()
        # The applied item, for peers that the store does not answer.
        self.source: KeyValue | None = None
        # The latest document that was rejected.
        self._rejected_document = b''
        self._applied_at = Boottime(0)
        self._view = view
        self._documents = documents
        self._decisions = decisions
        self._targets: dict[str, KnownTarget] = {}
        self._unreadable = UnreadableEntries(decisions)
        self._listeners: list[Callable[[], None]] = []
        self._loaded = Event()
        view.listen(self._follow_change)

    def listen(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    @property
    def is_loaded(self) -> bool:
        """Return whether any configuration is in force."""
        return self.declared.version > 0

    @property
    def version(self) -> int:
        """Return the operator's version in force, 0 before the first one."""
        return self.declared.version

    def find_newer_document(self, known: int) -> bytes | None:
        """Return the document in force if it is newer than version `known`."""
        if self.source is None or self.version <= known:
            return None
        # Followers receive a large document one after the other. Without this
        # check each of their peers would send it to them meanwhile.
        document = self.source.value
        is_spreading = read_boottime() - self._applied_at < MAX_SPREAD_TIME
        if known and is_spreading and len(document) >= LARGE_DOCUMENT_BYTES:
            return None
        return document

    async def wait_loaded(self) -> None:
        """Wait until a configuration is in force."""
        await self._loaded.wait()

    def find_route(self, database: TrafficClass) -> Route | None:
        """Return the route for callers of `database`."""
        return self.declared.routes.get(database)

    def find_group(self, route: Route) -> GroupId:
        """Return the group of a route."""
        return GroupId(route.groups.removeprefix(NAME_SELECTOR))

    def identify(self, key: KeyDigest, route: Route) -> Identity | None:
        """Return the caller with a key, None if the route doesn't admit it."""
        declared = self.declared
        customers = declared.customers
        if customers is None:
            return Identity(version=declared.version)
        holder = customers.find_customer(key)
        if holder is not None:
            return Identity(holder, key, declared.version)
        if route.allows_anonymous:
            return Identity(version=declared.version)
        return None

    def is_key_valid(self, identity: Identity) -> bool:
        """Return whether the key of a caller is still valid."""
        declared = self.declared
        customers = declared.customers
        if customers is None or identity.customer == ANONYMOUS:
            return True
        # The proxy that admitted it may have a newer version in force.
        if identity.version > declared.version:
            return True
        return customers.find_customer(identity.key) == identity.customer

    def find_limit(self, customer: CustomerId) -> CustomerLimit | None:
        """Return the limit of a customer, None if it has none."""
        customers = self.declared.customers
        return None if customers is None else customers.find_limit(customer)

    def find_part(self, customer: CustomerId) -> float:
        """Return the share of a customer in the sum of all limits."""
        customers = self.declared.customers
        return 0 if customers is None else customers.find_rate_share(customer)

    def has_customers(self) -> bool:
        """Return whether the configuration declares customers."""
        return self.declared.customers is not None

    def list_groups(self) -> list[Group]:
        """List the declared groups."""
        return list(self.declared.groups.values())

    def find_members(self, group: GroupId) -> GroupMembers | None:
        """Return a group with its targets, None if it is not declared."""
        declared = self.declared.groups.get(group)
        if declared is None:
            return None
        return GroupMembers(
            declared,
            [
                known
                for known in self._targets.values()
                if known.target.group == group
            ],
        )

    def apply(self, pair: KeyValue) -> None:
        """Apply an item if its version is newer than the one in force."""
        source = self.source
        if source is not None and pair.value in (
            source.value,
            self._rejected_document,
        ):
            return
        try:
            declared = self._documents.read_declared(pair)
        except SedgeshuntError as unreadable:
            reasons = {'why': str(unreadable)}
            self._decisions.record(
                Decision(DecisionKind.CONFIGURATION_REFUSED, reasons=reasons),
            )
            return
        except Exception as failure:
            self._unreadable.report(pair, failure)
            return
        # Compared by the operator's version, as a restore of the store resets
        # revisions.
        if declared.version <= self.version:
            self._refuse_older(pair, declared)
            return
        self.source = pair
        self._applied_at = read_boottime()
        self._loaded.set()
        self.declared = declared
        self._decisions.record(
            Decision(
                DecisionKind.CONFIGURATION_APPLIED,
                reasons={
                    'version': str(declared.version),
                    'revision': str(read_count(pair.revision)),
                    'era': str(read_era(pair.revision)),
                },
            ),
        )
        self._notify()

    def apply_copy(self, document: bytes) -> None:
        """Apply a document from a peer if it is newer than the one in force."""
        key = self._documents.configuration_key
        self.apply(KeyValue(key, document, NOTHING))

    def _follow_change(self, key: str) -> None:
        if key in ('', self._documents.configuration_key):
            pair = self._view.get(self._documents.configuration_key)
            if pair is not None:
                self.apply(pair)
        prefix = self._documents.targets_prefix
        if not key:
            for pair in self._view.list_prefix(prefix):
                self._read_target(pair.key)
            self._drop_unlisted()
            self._notify()
        elif key.startswith(prefix):
            self._read_target(key)
            self._notify()

    def _drop_unlisted(self) -> None:
        """Drop the targets that the store no longer lists."""
        # A restored store lacks entries written after its snapshot. Dropped at
        # once, a primary that is about to write its entry again would be
        # replaced.
        wait = RELIST_TIME - self._view.measure_era_age()
        unlisted = [key for key in self._targets if not self._view.get(key)]
        if unlisted and wait > 0:
            get_running_loop().call_later(wait, self._finish_relisting)
            return
        for key in unlisted:
            self._read_target(key)

    def _finish_relisting(self) -> None:
        self._drop_unlisted()
        self._notify()

    def _read_target(self, key: str) -> None:
        pair = self._view.get(key)
        if pair is None:
            self._targets.pop(key, None)
            self._unreadable.forget(key)
            return
        try:
            self._targets[key] = self._documents.read_target(pair)
        except Exception as failure:
            # Anyone may write an entry, and an error would end the process.
            self._unreadable.report(pair, failure)

    def _refuse_older(
        self, pair: KeyValue, declared: DeclaredConfiguration
    ) -> None:
        self._rejected_document = pair.value
        why = f'version {declared.version} is not newer than {self.version}'
        self._decisions.record(
            Decision(DecisionKind.CONFIGURATION_REFUSED, reasons={'why': why}),
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
