"""Wait until little or nothing is under way at a target."""

from asyncio import sleep

from sedgeshunt.clocks import read_clock
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.identifiers import Monotonic, Seconds

# Transactions that are open when a primary is given up on purpose get so long:
# most statements take less.
DRAIN_TIMEOUT = Seconds(0.15)
POLL_INTERVAL = Seconds(0.005)


async def wait_no_transactions(
    executor: TargetExecutor, give_up_at: Monotonic
) -> None:
    """Wait for a moment without transactions, until a failure at most."""
    while executor.transactions and read_clock() < give_up_at:
        if executor.failed.is_set():
            return
        await sleep(POLL_INTERVAL)


async def wait_drained(executor: TargetExecutor) -> None:
    """Wait a moment for what is under way to end."""
    give_up_at = Monotonic(read_clock() + DRAIN_TIMEOUT)
    while executor.is_busy() and read_clock() < give_up_at:
        await sleep(POLL_INTERVAL)
