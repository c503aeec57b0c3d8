"""Wait until little or nothing is under way at a target."""

from asyncio import sleep

from sedgeshunt.clocks import read_clock
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.identifiers import Monotonic, Seconds

# Time for open work to finish when a primary is given up on purpose. Most
# statements take less.
DRAIN_TIMEOUT = Seconds(0.15)
POLL_INTERVAL = Seconds(0.005)


async def wait_idle(executor: TargetExecutor, give_up: Monotonic) -> None:
    """Wait until no transaction is open, the target fails or time is up."""
    while executor.transactions and read_clock() < give_up:
        if executor.failed.is_set():
            return
        await sleep(POLL_INTERVAL)


async def wait_drained(executor: TargetExecutor) -> None:
    """Wait for all running work to end, at most DRAIN_TIMEOUT."""
    give_up = Monotonic(read_clock() + DRAIN_TIMEOUT)
    while executor.is_busy() and read_clock() < give_up:
        await sleep(POLL_INTERVAL)
