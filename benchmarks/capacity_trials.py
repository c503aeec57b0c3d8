"""Run one deployment of a chosen size in virtual time."""

from asyncio import gather, sleep
from dataclasses import dataclass, replace
from enum import Enum

from msgspec.structs import replace as change

from benchmarks.capacity_idle_peer import IdlePeer
from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import (
    ConfigurationObject,
    Group,
    Proxy,
)
from sedgeshunt.identifiers import ZoneId
from sedgeshunt.ports import Address
from sedgeshunt.requests.outcome import NotRun
from tests.deployment import HOST, URUGUAY, Deployment, Profile
from tests.standins.network import Place

IDLE = 60
# Proxies without a seat try again within this time.
FIRST_SECONDS = 1.2
WARM_UP = 2
LIMIT = 60
PAUSE = 0.05
# Where nobody of the others listens.
FIRST_OTHER_PORT = 20_000


class Kind(Enum):
    """Name what a trial measures."""

    CALLS = 'calls to the key-value service'
    RETURN = 'calls after an outage of the service'
    GAP = 'failover gap'


@dataclass(frozen=True, slots=True)
class FleetTrial:
    """Describe one run."""

    kind: Kind
    proxies: int = 6
    groups: int = 1
    # Proxies declared in all; those past `proxies` serve other groups.
    declared: int = 0
    # Seats of each group; 0 stands for one for each proxy.
    seats: int = 0
    seed: int = 1


class SeatedDeployment(Deployment):
    """Declare groups with as many seats as a trial wants."""

    def __init__(self, profile: Profile, trial: FleetTrial) -> None:
        """Lay out what the trial describes."""
        super().__init__(profile, trial.seed)
        self._seats = trial.seats or trial.proxies

    def _declare(self) -> list[ConfigurationObject]:
        declared = super()._declare()
        return [self._seat(each) for each in declared]

    def _seat(self, declared: ConfigurationObject) -> ConfigurationObject:
        if isinstance(declared, Group):
            return change(declared, seats=self._seats)
        return declared


async def play(trial: FleetTrial) -> float:
    """Run one deployment and return the figure."""
    # Other names give other ranks, and with them other delays.
    names = tuple(
        f'lease-{trial.seed}-{number + 1}' for number in range(trial.groups)
    )
    profile = replace(URUGUAY, groups=names, proxies=trial.proxies)
    async with SeatedDeployment(profile, trial) as deployment:
        _declare_others(deployment, trial)
        await sleep(WARM_UP)
        if trial.kind is Kind.CALLS:
            return await _count_calls(deployment, IDLE)
        if trial.kind is Kind.RETURN:
            deployment.platform.outage()
            await sleep(IDLE)
            deployment.platform.recover()
            return await _count_calls(deployment, FIRST_SECONDS)
        return await _fail_over(deployment, trial)


def _declare_others(deployment: Deployment, trial: FleetTrial) -> None:
    zones = deployment.profile.zones
    others = [
        Proxy(
            f'p{number + 1}',
            ZoneId(zones[number % len(zones)]),
            HOST,
            FIRST_OTHER_PORT + number,
            groups='served=elsewhere',
        )
        for number in range(trial.proxies, trial.declared)
    ]
    deployment.put_objects(others)
    for other in others:
        deployment._peers.add(
            Address(other.host, other.peer_port),
            Place(other.name, other.zone),
            IdlePeer(other.name),
        )


async def _count_calls(deployment: Deployment, seconds: float) -> float:
    before = deployment.platform.counts.total()
    await sleep(seconds)
    return (deployment.platform.counts.total() - before) / seconds


async def _fail_over(deployment: Deployment, trial: FleetTrial) -> float:
    started = read_clock()
    for group in deployment.groups.values():
        primary = group.find_leader()
        if primary is not None:
            # Silent, as one whose zone has lost its power.
            primary.freeze()
    if trial.declared == 0:
        await _kill_zone(deployment)
    await gather(
        *[_write(deployment, name) for name in deployment.profile.groups]
    )
    return read_clock() - started


async def _kill_zone(deployment: Deployment) -> None:
    lost = deployment.profile.zones[0]
    for name, node in deployment.nodes.items():
        if node.place.zone == lost:
            await deployment.kill_proxy(name)


async def _write(deployment: Deployment, group: str) -> None:
    caller = deployment.open_caller(group)
    await caller.connect(deployment.list_running()[-1])
    deadline = read_clock() + LIMIT
    while read_clock() < deadline:
        outcome = await caller.ask(
            "INSERT INTO turns (ref) VALUES ('x')",
            request_id=f'after-{group}',
        )
        if outcome.is_ok():
            break
        refusal = outcome.err()
        pause = PAUSE
        if isinstance(refusal, NotRun) and refusal.retry_after:
            pause = refusal.retry_after
        await sleep(pause)
    await caller.leave()
