"""Track which instances are leaving, by the list and direct evidence."""

from asyncio import sleep, timeout
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Target
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import PlatformUnavailable
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.ports import (
    Address,
    InstanceList,
    InstanceState,
    ListedInstance,
)

READ_INTERVAL = Seconds(1)
READ_TIMEOUT = Seconds(2)
# Reads of the list a second by all proxies together, at the most.
READS_PER_SECOND = 200
# How long the list may still show an instance as live that has left.
MAX_LIST_LAG = Seconds(120)
MAX_DEPARTURES = 4096


@dataclass(slots=True)
class _Departure:
    """Hold the evidence that an instance is leaving."""

    address: Address | None = None
    # Since when every listing has shown the instance live again.
    live_since: Monotonic | None = None


class InstanceWatch:
    """Poll the platform's list and combine it with direct evidence."""

    def __init__(
        self,
        instances: InstanceList,
        decisions: DecisionLog,
        count_proxies: Callable[[], int],
        random: Random | None = None,
    ) -> None:
        """Scale the polling interval by the number of proxies."""
        self._instances = instances
        self._decisions = decisions
        self._count_proxies = count_proxies
        self._random = random or Random()
        # Incremented with each listing that differs from the previous one.
        self.generation = 0
        self._listed: dict[str, ListedInstance] = {}
        self._names: dict[Address | None, str] = {}
        self._departures: OrderedDict[str, _Departure] = OrderedDict()
        # Precomputed, as it is looked up for each statement.
        self._left_addresses: set[Address | None] = set()

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            await self._read_list()
            interval = max(
                READ_INTERVAL,
                self._count_proxies() / READS_PER_SECOND,
            )
            await sleep(interval * self._random.uniform(0.75, 1.25))

    def find_instance(self, name: str) -> ListedInstance | None:
        """Return an instance from the newest listing."""
        return self._listed.get(name)

    def is_leaving(self, name: str, address: Address | None = None) -> bool:
        """Return whether an instance is leaving, by its name or address."""
        return name in self._departures or address in self._left_addresses

    def is_target_leaving(self, target: Target) -> bool:
        """Return whether a target is leaving and gets no new work."""
        if target.is_leaving():
            return True
        address = Address(target.host, target.port)
        return self.is_leaving(target.name, address)

    def note_leaving(self, name: str) -> None:
        """Record direct evidence that an instance is leaving."""
        self._mark(name, 'announcement')
        self._index_addresses()

    def note_serving(self, name: str) -> None:
        """Record direct evidence that a new instance of this name serves."""
        listed = self._listed.get(name)
        if listed is not None and listed.state is InstanceState.LEAVING:
            # The instance may not know yet that the platform removes it.
            return
        self._departures.pop(name, None)
        self._index_addresses()

    async def _read_list(self) -> None:
        try:
            async with timeout(READ_TIMEOUT):
                listing = await self._instances.read_instances()
        except (PlatformUnavailable, TimeoutError):
            # After an outage, the list may show the state from before it.
            for departure in self._departures.values():
                departure.live_since = None
            return
        self._take_listing(listing)

    def _take_listing(self, listing: Sequence[ListedInstance]) -> None:
        shown = {listed.name: listed for listed in listing}
        self.generation += int(shown != self._listed)
        self._listed = shown
        self._names = {listed.address: listed.name for listed in listing}
        for listed in listing:
            if listed.state is InstanceState.LEAVING:
                self._mark(listed.name, 'list')
        for name in tuple(self._departures):
            self._check_return(name)
        self._index_addresses()

    def _check_return(self, name: str) -> None:
        # The list has no revision, so an outdated "live" line looks like a new
        # one, and trusting it would send work to an instance that is about to
        # stop. Only if the list shows "live" for longer than it can lag is an
        # instance of that name back.
        listed = self._listed.get(name)
        departure = self._departures[name]
        if listed is None or listed.state is InstanceState.LEAVING:
            departure.live_since = None
            return
        departure.address = listed.address
        now = read_clock()
        if departure.live_since is None:
            departure.live_since = now
        elif now - departure.live_since > MAX_LIST_LAG:
            self._departures.pop(name)

    def _mark(self, name: str, source: str) -> None:
        if name in self._departures:
            self._departures[name].live_since = None
            return
        listed = self._listed.get(name)
        self._departures[name] = _Departure(listed.address if listed else None)
        while len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)
        self._decisions.record(
            Decision(
                DecisionKind.DRAINING,
                reasons={'instance': name, 'source': source},
            ),
        )

    def _index_addresses(self) -> None:
        # An address that the list now assigns to another instance is not
        # leaving any more.
        self._left_addresses = {
            departure.address
            for name, departure in self._departures.items()
            if self._names.get(departure.address, name) == name
        }
        self._left_addresses.discard(None)
