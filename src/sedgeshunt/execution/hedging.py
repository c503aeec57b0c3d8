"""Hedge reads: retry a late read elsewhere and use the first answer."""

from asyncio import FIRST_COMPLETED, Task, create_task, wait
from collections.abc import Awaitable, Callable, Iterator

from result import Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.limits.budget import RetryBudget
from sedgeshunt.requests.outcome import Answer, NotRun, Refusal
from sedgeshunt.statements.call import StatementCall

# A read is hedged after half of its objective, so that the second attempt can
# still meet it, but not before most answers arrive.
HEDGE_SHARE = 0.5
MIN_HEDGE_DELAY = Seconds(0.15)

Outcome = Result[Answer, Refusal]
Attempt = Callable[[], Awaitable[Outcome]]


class Hedger:
    """Run attempts of one read, starting the next when one is late."""

    def __init__(self, *, is_last_resort: bool) -> None:
        """Start with a separate retry budget.

        With `is_last_resort`, wait for the last attempt to end. Otherwise
        return early, so that the caller can try elsewhere.
        """
        self._is_last_resort = is_last_resort
        self._budget = RetryBudget()
        # Attempts whose outcome is no longer needed. They run to their end, as
        # cancelling them would close their connection and save no work at the
        # target.
        self._detached: set[Task[Outcome]] = set()

    async def run(
        self,
        call: StatementCall,
        attempts: Iterator[Attempt],
        deadline: Monotonic,
    ) -> Outcome | None:
        """Return the first answer, else the last refusal, else None."""
        self._budget.note_request()
        running: set[Task[Outcome]] = set()
        refused: Outcome | None = None
        try:
            while self._start_next(attempts, running):
                ended = await _wait_one(running, _find_hedge_delay(call))
                refused = ended or refused
                if _is_settled(ended) or read_clock() >= deadline:
                    return refused
                if ended is None and not self._budget.try_spend():
                    return await _wait_final(running, refused)
            if not self._is_last_resort:
                return refused
            return await _wait_final(running, refused)
        finally:
            self._detach(running, call)

    def _start_next(
        self,
        attempts: Iterator[Attempt],
        running: set[Task[Outcome]],
    ) -> bool:
        attempt = next(attempts, None)
        if attempt is None:
            return False
        running.add(create_task(_run_attempt(attempt)))
        return True

    def _detach(
        self,
        running: set[Task[Outcome]],
        call: StatementCall,
    ) -> None:
        for task in running:
            if call.transaction is not None:
                # Otherwise a transaction would be left open.
                task.cancel()
            self._detached.add(task)
            task.add_done_callback(self._detached.discard)


async def _run_attempt(attempt: Attempt) -> Outcome:
    return await attempt()


async def _wait_one(
    running: set[Task[Outcome]],
    delay: Seconds | None,
) -> Outcome | None:
    """Return the outcome of a task that ends within `delay`, else None."""
    done, _ = await wait(
        running,
        timeout=delay,
        return_when=FIRST_COMPLETED,
    )
    if not done:
        return None
    ended = done.pop()
    running.discard(ended)
    return ended.result()


async def _wait_final(
    running: set[Task[Outcome]],
    refused: Outcome | None,
) -> Outcome | None:
    """Return the first answer, or the last refusal after all tasks end."""
    while running:
        ended = await _wait_one(running, None)
        refused = ended or refused
        if _is_settled(ended):
            return ended
    return refused


def _find_hedge_delay(call: StatementCall) -> Seconds | None:
    # A transaction must be opened at one target only.
    if call.transaction is not None:
        return None
    return Seconds(max(MIN_HEDGE_DELAY, HEDGE_SHARE * call.objective_left))


def _is_settled(ended: Outcome | None) -> bool:
    return ended is not None and not isinstance(ended.err(), NotRun)
