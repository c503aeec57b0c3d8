"""Carry one caller's statements to its session, in the protocol's terms."""

from collections.abc import Mapping

from msgspec.structs import replace
from result import Err, Ok, Result

from sedgeshunt.adapters.local_answers import NO_WARNINGS, answer_selection
from sedgeshunt.adapters.refusals import IN_TRANSACTION, NO_GROUP, is_unserved
from sedgeshunt.adapters.request_maker import RequestMaker
from sedgeshunt.adapters.session_state import SessionState
from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import GroupId, Monotonic, TraceId
from sedgeshunt.requests.attribute_values import Attributes
from sedgeshunt.requests.attributes import read_attributes
from sedgeshunt.requests.gate import (
    CallerGate,
    CallerSession,
)
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.requests.request import Request, StatementKind
from sedgeshunt.requests.statements import check_statement, split_first_word

Outcome = Result[Answer, Refusal]

DONE = Ok(Answer())
_ENDS = frozenset((StatementKind.COMMIT, StatementKind.ROLLBACK))


class Conversation:
    """Run one caller's statements in their order."""

    __slots__ = ('_gate', '_is_unserved', '_maker', '_session', 'state')

    def __init__(
        self,
        gate: CallerGate,
        state: SessionState,
        trace: TraceId,
    ) -> None:
        """Start without a group."""
        self.state = state
        self._gate = gate
        self._maker = RequestMaker(state, trace)
        self._is_unserved = False
        self._session: CallerSession | None = None

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open."""
        return self._session is not None and self._session.in_transaction

    async def run(
        self,
        sql: str,
        query_attributes: Mapping[str, object],
    ) -> Outcome:
        """Run one statement."""
        arrived = read_clock()
        checked = check_statement(sql, in_transaction=self.in_transaction)
        if isinstance(checked, Err):
            return checked
        kind = checked.ok_value
        if kind is StatementKind.SESSION:
            local = await self._run_local(sql)
            if local is not None:
                return local
            kind = StatementKind.READ
        attributes = read_attributes(
            query_attributes,
            sql,
            self.state.defaults,
        )
        if isinstance(attributes, Err):
            return attributes
        return await self._run_request(
            sql,
            kind,
            attributes.ok_value,
            arrived,
        )

    async def use(self, group: GroupId) -> Outcome:
        """Go on with another group; a session's token goes along."""
        if self.in_transaction:
            reason = 'a transaction is open; end it before changing the group'
            return Err(IN_TRANSACTION.reject(reason))
        left = self._session
        self._session = await self._gate.open_session(group, self._maker.trace)
        self.state.group = group
        if left is None:
            return DONE
        await left.close()
        return await self._bring(left.token)

    async def reset(self) -> Outcome:
        """Undo an open transaction and all that the caller has set."""
        undone = await self._end(StatementKind.ROLLBACK)
        self.state.reset()
        return undone

    async def close(self) -> None:
        """Undo an open transaction; the caller has left."""
        if self._session is not None:
            await self._session.close()

    async def _run_request(
        self,
        sql: str,
        kind: StatementKind,
        attributes: Attributes,
        arrived: Monotonic,
    ) -> Outcome:
        session = await self._find_session()
        if session is None:
            return Err(NO_GROUP)
        if kind in _ENDS and not session.in_transaction:
            return DONE
        request = self._maker.make(session, sql, kind, attributes, arrived)
        begun = await self._begin(session, request)
        if isinstance(begun, Err):
            return begun
        outcome = await session.answer(request)
        if isinstance(outcome, Ok):
            self._note(session, kind, outcome.ok_value)
        else:
            self._is_unserved = is_unserved(outcome.err_value)
        return outcome

    async def _find_session(self) -> CallerSession | None:
        # A proxy that has just started learns its groups a little later; a
        # caller that was quicker must not be refused for ever.
        if self._is_unserved and self.state.group is not None:
            self._is_unserved = False
            await self.use(self.state.group)
        return self._session

    async def _begin(
        self,
        session: CallerSession,
        request: Request,
    ) -> Outcome:
        # Many drivers turn autocommit off for good. A read then opens no
        # transaction: it would hold one of few connections for as long as
        # the caller's user thinks.
        is_write = request.kind is StatementKind.WRITE
        if self.state.autocommit or session.in_transaction or not is_write:
            return DONE
        return await session.answer(
            replace(request, sql='BEGIN', kind=StatementKind.BEGIN),
        )

    async def _end(self, kind: StatementKind) -> Outcome:
        session = self._session
        if session is None or not session.in_transaction:
            return DONE
        return await session.answer(self._maker.make_end(session, kind))

    async def _bring(self, token: str) -> Outcome:
        # Without its token, a caller that comes back to a group would no
        # longer read what it wrote there.
        session = self._session
        if session is None or not token:
            return DONE
        return await session.answer(
            self._maker.make_end(session, StatementKind.ROLLBACK, token),
        )

    async def _run_local(self, sql: str) -> Outcome | None:
        word, body = split_first_word(sql)
        if word == 'SET':
            return await self._set(body)
        if word == 'USE':
            return await self.use(GroupId(body.strip(' \t\r\n;`')))
        if word == 'SHOW':
            return Ok(NO_WARNINGS)
        token = '' if self._session is None else self._session.token
        return answer_selection(body, self.state, token)

    async def _set(self, body: str) -> Outcome:
        checked = self.state.check(body)
        if isinstance(checked, Err):
            return checked
        change = checked.ok_value
        if change.autocommit and not self.state.autocommit:
            # As the protocol has it, turning autocommit on commits.
            committed = await self._end(StatementKind.COMMIT)
            if isinstance(committed, Err):
                return committed
        self.state.apply(change)
        return DONE

    def _note(
        self,
        session: CallerSession,
        kind: StatementKind,
        answer: Answer,
    ) -> None:
        if answer.last_insert_id:
            self.state.last_insert_id = answer.last_insert_id
        is_write = kind is StatementKind.WRITE or kind is StatementKind.COMMIT
        if is_write and not session.in_transaction:
            self.state.spend_request_id()
