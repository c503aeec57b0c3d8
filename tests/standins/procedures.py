"""Answer the procedures by which a group's members are steered."""

from typing import TYPE_CHECKING

from sedgeshunt.clocks import read_clock
from sedgeshunt.exceptions import FenceRefused, TargetRejected
from sedgeshunt.identifiers import TargetId, Term
from sedgeshunt.requests.outcome import Answer, Column
from tests.standins.network import TIMER_RESOLUTION
from tests.standins.statements import Statement

if TYPE_CHECKING:
    from tests.standins.databases import Database

INTEGER, TEXT = 8, 253
STATUS_COLUMNS = (
    Column('target', TEXT),
    Column('fencing_term', INTEGER),
    Column('record_term', INTEGER),
    Column('position', INTEGER),
    Column('role', TEXT),
    Column('following', TEXT),
)


async def call_procedure(database: 'Database', statement: Statement) -> Answer:
    """Run a `CALL group_...`; it takes no slot; raise TargetRejected."""
    await database.pass_freeze()
    procedure = statement.match_call()
    given = [word.strip(' \'"') for word in procedure[2].split(',')]
    try:
        await _run(database, procedure[1].lower(), given)
    except FenceRefused as refusal:
        reason = f'{refusal.current_term} is the current term'
        raise TargetRejected(3100, 'HY000', reason) from refusal
    except (ValueError, IndexError, KeyError) as error:
        raise TargetRejected(1064, '42000', repr(error)) from error
    await database.pass_freeze()
    status = database.read_status()
    row = (
        status.target,
        status.fencing_term,
        status.log_end.term,
        status.log_end.position,
        status.role.value,
        status.following,
    )
    return Answer(columns=STATUS_COLUMNS, rows=[row])


async def _run(database: 'Database', name: str, given: list[str]) -> None:
    if name == 'status':
        known = (int(given[0]), int(given[1]), int(given[2]))
        await _wait_for_change(database, known, int(given[3]) / 1000)
        return
    term = Term(int(given[0]))
    if name == 'follow':
        database.follow(term, TargetId(given[1]))
        return
    {'fence': database.fence, 'promote': database.promote}[name](term)


async def _wait_for_change(
    database: 'Database',
    known: tuple[int, int, int],
    wait: float,
) -> None:
    until = read_clock() + wait
    first = database.read_status()
    end = first.log_end
    if known != (end.term, first.fencing_term, end.position):
        return
    last = until - TIMER_RESOLUTION
    # A change of role alone doesn't show in what the caller names.
    while database.read_status() == first and read_clock() < last:
        await database.changed.wait(until)
