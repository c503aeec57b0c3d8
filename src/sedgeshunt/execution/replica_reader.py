"""Read from a group's replicas within the caller's staleness bound."""

from collections.abc import Callable, Mapping
from functools import partial

from result import Err, Result

from sedgeshunt.clocks import read_boottime, read_clock
from sedgeshunt.configuration.objects import Group
from sedgeshunt.connections.target_session import TargetSessionConnector
from sedgeshunt.execution.hedging import Hedger
from sedgeshunt.execution.placement import PlacementEstimate, rank_places
from sedgeshunt.execution.replica import Replica
from sedgeshunt.execution.runner import (
    begin_transaction,
    run_in_transaction,
)
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.execution.transactions import TransactionTable
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    Monotonic,
    Seconds,
    TargetId,
    ZoneId,
)
from sedgeshunt.membership.readers import ReaderShare
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.registry.directory import GroupMembers, KnownTarget
from sedgeshunt.requests.outcome import Answer, Cause, NotRun, Refusal
from sedgeshunt.routing.freshness_history import FreshnessHistory
from sedgeshunt.routing.lag_forecast import LagForecast
from sedgeshunt.statements.call import StatementCall

# The caller measures a commit's age from when its acknowledgement arrived,
# this proxy from when it read the log end. They differ by a network delay.
AGE_MARGIN = Seconds(0.1)
STALE_RETRY = Seconds(0.2)
# Each reader may use this multiple of its equal share of a replica's slots
# before reads are tried elsewhere, as callers are spread unevenly.
SLOT_OVERCOMMIT = 2


