"""Wait until little or nothing is under way at a target."""

from asyncio import sleep

from sedgeshunt.clocks import read_clock
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.identifiers import Monotonic, Seconds

# Transactions that are open when a primary is given up on purpose get so long:
# most statements take less.
ENDING_WAIT = Seconds(0.15)
POLL_EVERY = Seconds(0.005)


async def wait_quiet(executor: TargetExecutor, give_up: Monotonic) -> None:
    """Wait for a moment without transactions, until a failure at most."""
    while executor.transactions and read_clock() < give_up:
        if executor.failed.is_set():
            return
        await sleep(POLL_EVERY)


async def wait_end(executor: TargetExecutor) -> None:
    """Wait a moment for what is under way to end."""
    give_up = Monotonic(read_clock() + ENDING_WAIT)
    while executor.is_busy() and read_clock() < give_up:
        await sleep(POLL_EVERY)
