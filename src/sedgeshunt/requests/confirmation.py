"""Acknowledge committed writes once they are durable."""

from dataclasses import dataclass

from result import Err, Ok, Result

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Term
from sedgeshunt.requests.group_service import GroupService
from sedgeshunt.requests.outcome import Answer, Cause, Refusal, Unknown
from sedgeshunt.requests.request import Request
from sedgeshunt.requests.target_service import TargetService


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Wait until a majority of one group holds a write."""

    service: GroupService

    async def confirm(
        self,
        request: Request,
        answer: Answer,
    ) -> Result[Answer, Refusal]:
        """Return the answer once its write is durable in its own term."""
        if answer.point is None:
            return Ok(answer)
        if await self.service.view.wait_durable(answer.point, request.deadline):
            return Ok(answer)
        # The primary lost its term or cannot reach a majority. The record
        # would be lost with that primary, so it must not be acknowledged.
        return Err(
            Unknown(
                Cause.NOT_DURABLE,
                'the write reached its primary but no majority confirmed it',
            ),
        )

    async def read_log_end(
        self,
        service: TargetService,
        request: Request,
        term: Term | None,
    ) -> Point | None:
        """Return the target's log end; None if it is not primary in `term`."""
        if term is None:
            return None
        return await self.service.read_log_end(
            service.target.name,
            term,
            request.deadline,
        )
