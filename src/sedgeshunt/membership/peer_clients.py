"""Keep in touch with one other proxy."""

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

REPORT_EVERY = Seconds(1)
# A peer that does not answer is asked less often, up to this.
LONGEST_PAUSE = Seconds(5)
CALL_TIMEOUT = Seconds(0.5)
# Silence after which an answer proves nothing any more.
SILENCE_LIMIT = Seconds(3)

_Answer = TypeVar('_Answer')


class PeerState(Enum):
    """Tell what direct evidence says of a peer."""

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
        """Connect at the first call."""
        self.address = address
        self.report: ProxyReport | None = None
        self.used_at: Monotonic | None = None
        self._connector = connector
        self._on_report = on_report
        self._random = random
        self._connection: PeerConnection | None = None
        self._answered_at: Monotonic | None = None
        # Calls without an answer since the last one that had it.
        self.failures = 0
        self._lock = Lock()

    @property
    def state(self) -> PeerState:
        """Return the state as of this moment."""
        if self.failures:
            return PeerState.UNREACHABLE
        silence = self.measure_silence()
        # Also after a pause of this process: the answer is old by then, and
        # the peer may have gone meanwhile.
        if silence is None or silence > SILENCE_LIMIT:
            return PeerState.UNKNOWN
        if self.report is not None and self.report.stopping:
            return PeerState.LEAVING
        return PeerState.ALIVE

    def measure_silence(self) -> Seconds | None:
        """Return the time since the last answer, None before the first."""
        if self._answered_at is None:
            return None
        return Seconds(read_clock() - self._answered_at)

    def is_idle(self, limit: Seconds) -> bool:
        """Tell whether nothing was asked for longer than `limit`."""
        return self.used_at is None or read_clock() - self.used_at > limit

    async def run(self) -> None:
        """Ask for the peer's report until cancelled."""
        try:
            while True:
                await self._ask_report()
                pause = min(LONGEST_PAUSE, REPORT_EVERY * (self.failures + 1))
                await sleep(pause * self._random.uniform(0.75, 1.25))
        finally:
            await self.close()

    async def call(
        self,
        ask: Callable[[PeerConnection], Awaitable[_Answer]],
        limit: Seconds = CALL_TIMEOUT,
    ) -> _Answer:
        """Put one question within `limit`; raise PeerUnreachable."""
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
        """Drop the connection; closing twice does no harm."""
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
            # The answer to a question given up may still come; on the same
            # connection it would be taken for the answer to the next one.
            if not answered:
                await self.close()
        return answer

    async def _ask_report(self) -> None:
        try:
            self.report = await self.call(lambda peer: peer.report())
        except PeerUnreachable:
            return
        self._on_report(self.report)
