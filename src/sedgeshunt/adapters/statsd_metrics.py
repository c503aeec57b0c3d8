"""Send metrics to statsd."""

from asyncio import sleep
from collections import Counter, defaultdict

from statsd import StatsClient
from statsd.client.udp import Pipeline

from sedgeshunt.identifiers import Seconds
from sedgeshunt.metrics import Metrics
from sedgeshunt.ports import Address

FLUSH_EVERY = Seconds(1)
# Times sent for one name between two flushes; the rest is not sampled.
MAX_TIMES = 50
# One datagram below the smallest usual MTU.
DATAGRAM_SIZE = 1400


class StatsdMetrics(Metrics):
    """Send measurements over UDP, gathered between flushes."""

    # A datagram for each statement would cost more than many statements do,
    # so counts are summed up and times are sampled until the next flush.

    def __init__(self, address: Address, prefix: str) -> None:
        """Open the socket; nothing is sent before the first flush."""
        self._client = StatsClient(
            host=address.host,
            port=address.port,
            prefix=prefix or None,
            maxudpsize=DATAGRAM_SIZE,
            ipv6=':' in address.host,
        )
        self._counts: Counter[str] = Counter()
        self._times: defaultdict[str, list[Seconds]] = defaultdict(list)
        self._levels: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to the count of the next flush."""
        self._counts[name] += amount

    def time(self, name: str, spent: Seconds) -> None:
        """Keep the time for the next flush unless it has enough of them."""
        times = self._times[name]
        if len(times) < MAX_TIMES:
            times.append(spent)

    def gauge(self, name: str, level: float) -> None:
        """Keep the level for the next flush."""
        self._levels[name] = level

    def flush(self) -> None:
        """Send what was gathered; lost datagrams are not noticed."""
        with self._client.pipeline() as pipe:
            self._write(pipe)
        self._counts.clear()
        self._times.clear()
        self._levels.clear()

    async def run(self) -> None:
        """Flush until cancelled."""
        while True:
            await sleep(FLUSH_EVERY)
            self.flush()

    def close(self) -> None:
        """Send the rest and close the socket."""
        self.flush()
        self._client.close()

    def _write(self, pipe: Pipeline) -> None:
        for name, amount in self._counts.items():
            pipe.incr(name, amount)
        for name, samples in self._times.items():
            _write_times(pipe, name, samples)
        for name, level in self._levels.items():
            pipe.gauge(name, level)


def _write_times(pipe: Pipeline, name: str, samples: list[Seconds]) -> None:
    for spent in samples:
        pipe.timing(name, spent * 1000)
