"""Admit calls to a target in the order of their classes and objectives."""

from functools import partial

from result import Err, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.limits.admission import TargetAdmission
from sedgeshunt.limits.permit import Permit
from sedgeshunt.limits.service_times import WorkKind
from sedgeshunt.limits.standing import Flow, StandingQueue
from sedgeshunt.requests.outcome import Cause, NotRun
from sedgeshunt.statements.call import StatementCall

# Each priority gets twice as many slots of a busy target as the next one.
_WEIGHTS = (16, 8, 4, 2, 1)


class CallAdmission:
    """Admit calls to one target and record how long they waited."""

    def __init__(self, admission: TargetAdmission) -> None:
        """Start without a standing queue."""
        self._admission = admission
        self._standing_queue = StandingQueue()

    async def admit(
        self,
        call: StatementCall,
        deadline: Monotonic,
        arrived_at: Monotonic,
        *,
        is_begun: bool = False,
    ) -> Result[Permit, NotRun]:
        """Return a permit, or refuse a call that comes too late."""
        admitted = await self._admission.admit(
            call.traffic_class,
            weigh_priority(call.priority),
            deadline,
            kind=WorkKind(call.kind.value),
            customer=call.identity.customer,
            is_begun=is_begun,
            due=partial(self.find_due, call, deadline, arrived_at),
        )
        if isinstance(admitted, Err):
            self.note_refused(call, admitted.err_value)
        return admitted

    def find_refusal(
        self,
        call: StatementCall,
        deadline: Monotonic,
        arrived_at: Monotonic,
    ) -> NotRun | None:
        """Return the refusal if a call would be refused a slot now."""
        refusal = self._admission.find_refusal(
            call.traffic_class,
            weigh_priority(call.priority),
            deadline,
            kind=WorkKind(call.kind.value),
            customer=call.identity.customer,
            due=partial(self.find_due, call, deadline, arrived_at),
        )
        if refusal is not None:
            self.note_refused(call, refusal)
        return refusal

    def find_due(
        self,
        call: StatementCall,
        deadline: Monotonic,
        arrived_at: Monotonic,
    ) -> Monotonic:
        """Return the time by which the call's answer is due."""
        now = read_clock()
        objective_left = Seconds(call.objective_left - (now - arrived_at))
        return min(
            self._standing_queue.find_due_time(
                flow, objective_left, deadline, now
            )
            for flow in _list_flows(call)
        )

    def note_wait(self, call: StatementCall, arrived_at: Monotonic) -> None:
        """Record that a call has its slot and its connection."""
        now = read_clock()
        waited = Seconds(now - arrived_at)
        for flow in _list_flows(call):
            self._standing_queue.note_wait(
                flow, waited, call.objective_left, now
            )

    def note_refused(self, call: StatementCall, refusal: NotRun) -> None:
        """Record a refusal of a call that has not run."""
        if refusal.cause is Cause.OVERLOAD:
            now = read_clock()
            for flow in _list_flows(call):
                self._standing_queue.note_refusal(flow, now)


def _list_flows(call: StatementCall) -> set[Flow]:
    return {
        Flow(call.traffic_class),
        Flow(call.traffic_class, call.identity.customer),
    }


def weigh_priority(priority: int) -> int:
    """Return the weight of a priority in a busy target's queue."""
    return _WEIGHTS[min(max(priority, 0), len(_WEIGHTS) - 1)]
