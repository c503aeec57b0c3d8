"""Ask again elsewhere when an answer is late, and take the first to come."""

from asyncio import FIRST_COMPLETED, Task, create_task, wait
from collections.abc import Awaitable, Callable, Iterator

from result import Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.limits.budget import RetryBudget
from sedgeshunt.requests.outcome import Answer, NotRun, Refusal
from sedgeshunt.statements.call import StatementCall

# A read is asked again after half of its objective, so that the second answer
# still meets it, but no sooner than most answers take.
HEDGE_SHARE = 0.5
MIN_HEDGE_DELAY = Seconds(0.15)

Outcome = Result[Answer, Refusal]
Attempt = Callable[[], Awaitable[Outcome]]


class Hedger:
    """Run attempts of one read, the next when the last seems lost."""

    def __init__(self, *, is_last_resort: bool) -> None:
        """Start with a budget of its own.

        A last resort waits for the last attempt to its end; any other leaves
        what is not answered to the next resort.
        """
        self._is_last_resort = is_last_resort
        self._budget = RetryBudget()
        # Attempts that were overtaken: cutting them off would cost their
        # connection, and the target has done the work anyway.
        self._detached: set[Task[Outcome]] = set()

    async def run(
        self,
        call: StatementCall,
        attempts: Iterator[Attempt],
        deadline: Monotonic,
    ) -> Outcome | None:
        """Return the first answer, the last refusal, None without either."""
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
                # It would be begun with nobody left to end it.
                task.cancel()
            self._detached.add(task)
            task.add_done_callback(self._detached.discard)


async def _run_attempt(attempt: Attempt) -> Outcome:
    return await attempt()


async def _wait_one(
    running: set[Task[Outcome]],
    delay: Seconds | None,
) -> Outcome | None:
    """Return the outcome of one that has ended, None after `patience`."""
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
    """Return the first answer, or the last refusal once all have ended."""
    while running:
        ended = await _wait_one(running, None)
        refused = ended or refused
        if _is_settled(ended):
            return ended
    return refused


def _find_hedge_delay(call: StatementCall) -> Seconds | None:
    # A transaction is open in one place only.
    if call.transaction is not None:
        return None
    return Seconds(max(MIN_HEDGE_DELAY, HEDGE_SHARE * call.objective_left))


def _is_settled(ended: Outcome | None) -> bool:
    return ended is not None and not isinstance(ended.err(), NotRun)
