"""Run writes on the current primary, at most once where that is asked."""

from dataclasses import dataclass

from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Route
from sedgeshunt.connections.pool import Loan
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import RequestId, Seconds, Term
from sedgeshunt.requests.group_service import GroupService
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Rejected,
    Unknown,
)
from sedgeshunt.requests.request import Request
from sedgeshunt.requests.target_service import TargetService

BACKSLASH = chr(92)
FAILOVER_RETRY = Seconds(0.25)


def quote_text(text: str) -> str:
    """Quote `text` as a SQL string."""
    escaped = text.replace(BACKSLASH, BACKSLASH * 2).replace("'", "''")
    return f"'{escaped}'"


def is_repeatable(request: Request) -> bool:
    """Tell whether the request may be sent a second time."""
    return request.idempotent or request.request_id is not None


@dataclass(frozen=True, slots=True)
class WriteRunner:
    """Carry one write to its outcome."""

    service: GroupService

    async def run(
        self,
        request: Request,
        route: Route,
    ) -> Result[Answer, Refusal]:
        """Run the write, again on the next primary where that is safe."""
        unsure: Unknown | None = None
        while True:
            found = await self.service.find_primary(request.deadline)
            if isinstance(found, Err):
                return Err(unsure or found.err_value)
            outcome = await self._attempt(found.ok_value, request, route)
            if isinstance(outcome, Ok):
                return outcome
            refusal = outcome.err_value
            # An attempt that may have run outweighs every later proof that
            # another one did not.
            if isinstance(refusal, Unknown):
                unsure = refusal
            if not await self._may_repeat(request, refusal):
                return Err(unsure or refusal)

    async def confirm(
        self,
        request: Request,
        answer: Answer,
    ) -> Result[Answer, Refusal]:
        """Let a committed write out once it is durable in its own term."""
        if answer.point is None:
            return Ok(answer)
        if await self.service.view.wait_durable(answer.point, request.deadline):
            return Ok(answer)
        # The record is on a primary that lost its term or cannot reach a
        # majority: acknowledging it would lose it with that primary.
        return Err(
            Unknown(
                Cause.NOT_DURABLE,
                'the write reached its primary but no majority confirmed it',
            ),
        )

    async def record_request(
        self,
        service: TargetService,
        loan: Loan,
        request: Request,
        answer: Answer,
    ) -> Result[Answer, Refusal]:
        """Insert the request id into the write's own transaction."""
        if request.request_id is None:
            return Ok(answer)
        request_id = quote_text(request.request_id)
        inserted = await service.run_on(
            loan,
            request,
            'INSERT INTO request_ids (id, affected_rows, last_insert_id) '
            + f'VALUES ({request_id}, {answer.affected_rows}, '
            + f'{answer.last_insert_id})',
        )
        return Ok(answer) if isinstance(inserted, Ok) else inserted

    async def recall(
        self,
        service: TargetService,
        loan: Loan,
        request: Request,
        request_id: RequestId,
    ) -> Result[Answer, Refusal] | None:
        """Return the stored result of an earlier run, None if none ran."""
        # A superseded primary may still hold a first run that its group has
        # dropped, and follow the new one a moment later. Its log end counts
        # only while it leads in the term in which the row was seen.
        term = self.service.find_leading_term(service.target.name)
        found = await service.run_on(
            loan,
            request,
            'SELECT affected_rows, last_insert_id FROM request_ids '
            + f'WHERE id = {quote_text(request_id)}',
        )
        if isinstance(found, Err):
            return found
        if not found.ok_value.rows:
            return None
        return await self._confirm_recalled(
            service,
            request,
            found.ok_value,
            term,
        )

    async def _confirm_recalled(
        self,
        service: TargetService,
        request: Request,
        found: Answer,
        term: Term | None,
    ) -> Result[Answer, Refusal]:
        # The earlier run may not be durable yet: its place in the log is at
        # or before the primary's end as read after the row was seen.
        tip = await self._read_tip(service, request, term)
        if tip is None:
            return Err(
                Unknown(Cause.NOT_DURABLE, 'the first run is not confirmed'),
            )
        affected, inserted = found.rows[0]
        answer = Answer(
            affected_rows=int(str(affected)),
            last_insert_id=int(str(inserted)),
            point=tip,
            served_by=service.target.name,
        )
        return await self.confirm(request, answer)

    async def _read_tip(
        self,
        service: TargetService,
        request: Request,
        term: Term | None,
    ) -> Point | None:
        if term is None:
            return None
        return await self.service.read_tip(
            service.target.name,
            term,
            request.deadline,
        )

    async def settle(
        self,
        request: Request,
        unsure: Unknown,
    ) -> Result[Answer, Refusal]:
        """Find out by its id whether a transaction was committed."""
        found = await self.service.find_primary(request.deadline)
        if isinstance(found, Err):
            return Err(unsure)
        target = found.ok_value
        lent = await target.lend(request)
        if isinstance(lent, Err):
            return Err(unsure)
        async with lent.ok_value as loan:
            return await self._probe(target, loan, request, unsure)

    async def _probe(
        self,
        target: TargetService,
        loan: Loan,
        request: Request,
        unsure: Unknown,
    ) -> Result[Answer, Refusal]:
        term = self.service.find_leading_term(target.target.name)
        begun = await target.run_on(loan, request, 'BEGIN')
        if isinstance(begun, Err):
            return Err(unsure)
        # The insert waits for an open transaction with the same id, so its
        # success proves that the first one was undone for good.
        probe = await self.record_request(target, loan, request, Answer())
        undone = await target.run_on(loan, request, 'ROLLBACK')
        if isinstance(undone, Err):
            loan.taint()
            return Err(unsure)
        if isinstance(probe, Ok):
            return Err(await self._prove_undone(target, request, unsure, term))
        if request.request_id is None:
            return Err(unsure)
        recalled = await self.recall(
            target,
            loan,
            request,
            request.request_id,
        )
        return Err(unsure) if recalled is None else recalled

    async def _prove_undone(
        self,
        target: TargetService,
        request: Request,
        unsure: Unknown,
        term: Term | None,
    ) -> Refusal:
        # A new primary that dies before anybody has its opening record
        # leaves the choice to logs of the earlier term, and the transaction
        # may come back with them. Once a majority holds this primary's log
        # it can't, and only then is "not run" true.
        tip = await self._read_tip(target, request, term)
        if tip is None:
            return unsure
        if not await self.service.view.wait_durable(tip, request.deadline):
            return unsure
        return NotRun(unsure.cause, unsure.reason, FAILOVER_RETRY)

    async def _attempt(
        self,
        service: TargetService,
        request: Request,
        route: Route,
    ) -> Result[Answer, Refusal]:
        if request.request_id is None:
            outcome = await service.run(request, route)
        else:
            outcome = await self._run_identified(service, request, route)
        if isinstance(outcome, Err):
            return outcome
        return await self.confirm(request, outcome.ok_value)

    async def _run_identified(
        self,
        service: TargetService,
        request: Request,
        route: Route,
    ) -> Result[Answer, Refusal]:
        admitted = await service.admission.admit(
            route.traffic_class,
            route.weight,
            request.deadline,
        )
        if isinstance(admitted, Err):
            return admitted
        with admitted.ok_value.measure() as measured:
            lent = await service.lend(request)
            if isinstance(lent, Err):
                return lent
            async with lent.ok_value as loan:
                outcome = await self._run_transaction(service, loan, request)
            measured.ok = not isinstance(outcome.err(), Unknown)
        return outcome

    async def _run_transaction(
        self,
        service: TargetService,
        loan: Loan,
        request: Request,
    ) -> Result[Answer, Refusal]:
        begun = await service.run_on(loan, request, 'BEGIN')
        if isinstance(begun, Err):
            return Err(_note_not_run(begun.err_value))
        outcome = await service.run_on(loan, request, request.sql)
        if isinstance(outcome, Ok):
            outcome = await self.record_request(
                service,
                loan,
                request,
                outcome.ok_value,
            )
        if isinstance(outcome, Err):
            return await self._undo(service, loan, request, outcome.err_value)
        committed = await service.run_on(loan, request, 'COMMIT')
        if isinstance(committed, Err):
            return committed
        answer = outcome.ok_value
        return Ok(
            Answer(
                affected_rows=answer.affected_rows,
                last_insert_id=answer.last_insert_id,
                point=committed.ok_value.point,
                served_by=service.target.name,
            ),
        )

    async def _undo(
        self,
        service: TargetService,
        loan: Loan,
        request: Request,
        refusal: Refusal,
    ) -> Result[Answer, Refusal]:
        """Roll back, and see whether an earlier run explains the refusal."""
        # No COMMIT was sent, so the target drops the transaction when its
        # connection closes: nothing of it can ever be kept.
        if not loan.is_clean:
            return Err(_note_not_run(refusal))
        rolled_back = await service.run_on(loan, request, 'ROLLBACK')
        if isinstance(rolled_back, Err):
            loan.taint()
            return Err(_note_not_run(refusal))
        if isinstance(refusal, Rejected) and request.request_id:
            # A repeat meets its own first run in the caller's unique keys
            # or in the id's: both mean that the first run's result stands.
            recalled = await self.recall(
                service,
                loan,
                request,
                request.request_id,
            )
            if recalled is not None:
                return recalled
        return Err(refusal)

    async def _may_repeat(self, request: Request, refusal: Refusal) -> bool:
        if read_clock() >= request.deadline or isinstance(refusal, Rejected):
            return False
        if isinstance(refusal, Unknown):
            repeatable = is_repeatable(request)
        else:
            repeatable = refusal.cause in {
                Cause.SUPERSEDED,
                Cause.CONNECTION_LOST,
            }
        return repeatable and await self.service.may_retry(request.deadline)


def _note_not_run(refusal: Refusal) -> Refusal:
    if isinstance(refusal, Unknown):
        return NotRun(refusal.cause, refusal.reason, FAILOVER_RETRY)
    return refusal
