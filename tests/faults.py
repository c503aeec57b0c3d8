"""Bring failures about, alone, together and twice."""

from asyncio import TaskGroup, sleep
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.errors import RevisionConflict
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import ObjectKind
from sedgeshunt.configuration.registry import ConfigurationRegistry
from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.identifiers import GroupId
from tests.deployment import Deployment
from tests.ledger import Ledger, Promise
from tests.standins.databases import Database
from tests.standins.network import PLATFORM, Place
from tests.standins.platform import MemoryKeyValue

Fault = Callable[[], Awaitable[None]]
SHORTEST = 0.3
LONGEST = 3


class FaultPlan:
    """Choose and run failures by the seed."""

    def __init__(
        self,
        deployment: Deployment,
        random: Random,
        ledger: Ledger,
    ) -> None:
        """Plan nothing yet."""
        self.done: list[str] = []
        self._deployment = deployment
        self._random = random
        self._ledger = ledger
        self._group = deployment.groups[GroupId(deployment.profile.groups[0])]
        self._faults: list[Fault] = [
            self.kill_primary,
            self.kill_replica,
            self.freeze_primary,
            self.freeze_replica,
            self.cut_primary_zone,
            self.cut_zone_from_all,
            self.cut_zone_from_platform,
            self.kill_proxy,
            self.stop_proxy,
            self.break_platform,
            self.slow_platform,
            self.lose_answers,
            self.race_operators,
            self.slow_database,
            self.leave_replica_behind,
        ]

    async def run(self, end: float) -> None:
        """Bring failures about until `end`, some of them at once."""
        async with TaskGroup() as tasks:
            while read_clock() < end:
                await sleep(self._random.uniform(0.2, 1.5))
                together = self._random.choice([1, 1, 1, 2, 3])
                for fault in self._random.choices(self._faults, k=together):
                    self.done.append(fault.__name__)
                    tasks.create_task(self._run_fault(fault))

    async def settle(self, limit: float) -> None:
        """End all failures and wait until all is in force everywhere."""
        self._deployment.heal_all()
        deadline = read_clock() + limit
        while not self._is_settled():
            if read_clock() > deadline:
                self._ledger.break_promise(
                    Promise.CONFIGURATION,
                    f'not in force {limit} s after the last failure',
                )
                return
            await sleep(0.1)
        # Replicas still take in the last records.
        await sleep(1)

    async def kill_primary(self) -> None:
        """Kill the primary and restart it later."""
        await self._kill(self._find_primary())

    async def kill_replica(self) -> None:
        """Kill a replica and restart it later."""
        await self._kill(self._choose_replica())

    async def freeze_primary(self) -> None:
        """Freeze the primary and let it go on later."""
        await self._freeze(self._find_primary())

    async def freeze_replica(self) -> None:
        """Freeze a replica and let it go on later."""
        await self._freeze(self._choose_replica())

    async def cut_primary_zone(self) -> None:
        """Cut the primary's zone off from the other zones."""
        await self._cut(self._find_primary().place.zone, self._zones)

    async def cut_zone_from_all(self) -> None:
        """Cut a zone off from the others and from the platform."""
        zone = self._random.choice(list(self._zones))
        await self._cut(zone, [*self._zones, PLATFORM.name])

    async def cut_zone_from_platform(self) -> None:
        """Cut a zone off from the platform only."""
        zone = self._random.choice(list(self._zones))
        await self._cut(zone, [PLATFORM.name])

    async def kill_proxy(self) -> None:
        """Kill a proxy in the midst of its work and start it anew."""
        running = self._deployment.list_running()
        if len(running) < 2:
            return
        name = self._random.choice(running)
        await self._deployment.kill_proxy(name)
        await self._pause()
        self._deployment.start_proxy(name)

    async def stop_proxy(self) -> None:
        """Stop a proxy gracefully and start it anew."""
        running = self._deployment.list_running()
        if len(running) < 2:
            return
        name = self._random.choice(running)
        node = self._deployment.nodes[name]
        under_way = tuple(node.requests)
        was_killed = await self._deployment.stop_proxy(name)
        is_cut = any(request.cancelled() for request in under_way)
        if is_cut and not was_killed:
            self._ledger.break_promise(Promise.NO_CUT, name)
        await self._pause()
        if not self._deployment.nodes[name].is_running:
            self._deployment.start_proxy(name)

    async def break_platform(self) -> None:
        """Take the key-value service away for a while."""
        self._deployment.platform.outage()
        await self._pause()
        self._deployment.platform.recover()

    async def slow_platform(self) -> None:
        """Let the key-value service take long."""
        self._deployment.platform.slow(self._random.uniform(0.1, 2))
        await self._pause()
        self._deployment.platform.recover()

    async def lose_answers(self) -> None:
        """Lose the next answers of the key-value service."""
        self._deployment.platform.lose_next_answers(2)
        await self.race_operators()

    async def race_operators(self) -> None:
        """Let two operators change the same label at once."""
        database = self._random.choice(list(self._group.databases))
        key = ObjectKey(ObjectKind.TARGET, database)
        async with TaskGroup() as tasks:
            for operator in ('ann', 'ben'):
                tasks.create_task(self._change_label(operator, key))

    async def slow_database(self) -> None:
        """Let a database take many times as long."""
        database = self._random.choice(list(self._group.databases.values()))
        database.slow(self._random.choice([5, 30]))
        await self._pause()
        database.slow(1)

    async def leave_replica_behind(self) -> None:
        """Let one replica fall far behind."""
        database = self._choose_replica()
        database.set_lag(self._random.choice([0.5, 5]))
        await self._pause()
        database.set_lag(self._deployment.profile.lag)

    @property
    def _zones(self) -> Sequence[str]:
        return self._deployment.profile.zones

    async def _run_fault(self, fault: Fault) -> None:
        await fault()

    async def _pause(self) -> None:
        await sleep(self._random.uniform(SHORTEST, LONGEST))

    def _find_primary(self) -> Database:
        leader = self._group.find_leader()
        if leader is None:
            raise AssertionError('the group never had a primary')
        return leader

    def _choose_replica(self) -> Database:
        primary = self._find_primary()
        replicas = [
            database
            for database in self._group.databases.values()
            if database is not primary
        ]
        return self._random.choice(replicas)

    async def _kill(self, database: Database) -> None:
        database.kill()
        await self._pause()
        database.restart()

    async def _freeze(self, database: Database) -> None:
        database.freeze()
        await self._pause()
        database.thaw()

    async def _cut(self, zone: str, others: Sequence[str]) -> None:
        network = self._deployment.network
        for other in others:
            if other != zone:
                network.cut(zone, other)
        await self._pause()
        for other in others:
            network.heal(zone, other)

    async def _change_label(self, operator: str, key: ObjectKey) -> None:
        place = Place(operator, self._random.choice(list(self._zones)))
        registry = ConfigurationRegistry(
            MemoryKeyValue(self._deployment.platform, place),
            operator,
        )
        try:
            await registry.set_labels(key, {'shade': operator}, 'race')
        except (RevisionConflict, PlatformUnavailable, AnswerLost):
            return

    def _is_settled(self) -> bool:
        store = self._deployment.platform.store
        listing = store.list_matching(
            lambda path: path.startswith('/sedgeshunt/objects/'),
        )
        newest = max(pair.revision for pair in listing.pairs)
        running = self._deployment.list_running()
        return all(
            self._deployment.nodes[name].proxy.feed.snapshot.revision >= newest
            for name in running
        )
