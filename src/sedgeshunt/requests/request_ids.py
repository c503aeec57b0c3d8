"""Deduplicate requests by ids stored in the group's own database."""

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
    """Store request ids of one group and look up their results."""

    service: GroupService
    confirmation: Confirmation

    async def record(
        self,
        service: TargetService,
        connection: AcquiredConnection,
        request: Request,
        answer: Answer,
    ) -> Result[Answer, Refusal]:
        """Insert the request id within the transaction of the write."""
        if request.request_id is None:
            return Ok(answer)
        request_id = quote_text(request.request_id)
        inserted = await service.run_on(
            connection,
            request,
            'INSERT INTO request_ids (id, affected_rows, last_insert_id) '
            + f'VALUES ({request_id}, {answer.affected_rows}, '
            + f'{answer.last_insert_id})',
        )
        return Ok(answer) if isinstance(inserted, Ok) else inserted

    async def find_result(
        self,
        service: TargetService,
        connection: AcquiredConnection,
        request: Request,
        request_id: RequestId,
    ) -> Result[Answer, Refusal] | None:
        """Return the stored result of an earlier run; None if there is none."""
        # A superseded primary may still hold an earlier run that its group
        # has discarded, and follow the new primary soon after. Its log end is
        # valid only while it is primary in the term in which the row was read.
        term = self.service.find_primary_term(service.target.name)
        found = await service.run_on(
            connection,
            request,
            'SELECT affected_rows, last_insert_id FROM request_ids '
            + f'WHERE id = {quote_text(request_id)}',
        )
        if isinstance(found, Err):
            return found
        if not found.ok_value.rows:
            return None
        return await self._confirm_found(
            service,
            request,
            found.ok_value,
            term,
        )

    async def _confirm_found(
        self,
        service: TargetService,
        request: Request,
        found: Answer,
        term: Term | None,
    ) -> Result[Answer, Refusal]:
        # The earlier run may not be durable yet. Its log position is at or
        # before the primary's log end, which is read after the row.
        log_end = await self.confirmation.read_log_end(service, request, term)
        if log_end is None:
            return Err(
                Unknown(Cause.NOT_DURABLE, 'the first run is not confirmed'),
            )
        affected, inserted = found.rows[0]
        answer = Answer(
            affected_rows=int(str(affected)),
            last_insert_id=int(str(inserted)),
            point=log_end,
            served_by=service.target.name,
        )
        return await self.confirmation.confirm(request, answer)

    async def resolve(
        self,
        request: Request,
        unknown: Unknown,
    ) -> Result[Answer, Refusal]:
        """Determine by its request id whether a transaction was committed."""
        found = await self.service.find_primary(request.deadline)
        if isinstance(found, Err):
            return Err(unknown)
        target = found.ok_value
        acquired = await target.acquire(request)
        if isinstance(acquired, Err):
            return Err(unknown)
        async with acquired.ok_value as connection:
            return await self._probe_id(target, connection, request, unknown)

    async def _probe_id(
        self,
        target: TargetService,
        connection: AcquiredConnection,
        request: Request,
        unknown: Unknown,
    ) -> Result[Answer, Refusal]:
        term = self.service.find_primary_term(target.target.name)
        begun = await target.run_on(connection, request, 'BEGIN')
        if isinstance(begun, Err):
            return Err(unknown)
        # The insert blocks on an open transaction with the same id, so its
        # success proves that the first transaction was rolled back.
        probe = await self.record(target, connection, request, Answer())
        rolled_back = await target.run_on(connection, request, 'ROLLBACK')
        if isinstance(rolled_back, Err):
            connection.invalidate()
            return Err(unknown)
        if isinstance(probe, Ok):
            return Err(
                await self._confirm_rollback(target, request, unknown, term)
            )
        if request.request_id is None:
            return Err(unknown)
        stored = await self.find_result(
            target,
            connection,
            request,
            request.request_id,
        )
        return Err(unknown) if stored is None else stored

    async def _confirm_rollback(
        self,
        target: TargetService,
        request: Request,
        unknown: Unknown,
        term: Term | None,
    ) -> Refusal:
        # If a new primary fails before any replica has the first record of
        # its term, a log of the earlier term may be chosen and restore the
        # transaction. Only when a majority holds this primary's log is that
        # impossible and "not run" certain.
        log_end = await self.confirmation.read_log_end(target, request, term)
        if log_end is None:
            return unknown
        if not await self.service.view.wait_durable(log_end, request.deadline):
            return unknown
        return NotRun(unknown.cause, unknown.reason, FAILOVER_RETRY)
