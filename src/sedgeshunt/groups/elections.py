"""Win one term: fence a majority, promote its best log, lead the rest."""

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
# With a majority fenced, the others get this long: one of them may hold
# more of the log, or be the only one that is not leaving.
STRAGGLER_TIME = Seconds(0.05)


def is_fenced_for(status: TargetStatus, term: Term) -> bool:
    """Tell whether the answer to a fence shows it in force."""
    # A rival may have fenced the target again before it answered; its log
    # end is then not the one that it had when this fence stopped it.
    return status.fencing_term == term and status.role is Role.FENCED


async def fence_members(
    links: Sequence[TargetMonitor],
    term: Term,
    majority: int,
) -> list[TargetStatus]:
    """Fence all that answer in time and return what they answered."""
    fenced: list[TargetStatus] = []
    async with AsyncExitStack() as owned:
        tasks = {create_task(link.fence(term)) for link in links}
        owned.callback(_cancel_all, tuple(tasks))
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
    """Return the fenced target that has all acknowledged writes."""
    # Choosing before the fence, or out of fewer than a majority, would miss
    # the target that a write was acknowledged on meanwhile: its caller would
    # find the write gone.
    if len(fenced) < majority:
        return Err(f'fenced {len(fenced)} where {majority} are needed')
    preferred = [status for status in fenced if status.target not in avoided]
    # Avoided ones may be left out only if the rest is a majority by itself.
    pool = preferred if len(preferred) >= majority else fenced
    return Ok(
        max(
            pool,
            key=lambda status: (
                status.log_end,
                status.target not in leaving,
                # Two proxies that each miss another target would hand the
                # lead to and fro; drawn anew in each term, it comes to one
                # that both can reach.
                compute_weight(status.fencing_term, status.target),
            ),
        ),
    )


async def promote_target(
    link: TargetMonitor,
    term: Term,
) -> Result[TargetStatus, str]:
    """Promote the chosen target."""
    try:
        status = await link.promote(term)
    except (SedgeshuntError, OSError) as error:
        # It may lead already. Nobody else is promoted in this term, so the
        # worst is a primary that the next term's fence supersedes.
        return Err(f'{link.target} was not promoted: {error!r}')
    if status.role is not Role.PRIMARY or status.fencing_term != term:
        return Err(f'{link.target} was superseded at once')
    return Ok(status)


async def repoint_replicas(
    links: Iterable[TargetMonitor],
    term: Term,
    primary: TargetId,
) -> None:
    """Tell all others to follow; who misses it is repaired later."""
    async with AsyncExitStack() as owned:
        tasks = [
            create_task(link.follow(term, primary))
            for link in links
            if link.target != primary
        ]
        owned.callback(_cancel_all, tasks)
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
