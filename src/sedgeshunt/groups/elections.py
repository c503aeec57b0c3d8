"""Fence a majority for a term and promote the member with the best log."""

from asyncio import FIRST_COMPLETED, Task, create_task, wait
from collections.abc import Collection, Iterable, Sequence, Set
from contextlib import AsyncExitStack

from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.groups.deadlines import has_passed
from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.groups.status import Role, TargetStatus
from sedgeshunt.groups.target_monitor import TargetMonitor
from sedgeshunt.identifiers import Seconds, TargetId, Term

FENCE_TIMEOUT = Seconds(0.6)
FOLLOW_TIMEOUT = Seconds(0.6)
# Wait for further members once a majority is fenced: one of them may have a
# longer log, or be the only one that isn't leaving.
STRAGGLER_TIME = Seconds(0.05)


def is_fenced_for(status: TargetStatus, term: Term) -> bool:
    """Return whether the answer shows the fence for `term` in force."""
    # Another proxy may have fenced the target again before it answered. Its
    # log end then isn't the one from when this fence stopped it.
    return status.fencing_term == term and status.role is Role.FENCED


async def fence_members(
    monitors: Sequence[TargetMonitor],
    term: Term,
    majority: int,
) -> list[TargetStatus]:
    """Fence the members and return the statuses of those that succeeded."""
    fenced: list[TargetStatus] = []
    async with AsyncExitStack() as stack:
        tasks = {create_task(monitor.fence(term)) for monitor in monitors}
        stack.callback(_cancel_all, tuple(tasks))
        deadline = read_clock() + FENCE_TIMEOUT
        while tasks and not has_passed(deadline):
            done, tasks = await wait(
                tasks,
                timeout=deadline - read_clock(),
                return_when=FIRST_COMPLETED,
            )
            fenced.extend(_collect_fenced(done, term))
            if len(fenced) >= majority:
                deadline = min(deadline, read_clock() + STRAGGLER_TIME)
    return fenced


def choose_candidate(
    fenced: Collection[TargetStatus],
    majority: int,
    avoided: Set[TargetId],
    leaving: Set[TargetId],
) -> Result[TargetStatus, str]:
    """Return a fenced target whose log has all acknowledged writes."""
    # A choice made before the fence, or among fewer than a majority, could
    # miss the target that holds a write acknowledged in the meantime. That
    # write would be lost.
    if len(fenced) < majority:
        return Err(f'fenced {len(fenced)} where {majority} are needed')
    preferred = [status for status in fenced if status.target not in avoided]
    # Avoided targets may be skipped only if the rest still is a majority.
    pool = preferred if len(preferred) >= majority else fenced
    return Ok(
        max(
            pool,
            key=lambda status: (
                status.log_end,
                status.target not in leaving,
                # With a fixed tie-break, two proxies that each can't reach
                # a different target would replace each other's primary
                # again and again. A weight per term ends this at a target
                # that both can reach.
                compute_weight(status.fencing_term, status.target),
            ),
        ),
    )


async def promote_target(
    monitor: TargetMonitor,
    term: Term,
) -> Result[TargetStatus, str]:
    """Promote the chosen target."""
    try:
        status = await monitor.promote(term)
    except (SedgeshuntError, OSError) as error:
        # The target may have been promoted. No other target is promoted in
        # this term, and the fence of the next term supersedes it.
        return Err(f'{monitor.target} was not promoted: {error!r}')
    if status.role is not Role.PRIMARY or status.fencing_term != term:
        return Err(f'{monitor.target} was superseded at once')
    return Ok(status)


async def repoint_replicas(
    monitors: Iterable[TargetMonitor],
    term: Term,
    primary: TargetId,
) -> None:
    """Make all other targets follow `primary`.

    Targets that don't answer in time are repaired by their monitors later.
    """
    async with AsyncExitStack() as stack:
        tasks = [
            create_task(monitor.follow(term, primary))
            for monitor in monitors
            if monitor.target != primary
        ]
        stack.callback(_cancel_all, tasks)
        if tasks:
            done, _late = await wait(tasks, timeout=FOLLOW_TIMEOUT)
            for task in done:
                _read_outcome(task)


def _collect_fenced(
    done: Iterable[Task[TargetStatus]],
    term: Term,
) -> list[TargetStatus]:
    statuses = [_read_outcome(task) for task in done]
    return [
        status
        for status in statuses
        if status is not None and is_fenced_for(status, term)
    ]


def _read_outcome(task: Task[TargetStatus]) -> TargetStatus | None:
    error = task.exception()
    if error is None:
        return task.result()
    if isinstance(error, (SedgeshuntError, OSError)):
        return None
    raise error


def _cancel_all(tasks: Iterable[Task[TargetStatus]]) -> None:
    for task in tasks:
        task.cancel()