class ReplicaReader:
    """Choose replicas for reads and run the reads there."""

    def __init__(
        self,
        group: GroupId,
        zone: ZoneId,
        configuration: LiveConfiguration,
        connector: TargetSessionConnector,
        freshness: FreshnessHistory,
        find_share: Callable[[Group, ZoneId], ReaderShare | None],
    ) -> None:
        """Start without connections; reads open them."""
        self.group = group
        self._zone = zone
        self._configuration = configuration
        self._connector = connector
        self.freshness = freshness
        self._find_share = find_share
        self._replicas: dict[TargetId, Replica] = {}
        self._hedger = Hedger(is_last_resort=False)

    async def apply_configuration(self) -> None:
        """Apply a new list of targets."""
        members = self._configuration.find_members(self.group)
        shares = {} if members is None else self._find_shares(members)
        await self._close_unlisted(
            {known.target.name: known for known, share in shares.values()},
        )
        for known, share in shares.values():
            self._update_replica(known, share)

    def _find_shares(
        self,
        members: GroupMembers,
    ) -> dict[TargetId, tuple[KnownTarget, ReaderShare]]:
        shares = (
            (known, self._find_share(members.group, known.target.zone))
            for known in list_replicas(members)
        )
        return {
            known.target.name: (known, share)
            for known, share in shares
            if share is not None
        }

    async def _close_unlisted(
        self,
        listed: Mapping[TargetId, KnownTarget],
    ) -> None:
        for name, replica in tuple(self._replicas.items()):
            # A new incarnation has no prepared statements, and the known state
            # of its log is void.
            if replica.is_superseded_by(listed.get(name)):
                await self._replicas.pop(name).executor.close()

    def has_replicas(self) -> bool:
        """Return whether this instance has a share of the replicas."""
        return bool(self._replicas)

    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Try the replicas in turn until one can serve the read."""
        required = self._find_required(call)
        if required is None:
            return Err(self._refuse('the age of no replica can be proved'))
        usable = self._list_usable(required)
        if not usable:
            return Err(self._refuse('no replica is known to be recent enough'))
        if call.is_prompt and not _has_free_slot(usable, call):
            return Err(_refuse_queueing(self.group))
        attempts = (
            partial(self._try, replica, call, transactions, deadline, required)
            for replica in self._rank(usable, call, required)
        )
        outcome = await self._hedger.run(call, attempts, deadline)
        return outcome or Err(self._refuse('no replica can serve'))

    def list_executors(self) -> list[TargetExecutor]:
        """Return the executor of each replica."""
        return [replica.executor for replica in self._replicas.values()]

    async def close(self) -> None:
        """Close all connections."""
        for replica in self._replicas.values():
            await replica.executor.close()

    def _find_required(self, call: StatementCall) -> Point | None:
        since = Boottime(read_boottime() - call.max_age + AGE_MARGIN)
        return self.freshness.find_covering(since, call.after)

    async def _try(
        self,
        replica: Replica,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
        required: Point,
    ) -> Result[Answer, Refusal]:
        replica.note_request(required)
        outcome = await _run_at(replica, call, transactions, deadline, required)
        replica.record_outcome(outcome.err(), required)
        return outcome

    def _list_usable(self, required: Point) -> list[Replica]:
        now = read_clock()
        return [
            replica
            for replica in self._replicas.values()
            if replica.avoided_until <= now and replica.may_have(required)
        ]

    def _rank(
        self,
        usable: list[Replica],
        call: StatementCall,
        required: Point,
    ) -> list[Replica]:
        now = read_clock()
        for replica in usable:
            replica.note_arrival()
        estimate = partial(self._estimate, required=required, now=now)
        return rank_places(usable, estimate, call.objective_left)

    def _estimate(
        self,
        replica: Replica,
        required: Point,
        now: Monotonic,
    ) -> PlacementEstimate:
        admission = replica.executor.admission
        return PlacementEstimate(
            admission.expected_wait(now),
            admission.latency,
            is_near=replica.known.target.zone == self._zone,
            has_point=replica.has_reached(required),
            saturation=replica.saturation.value,
        )

    def _update_replica(self, known: KnownTarget, share: ReaderShare) -> None:
        name = known.target.name
        max_connections = share.connections
        concurrency = self._find_concurrency(known, max_connections)
        replica = self._replicas.get(name)
        if replica is None:
            replica = Replica(
                known,
                TargetExecutor(
                    known.target,
                    self._connector,
                    max_connections,
                    concurrency,
                ),
                LagForecast(self.freshness),
            )
            self._replicas[name] = replica
        replica.executor.resize(max_connections, concurrency)
        part = SLOT_OVERCOMMIT * known.slots / max(1, share.readers)
        replica.max_running = max(1, round(part))

    def _find_concurrency(self, known: KnownTarget, share: int) -> int:
        # With a connection per customer there are more connections than
        # statements that a target runs at once.
        if self._configuration.has_customers():
            return min(share, known.slots)
        return share

    def _refuse(self, reason: str) -> NotRun:
        return NotRun(
            Cause.TOO_STALE,
            f'group {self.group}: {reason}',
            STALE_RETRY,
        )


def list_replicas(members: GroupMembers) -> list[KnownTarget]:
    """List the replicas that may be read from."""
    return [
        known
        for known in members.targets
        if not known.is_primary and not known.target.is_leaving()
    ]


def _has_free_slot(replicas: list[Replica], call: StatementCall) -> bool:
    return any(
        replica.executor.has_free_slot(call, replica.max_running)
        for replica in replicas
    )


def _refuse_queueing(group: GroupId) -> NotRun:
    reason = f'group {group}: its replicas have no place free'
    return NotRun(Cause.OVERLOAD, reason, STALE_RETRY)


async def _run_at(
    replica: Replica,
    call: StatementCall,
    transactions: TransactionTable,
    deadline: Monotonic,
    required: Point,
) -> Result[Answer, Refusal]:
    executor = replica.executor
    if call.transaction is None:
        return await executor.run_single(call, deadline, required)
    begun = await begin_transaction(
        executor, call, transactions, deadline, required
    )
    if isinstance(begun, Err):
        return begun
    return await run_in_transaction(
        begun.ok_value, call, transactions, deadline
    )
