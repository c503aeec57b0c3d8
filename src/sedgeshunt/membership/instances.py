"""Know which instances are leaving, by the list and by direct evidence."""

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

READ_EVERY = Seconds(1)
READ_TIMEOUT = Seconds(2)
# All proxies together read the list this often a second at most.
READS_PER_SECOND = 200
# The list may show for this long what was true before an instance left.
LONGEST_LAG = Seconds(120)
EVIDENCE_LIMIT = 4096


@dataclass(slots=True)
class _Departure:
    """Hold the evidence that one instance leaves."""

    address: Address | None = None
    # Since when every listing has shown the instance live again.
    live_since: Monotonic | None = None


class InstanceWatch:
    """Read the platform's list and weigh it against direct evidence."""

    def __init__(
        self,
        instances: InstanceList,
        decisions: DecisionLog,
        count_proxies: Callable[[], int],
        random: Random | None = None,
    ) -> None:
        """Read the list less often the more proxies `count_proxies` tells."""
        self._instances = instances
        self._decisions = decisions
        self._count_proxies = count_proxies
        self._random = random or Random()
        # Grows with each listing that differs from the one before.
        self.generation = 0
        self._listed: dict[str, ListedInstance] = {}
        self._names: dict[Address | None, str] = {}
        self._departures: OrderedDict[str, _Departure] = OrderedDict()
        # Asked for each statement, so it is kept ready.
        self._left_addresses: set[Address | None] = set()

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            await self._read_list()
            pace = max(READ_EVERY, self._count_proxies() / READS_PER_SECOND)
            await sleep(pace * self._random.uniform(0.75, 1.25))

    def find_instance(self, name: str) -> ListedInstance | None:
        """Return an instance as the newest listing shows it."""
        return self._listed.get(name)

    def is_leaving(self, name: str, address: Address | None = None) -> bool:
        """Tell whether an instance leaves, by its name or its address."""
        return name in self._departures or address in self._left_addresses

    def is_target_leaving(self, target: Target) -> bool:
        """Tell whether a target may get no new work."""
        if target.is_leaving():
            return True
        address = Address(target.host, target.port)
        return self.is_leaving(target.name, address)

    def note_leaving(self, name: str) -> None:
        """Take direct evidence that an instance leaves."""
        self._mark(name, 'announcement')
        self._index_addresses()

    def note_serving(self, name: str) -> None:
        """Take direct evidence that an instance is a new one and serves."""
        listed = self._listed.get(name)
        if listed is not None and listed.state is InstanceState.LEAVING:
            # It need not know yet that the platform takes it away.
            return
        self._departures.pop(name, None)
        self._index_addresses()

    async def _read_list(self) -> None:
        try:
            async with timeout(READ_TIMEOUT):
                listing = await self._instances.read_instances()
        except (PlatformUnavailable, TimeoutError):
            # What the list shows after an outage may be from before it.
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
            self._weigh_return(name)
        self._index_addresses()

    def _weigh_return(self, name: str) -> None:
        # The list carries no revision, so an old line that says "live" looks
        # like a new one. Believing it would send work to an instance that is
        # about to go; only lines that say so for longer than the list can
        # lag prove that an instance of that name is there again.
        listed = self._listed.get(name)
        departure = self._departures[name]
        if listed is None or listed.state is InstanceState.LEAVING:
            departure.live_since = None
            return
        departure.address = listed.address
        now = read_clock()
        if departure.live_since is None:
            departure.live_since = now
        elif now - departure.live_since > LONGEST_LAG:
            self._departures.pop(name)

    def _mark(self, name: str, source: str) -> None:
        if name in self._departures:
            self._departures[name].live_since = None
            return
        listed = self._listed.get(name)
        self._departures[name] = _Departure(listed.address if listed else None)
        while len(self._departures) > EVIDENCE_LIMIT:
            self._departures.popitem(last=False)
        self._decisions.record(
            Decision(
                DecisionKind.DRAINING,
                reasons={'instance': name, 'source': source},
            ),
        )

    def _index_addresses(self) -> None:
        # An address that the list gives to another instance says nothing of
        # the one that left it.
        self._left_addresses = {
            departure.address
            for name, departure in self._departures.items()
            if self._names.get(departure.address, name) == name
        }
        self._left_addresses.discard(None)
