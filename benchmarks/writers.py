"""Write steadily on all proxies and note what is acknowledged."""

from asyncio import Task, create_task, gather, sleep
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Term
from sedgeshunt.requests.outcome import NotRun
from tests.deployment import Deployment, ProxyGone

EVERY = 0.01
# A caller with no time told goes to the next proxy after this one.
PAUSE = 0.05
DEADLINE = 2


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Hold one acknowledged write as its caller saw it."""

    ref: str
    proxy: str
    term: Term
    at: float


@dataclass
class SteadyWriters:
    """Start a write with a request id every so often."""

    deployment: Deployment
    every: float = EVERY
    acknowledged: list[Acknowledged] = field(default_factory=list)
    is_over: bool = False

    async def run(self) -> None:
        """Write until told to stop; open writes are asked again."""
        writes: set[Task[None]] = set()
        for number in count():
            if self.is_over:
                break
            write = create_task(self._write(number))
            writes.add(write)
            write.add_done_callback(writes.discard)
            await sleep(self.every)
        await gather(*writes)

    def find_first(self, term: Term) -> dict[str, float]:
        """Return each proxy's first acknowledgement after a term."""
        first: dict[str, float] = {}
        for write in self.acknowledged:
            if write.term > term:
                first.setdefault(write.proxy, write.at)
        return first

    def find_last(self, term: Term) -> float:
        """Return the last acknowledgement within a term."""
        times = [write.at for write in self.acknowledged if write.term <= term]
        return max(times, default=0)

    async def _write(self, number: int) -> None:
        names = list(self.deployment.nodes)
        for attempt in count():
            proxy = names[(number + attempt) % len(names)]
            pause: float | None = PAUSE
            with suppress(ProxyGone):
                pause = await self._ask(proxy, f'w{number}')
            if pause is None or self.is_over:
                return
            await sleep(pause)

    async def _ask(self, proxy: str, ref: str) -> float | None:
        # Returns when to come back, None if the write was acknowledged.
        caller = self.deployment.open_caller()
        await caller.connect(proxy)
        outcome = await caller.ask(
            f"INSERT INTO turns (ref) VALUES ('{ref}')",
            deadline=DEADLINE,
            request_id=ref,
        )
        await caller.leave()
        answer = outcome.ok()
        if answer is None or answer.point is None:
            refusal = outcome.err()
            if isinstance(refusal, NotRun):
                return refusal.retry_after
            return PAUSE
        self.acknowledged.append(
            Acknowledged(ref, proxy, answer.point.term, read_clock()),
        )
        return None
