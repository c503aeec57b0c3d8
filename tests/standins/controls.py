"""Call the group's procedures over a connection, as a proxy does."""

from re import compile as compile_pattern

from sedgeshunt.exceptions import FenceRefused, TargetRejected
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.status import Role, TargetStatus
from sedgeshunt.identifiers import Position, Seconds, TargetId, Term
from sedgeshunt.ports import ControlConnection, TargetConnection
from sedgeshunt.requests.outcome import Answer

FENCE_REFUSED = 3100
FIRST_NUMBER = compile_pattern(r'\d+')


class MemoryControl(ControlConnection):
    """Call the group's procedures over a connection of its own."""

    def __init__(self, connection: TargetConnection, target: TargetId) -> None:
        """Use `connection` for control calls only."""
        self._connection = connection
        self._target = target

    async def read_status(
        self,
        known: TargetStatus | None,
        wait: Seconds,
    ) -> TargetStatus:
        """Answer once the status differs from `known` or `wait` is over."""
        given = '-1, -1, -1'
        if known is not None:
            end = known.log_end
            given = f'{end.term}, {known.fencing_term}, {end.position}'
        return await self._call('status', f'{given}, {int(wait * 1000)}')

    async def fence(self, term: Term) -> TargetStatus:
        """Raise the target's term; raise FenceRefused."""
        return await self._call('fence', str(term))

    async def promote(self, term: Term) -> TargetStatus:
        """Let the target lead in `term`; raise FenceRefused."""
        return await self._call('promote', str(term))

    async def follow(self, term: Term, primary: TargetId) -> TargetStatus:
        """Let the target copy from `primary`; raise FenceRefused."""
        return await self._call('follow', f"{term}, '{primary}'")

    async def close(self) -> None:
        """Hang up."""
        await self._connection.close()

    async def _call(self, procedure: str, given: str) -> TargetStatus:
        try:
            answer = await self._connection.execute(
                f'CALL group_{procedure}({given})',
            )
        except TargetRejected as refusal:
            number = FIRST_NUMBER.match(refusal.reason)
            if refusal.code != FENCE_REFUSED or number is None:
                raise
            raise FenceRefused(self._target, int(number[0])) from refusal
        return _parse_status(answer)


def _parse_status(answer: Answer) -> TargetStatus:
    row = dict(
        zip((column.name for column in answer.columns), answer.rows[0]),
    )
    following = row['following']
    return TargetStatus(
        target=TargetId(str(row['target'])),
        fencing_term=Term(int(str(row['fencing_term']))),
        log_end=Point(
            Term(int(str(row['record_term']))),
            Position(int(str(row['position']))),
        ),
        role=Role(row['role']),
        following=None if following is None else TargetId(str(following)),
    )
