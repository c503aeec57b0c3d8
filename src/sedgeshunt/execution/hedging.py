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
SHORTEST_HEDGE = Seconds(0.15)

Outcome = Result[Answer, Refusal]
Attempt = Callable[[], Awaitable[Outcome]]


class Hedger:
    """Run attempts of one read, the next when the last seems lost."""

    def __init__(self) -> None:
        """Start with a budget of its own."""
        self._budget = RetryBudget()
        # Attempts that were overtaken: cutting them off would cost their
        # connection, and the target has done the work anyway.
        self._overtaken: set[Task[Outcome]] = set()

    async def run(
        self,
        call: StatementCall,
        attempts: Iterator[Attempt],
        deadline: Monotonic,
    ) -> Outcome | None:
        """Return the first answer, the last refusal, None without attempts."""
        self._budget.note_request()
        running: set[Task[Outcome]] = set()
        refused: Outcome | None = None
        try:
            while self._start_next(attempts, running):
                answered = await _wait_one(running, _find_patience(call))
                if answered is None:
                    if not self._budget.try_spend():
                        break
                    continue
                refused = answered
                if not isinstance(refused.err(), NotRun):
                    return refused
                if read_clock() >= deadline:
                    return refused
            while running:
                answered = await _wait_one(running, None)
                refused = answered or refused
                if answered and not isinstance(answered.err(), NotRun):
                    return answered
            return refused
        finally:
            self._leave(running, call)

    def _start_next(
        self,
        attempts: Iterator[Attempt],
        running: set[Task[Outcome]],
    ) -> bool:
        attempt = next(attempts, None)
        if attempt is None:
            return False
        running.add(create_task(_call(attempt)))
        return True

    def _leave(
        self,
        running: set[Task[Outcome]],
        call: StatementCall,
    ) -> None:
        for task in running:
            if call.transaction is not None:
                # It would be begun with nobody left to end it.
                task.cancel()
            self._overtaken.add(task)
            task.add_done_callback(self._overtaken.discard)


async def _call(attempt: Attempt) -> Outcome:
    return await attempt()


async def _wait_one(
    running: set[Task[Outcome]],
    patience: Seconds | None,
) -> Outcome | None:
    """Return the outcome of one that has ended, None after `patience`."""
    done, _ = await wait(
        running,
        timeout=patience,
        return_when=FIRST_COMPLETED,
    )
    if not done:
        return None
    ended = done.pop()
    running.discard(ended)
    return ended.result()


def _find_patience(call: StatementCall) -> Seconds | None:
    # A transaction is open in one place only.
    if call.transaction is not None:
        return None
    return Seconds(max(SHORTEST_HEDGE, HEDGE_SHARE * call.aim_left))
