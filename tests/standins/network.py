"""Carry messages between places, with latency and cuts."""

from asyncio import Future, get_running_loop, sleep
from collections.abc import Callable
from dataclasses import dataclass

DEFAULT_LATENCY = 0.0005
# A timer may fire this much early; virtual time would then stand still.
TIMER_RESOLUTION = 0.000002


@dataclass(frozen=True, slots=True)
class Place:
    """Name one end of a link and the availability zone it stands in."""

    name: str
    zone: str


PLATFORM = Place('platform', 'platform')


class Signal:
    """Wake all tasks that wait for a change."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._waiters: set[Future[None]] = set()

    def fire(self) -> None:
        """Wake everyone who waits now."""
        for waiter in self._waiters:
            _settle(waiter)
        self._waiters.clear()

    async def wait(self, until: float | None = None) -> None:
        """Wait for the next change, at most until the clock reads `until`."""
        loop = get_running_loop()
        waiter: Future[None] = loop.create_future()
        self._waiters.add(waiter)
        timer = None if until is None else loop.call_at(until, _settle, waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)
            if timer is not None:
                timer.cancel()


class Network:
    """Know latencies and cuts between names of places or of zones."""

    def __init__(self, latency: float = DEFAULT_LATENCY) -> None:
        """Give every pair the same one-way `latency` in seconds."""
        self._default = latency
        self.changed = Signal()
        self.listeners: list[Callable[[], None]] = []
        self._latencies: dict[frozenset[str], float] = {}
        self._cuts: set[frozenset[str]] = set()
        self._closed_ways: set[tuple[str, str]] = set()

    def set_latency(self, one: str, other: str, seconds: float) -> None:
        """Set the one-way latency between two zones, both ways."""
        self._latencies[frozenset((one, other))] = seconds

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two places or zones."""
        self._cuts.add(frozenset((one, other)))

    def close_way(self, source: str, destination: str) -> None:
        """Let nothing pass from one place to another; the way back is open."""
        self._closed_ways.add((source, destination))

    def heal(self, one: str | None = None, other: str | None = None) -> None:
        """End the cuts that touch the given names; without names, all."""
        names = {name for name in (one, other) if name is not None}
        self._cuts = {cut for cut in self._cuts if not names <= cut}
        self._closed_ways = {
            way for way in self._closed_ways if not names <= set(way)
        }
        self.changed.fire()
        for listener in self.listeners:
            listener()

    def is_cut(self, one: Place, other: Place) -> bool:
        """Tell whether nothing passes between two places now."""
        if (one.name, other.name) in self._closed_ways:
            return True
        if not self._cuts:
            return False
        ends = ((one.name, one.zone), (other.name, other.zone))
        pairs = {frozenset((near, far)) for near in ends[0] for far in ends[1]}
        return not pairs.isdisjoint(self._cuts)

    def read_latency(self, one: Place, other: Place) -> float:
        """Return the one-way latency between two places."""
        pair = frozenset((one.zone, other.zone))
        return self._latencies.get(pair, self._default)

    async def cross(self, source: Place, destination: Place) -> None:
        """Bring a message over; in a cut it waits and comes late."""
        # As with TCP, what was sent into a cut is sent again after it, also
        # if the sender has given up by then.
        await sleep(self.read_latency(source, destination))
        while self.is_cut(source, destination):
            await self.changed.wait()


def _settle(waiter: Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
