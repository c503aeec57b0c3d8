"""Keep request ids in the group's own database, so that it decides."""

from dataclasses import dataclass

from result import Err, Ok, Result

from sedgeshunt.connections.pool import AcquiredConnection
from sedgeshunt.identifiers import RequestId, Seconds, Term
from sedgeshunt.requests.confirmation import Confirmation
from sedgeshunt.requests.group_service import GroupService
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
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


@dataclass(frozen=True, slots=True)
class RequestIds:
    """Record the ids of one group's requests and find them again."""

    service: GroupService
    confirmation: Confirmation

    async def record(
        self,
        service: TargetService,
        loan: AcquiredConnection,
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
        loan: AcquiredConnection,
        request: Request,
        request_id: RequestId,
    ) -> Result[Answer, Refusal] | None:
        """Return the stored result of an earlier run, None if none ran."""
        # A superseded primary may still hold a first run that its group has
        # dropped, and follow the new one a moment later. Its log end counts
        # only while it leads in the term in which the row was seen.
        term = self.service.find_primary_term(service.target.name)
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
        tip = await self.confirmation.read_log_end(service, request, term)
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
        return await self.confirmation.confirm(request, answer)

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
        lent = await target.acquire(request)
        if isinstance(lent, Err):
            return Err(unsure)
        async with lent.ok_value as loan:
            return await self._probe(target, loan, request, unsure)

    async def _probe(
        self,
        target: TargetService,
        loan: AcquiredConnection,
        request: Request,
        unsure: Unknown,
    ) -> Result[Answer, Refusal]:
        term = self.service.find_primary_term(target.target.name)
        begun = await target.run_on(loan, request, 'BEGIN')
        if isinstance(begun, Err):
            return Err(unsure)
        # The insert waits for an open transaction with the same id, so its
        # success proves that the first one was undone for good.
        probe = await self.record(target, loan, request, Answer())
        undone = await target.run_on(loan, request, 'ROLLBACK')
        if isinstance(undone, Err):
            loan.invalidate()
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
        tip = await self.confirmation.read_log_end(target, request, term)
        if tip is None:
            return unsure
        if not await self.service.view.wait_durable(tip, request.deadline):
            return unsure
        return NotRun(unsure.cause, unsure.reason, FAILOVER_RETRY)
