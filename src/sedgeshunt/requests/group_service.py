"""Serve one group: its targets, its observed state and its routes."""

from asyncio import sleep
from collections.abc import Callable

from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Group, Route, Target
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.connections.shares import compute_share
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.status import Role
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    Seconds,
    TargetId,
    Term,
    ZoneId,
)
from sedgeshunt.limits.budget import RetryBudget
from sedgeshunt.requests.outcome import Cause, NotRun
from sedgeshunt.requests.routes import RouteTable
from sedgeshunt.requests.target_service import TargetService
from sedgeshunt.routing.assessor import meets_need
from sedgeshunt.routing.catch_up import CatchUpEstimator
from sedgeshunt.routing.choice import Ranking, ReadNeed, ReadRouter
from sedgeshunt.routing.health import GroupHealth, TargetHealth
from sedgeshunt.routing.recent_choices import RecentChoices
from sedgeshunt.routing.views import Load

CHECK_INTERVAL = Seconds(0.05)
RETRY_DELAY = Seconds(0.02)
NO_PRIMARY_RETRY = Seconds(0.5)
# Writes that may wait for a promotion; further ones are refused at once.
MAX_WAITING_WRITES = 512

ServiceFactory = Callable[[Group, Target, TargetHealth], TargetService]


class GroupService:
    """Hold the state that a proxy needs to serve one group."""

    def __init__(
        self,
        group: Group,
        view: GroupView,
        zone: ZoneId,
        health: GroupHealth,
        make_service: ServiceFactory,
    ) -> None:
        """Start without targets; apply() adds them."""
        self.group = group
        self.view = view
        self.budget = RetryBudget()
        self.catch_up = CatchUpEstimator()
        self.targets: list[Target] = []
        self.services: dict[TargetId, TargetService] = {}
        self._loads: dict[TargetId, Load] = {}
        self._router = ReadRouter(zone, health, self._loads)
        self._make_service = make_service
        self.routes = RouteTable()
        self._recent = RecentChoices()
        self._waiting_writes = 0

    @property
    def name(self) -> GroupId:
        """Return the name of the group."""
        return self.group.name

    async def apply(self, snapshot: Snapshot) -> None:
        """Apply a new configuration."""
        self.group = snapshot.groups[self.name]
        self.targets = snapshot.list_targets(self.name)
        self.routes.apply(self.group, snapshot)
        wanted = {target.name: target for target in self.targets}
        for name in set(self.services) - set(wanted):
            self._loads.pop(name, None)
            await self.services.pop(name).pool.close()
        self._router.health.keep_only(wanted)
        for name, target in wanted.items():
            await self._apply_target(name, target)

    async def find_primary(
        self,
        deadline: Monotonic,
    ) -> Result[TargetService, NotRun]:
        """Return the primary; wait for a promotion until `deadline`."""
        service = self._get_primary()
        if service is not None:
            return Ok(service)
        if self._waiting_writes >= MAX_WAITING_WRITES:
            return Err(self._refuse_write('too many writes wait already'))
        self._waiting_writes += 1
        try:
            return await self._wait_primary(deadline)
        finally:
            self._waiting_writes -= 1

    def find_primary_term(self, target: TargetId) -> Term | None:
        """Return the term of the target if it was last seen as primary."""
        status = self.view.get_status(target)
        if status is None or status.role is not Role.PRIMARY:
            return None
        return status.fencing_term

    async def read_log_end(
        self,
        target: TargetId,
        term: Term,
        deadline: Monotonic,
    ) -> Point | None:
        """Return the primary's log end, read after this call started.

        Return None if the target is no longer primary in `term`.
        """
        since = read_clock()
        while read_clock() < deadline:
            seen = self.view.get_observation(target)
            if seen is not None and seen.asked_at >= since:
                is_primary = self.find_primary_term(target) == term
                return seen.status.log_end if is_primary else None
            self.view.request_frequent_polls()
            await self.view.wait_change(deadline)
        return None

    async def wait_for_retry(self, deadline: Monotonic) -> bool:
        """Take from the retry budget and delay; return whether to retry."""
        if not self.budget.try_spend():
            return False
        await sleep(RETRY_DELAY)
        return read_clock() < deadline

    def replace_targets(self, targets: list[Target]) -> None:
        """Replace the targets by ones with an updated leaving state."""
        self.targets = targets
        for target in targets:
            self.services[target.name].target = target

    def rank(
        self,
        route: Route,
        need: ReadNeed,
        now: Monotonic,
        *,
        may_probe: bool = True,
    ) -> Ranking:
        """Rank the targets for a read."""
        ranking = self._router.rank(
            self.view,
            self.targets,
            route,
            need,
            now,
            may_probe=may_probe,
        )
        self._recent.record(route.traffic_class, ranking, now)
        return ranking

    def pick_recent(
        self,
        route: Route,
        need: ReadNeed,
        now: Monotonic,
    ) -> TargetId | None:
        """Return the replica of the last read if it can serve this one too."""
        name = self._recent.find(route.traffic_class, now)
        service = None if name is None else self.services.get(name)
        if service is None or not service.is_free():
            return None
        if not self.view.is_responsive(service.target.name, now):
            return None
        return name if self.meets_need(service, need, now) else None

    def meets_need(
        self,
        service: TargetService,
        need: ReadNeed,
        now: Monotonic,
    ) -> bool:
        """Return whether the target holds the data that the read requires."""
        return meets_need(self.view, service.target.name, need, now)

    def find_replica_wait(
        self,
        ranking: Ranking,
        need: ReadNeed,
        deadline: Monotonic,
    ) -> Seconds | None:
        """Return how long to wait for a replica; None for no wait."""
        replica = ranking.catch_up_candidate
        if replica is None:
            return None
        now = read_clock()
        primary_wait = None
        if ranking.eligible:
            primary = self.services[ranking.eligible[0]]
            primary_wait = primary.admission.expected_wait(now)
        return self.catch_up.choose_wait(
            replica,
            need.point,
            now,
            deadline,
            primary_wait,
        )

    def is_target_reachable(self, target: TargetId) -> bool:
        """Return whether the target currently answers."""
        return self.view.is_responsive(target, read_clock())

    async def watch_targets(self, refresh: Callable[[], None]) -> None:
        """End waits for targets that stop answering, until cancelled."""
        was_reachable: dict[TargetId, bool] = {}
        while True:
            refresh()
            for name, service in tuple(self.services.items()):
                is_reachable = self.is_target_reachable(name)
                if is_reachable:
                    service.mark_reachable()
                elif was_reachable.get(name):
                    service.mark_unreachable()
                    await service.pool.drop_idle()
                was_reachable[name] = is_reachable
            await sleep(CHECK_INTERVAL)

    async def track_replica_lag(self) -> None:
        """Measure the replication lag of the replicas, until cancelled."""
        await self.catch_up.track(self.view, lambda: self.services)

    async def resize(self, *, is_seated: bool) -> None:
        """Set the pool sizes: a full share with a seat, the minimum without."""
        limits = (self.group.connection_limit, self.group.seats)
        share = compute_share(*limits)
        size = share.seated if is_seated else share.unseated
        for service in self.services.values():
            await service.resize(size)

    async def close(self) -> None:
        """Close the connections to all targets."""
        for service in self.services.values():
            await service.pool.close()

    def _get_primary(self) -> TargetService | None:
        primary = self.view.get_primary()
        if primary is None or not self.view.reaches_majority():
            return None
        return self.services.get(primary)

    async def _wait_primary(
        self,
        deadline: Monotonic,
    ) -> Result[TargetService, NotRun]:
        while read_clock() < deadline:
            # Without a reachable majority, no write can be acknowledged and
            # no target promoted, so waiting would only delay the refusal.
            if not self.view.reaches_majority():
                return Err(
                    self._refuse_write('no majority of its targets answers'),
                )
            await self.view.wait_change(deadline)
            service = self._get_primary()
            if service is not None:
                return Ok(service)
        return Err(self._refuse_write('its primary is being replaced'))

    def _refuse_write(self, reason: str) -> NotRun:
        return NotRun(
            Cause.NO_PRIMARY,
            f'group {self.name} takes no writes now: {reason}',
            NO_PRIMARY_RETRY,
        )

    async def _apply_target(self, name: TargetId, target: Target) -> None:
        known = self.services.get(name)
        if known is None:
            self._add_service(name, target)
            return
        moved = (known.target.host, known.target.port) != (
            target.host,
            target.port,
        )
        known.target = target
        if moved:
            await known.pool.close()
            self._add_service(name, target)

    def _add_service(self, name: TargetId, target: Target) -> None:
        health = self._router.health.get(name)
        service = self._make_service(self.group, target, health)
        self.services[name] = service
        self._loads[name] = service.admission
