"""Call the procedures by which a target is asked and steered."""

from asyncio import timeout
from collections.abc import Mapping
from re import compile as compile_pattern

from sedgeshunt.exceptions import FenceRefused, TargetLost, TargetRejected
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.status import Role, TargetStatus
from sedgeshunt.identifiers import Position, Seconds, TargetId, Term
from sedgeshunt.ports import ControlConnection, TargetConnection
from sedgeshunt.requests.outcome import Answer

# Time for a call on top of what it was asked to wait.
CALL_TIMEOUT = Seconds(2)
NO_WAIT = Seconds(0)
FENCE_REFUSED = 3100
# Differs from every status, so that the target answers at once.
NOTHING_KNOWN = (-1, -1, -1)

_CURRENT_TERM = compile_pattern(r'\d+')


class MysqlControl(ControlConnection):
    """Ask one target about its place in the group and change it."""

    def __init__(self, connection: TargetConnection, target: TargetId) -> None:
        """Own `connection` for control calls only."""
        self._connection = connection
        self._target = target

    async def read_status(
        self,
        known: TargetStatus | None,
        wait: Seconds,
    ) -> TargetStatus:
        """Answer once the status differs from `known` or `wait` is over."""
        told = NOTHING_KNOWN
        if known is not None:
            end = known.log_end
            told = (end.term, known.fencing_term, end.position)
        return await self._call('status', *told, round(wait * 1000), wait=wait)

    async def fence(self, term: Term) -> TargetStatus:
        """Accept only a `term` above the target's; raise FenceRefused."""
        return await self._call('fence', term)

    async def promote(self, term: Term) -> TargetStatus:
        """Lead in `term`, once, if fenced for it; raise FenceRefused."""
        return await self._call('promote', term)

    async def follow(self, term: Term, primary: TargetId) -> TargetStatus:
        """Drop what `primary` lacks and copy it; raise FenceRefused."""
        quoted = primary.replace('\\', r'\\').replace("'", "''")
        return await self._call('follow', term, f"'{quoted}'")

    async def close(self) -> None:
        """Drop the connection at once; closing twice does no harm."""
        await self._connection.close()

    async def _call(
        self,
        procedure: str,
        *given: object,
        wait: Seconds = NO_WAIT,
    ) -> TargetStatus:
        listed = ', '.join(str(one) for one in given)
        try:
            async with timeout(wait + CALL_TIMEOUT):
                answer = await self._connection.execute(
                    f'CALL group_{procedure}({listed})',
                )
        except TimeoutError as failure:
            raise TargetLost(self._target, 'no answer in time') from failure
        except TargetRejected as refusal:
            raise self._explain(refusal) from refusal
        return self._read_status(answer)

    def _explain(self, refusal: TargetRejected) -> Exception:
        current = _CURRENT_TERM.match(refusal.reason)
        if refusal.code != FENCE_REFUSED or current is None:
            return refusal
        return FenceRefused(self._target, int(current[0]))

    def _read_status(self, answer: Answer) -> TargetStatus:
        names = [column.name for column in answer.columns]
        try:
            return _parse_status(dict(zip(names, answer.rows[0], strict=True)))
        except (LookupError, ValueError) as failure:
            reason = f'its status can not be read: {failure!r}'
            raise TargetLost(self._target, reason) from failure


def _parse_status(row: Mapping[str, object]) -> TargetStatus:
    following = _read_cell(row['following'])
    return TargetStatus(
        target=TargetId(_read_cell(row['target'])),
        fencing_term=Term(int(_read_cell(row['fencing_term']))),
        log_end=Point(
            Term(int(_read_cell(row['record_term']))),
            Position(int(_read_cell(row['position']))),
        ),
        role=Role(_read_cell(row['role'])),
        following=TargetId(following) if following else None,
    )


def _read_cell(cell: object) -> str:
    if isinstance(cell, bytes):
        return cell.decode()
    return '' if cell is None else str(cell)
