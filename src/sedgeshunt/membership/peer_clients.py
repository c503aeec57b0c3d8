"""Call one other proxy and keep its latest report."""

from asyncio import Lock, sleep, timeout
from collections.abc import Awaitable, Callable
from enum import Enum
from random import Random
from typing import TypeVar

from sedgeshunt.clocks import read_clock
from sedgeshunt.exceptions import PeerUnreachable
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.ports import (
    Address,
    PeerConnection,
    PeerConnector,
    ProxyReport,
)

REPORT_INTERVAL = Seconds(1)
# The interval grows up to this while a peer does not answer.
MAX_REPORT_INTERVAL = Seconds(5)
CALL_TIMEOUT = Seconds(0.5)
# Age after which the last answer proves nothing of a peer's state.
ANSWER_EXPIRY = Seconds(3)

_Answer = TypeVar('_Answer')


class PeerState(Enum):
    """Name a peer's state by direct evidence."""

    UNKNOWN = 'unknown'
    ALIVE = 'alive'
    LEAVING = 'leaving'
    UNREACHABLE = 'unreachable'


class PeerClient:
    """Own the connection to one peer and what it answered."""

    def __init__(
        self,
        address: Address,
        connector: PeerConnector,
        on_report: Callable[[ProxyReport], None],
        random: Random,
    ) -> None:
        """Prepare; the first call connects."""
        self.address = address
        self.report: ProxyReport | None = None
        self.used_at: Monotonic | None = None
        self._connector = connector
        self._on_report = on_report
        self._random = random
        self._connection: PeerConnection | None = None
        self._answered_at: Monotonic | None = None
        # Failed calls since the last answer.
        self.failures = 0
        self._lock = Lock()

    @property
    def state(self) -> PeerState:
        """Return the current state."""
        if self.failures:
            return PeerState.UNREACHABLE
        silence = self.measure_silence()
        # Covers a pause of this process too: the answer is outdated then, as
        # the peer may have stopped meanwhile.
        if silence is None or silence > ANSWER_EXPIRY:
            return PeerState.UNKNOWN
        if self.report is not None and self.report.stopping:
            return PeerState.LEAVING
        return PeerState.ALIVE

    def measure_silence(self) -> Seconds | None:
        """Return the time since the last answer; None before the first."""
        if self._answered_at is None:
            return None
        return Seconds(read_clock() - self._answered_at)

    def is_idle(self, limit: Seconds) -> bool:
        """Return whether the last call is longer ago than `limit`."""
        return self.used_at is None or read_clock() - self.used_at > limit

    async def run(self) -> None:
        """Poll the peer's report until cancelled."""
        try:
            while True:
                await self._ask_report()
                pause = min(
                    MAX_REPORT_INTERVAL,
                    REPORT_INTERVAL * (self.failures + 1),
                )
                await sleep(pause * self._random.uniform(0.75, 1.25))
        finally:
            await self.close()

    async def call(
        self,
        ask: Callable[[PeerConnection], Awaitable[_Answer]],
        limit: Seconds = CALL_TIMEOUT,
    ) -> _Answer:
        """Make one call within `limit`; raise PeerUnreachable."""
        self.used_at = read_clock()
        try:
            async with timeout(limit), self._lock:
                answer = await self._ask(ask)
        except TimeoutError as failure:
            self.failures += 1
            reason = f'no answer in {limit} s'
            raise PeerUnreachable(self.address.host, reason) from failure
        except PeerUnreachable:
            self.failures += 1
            raise
        self.failures = 0
        self._answered_at = read_clock()
        return answer

    async def close(self) -> None:
        """Close the connection; closing twice is harmless."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            await connection.close()

    async def _ask(
        self,
        ask: Callable[[PeerConnection], Awaitable[_Answer]],
    ) -> _Answer:
        if self._connection is None:
            self._connection = await self._connector.connect(self.address)
        answered = False
        try:
            answer = await ask(self._connection)
            answered = True
        finally:
            # The answer to an abandoned call may still arrive; on the same
            # connection it would be read as the answer to the next call.
            if not answered:
                await self.close()
        return answer

    async def _ask_report(self) -> None:
        try:
            self.report = await self.call(lambda peer: peer.report())
        except PeerUnreachable:
            return
        self._on_report(self.report)
