"""Send a mix of reads and writes and note who served them."""

from asyncio import Task, create_task, gather, sleep
from collections import deque
from dataclasses import dataclass, field
from random import Random

from sedgeshunt.clocks import read_clock
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import GroupId
from tests.deployment import Caller, Deployment

LENGTH = 10
# Statements a second; the primary alone can run a thousand.
RATE = 700
WRITE_SHARE = 0.05
ACCEPTED_AGE = 1
AGED, TOKEN, PLAIN = 'stated age', 'token', 'no token'
KINDS = (AGED, TOKEN, PLAIN)
WEIGHTS = (0.5, 0.3, 0.2)


@dataclass(frozen=True, slots=True)
class Written:
    """Hold one acknowledged write of a caller."""

    ref: str
    token: str | None
    point: Point
    at: float


@dataclass
class ReadReport:
    """Count what callers saw."""

    spent: list[float] = field(default_factory=list)
    spent_eligible: list[float] = field(default_factory=list)
    reads: int = 0
    from_replicas: int = 0
    eligible_from_replicas: int = 0
    refused: int = 0
    violations: int = 0


class ReadLoad:
    """Send the mix of reads and writes to all proxies."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Send nothing yet."""
        self.report = ReadReport()
        self._deployment = deployment
        self._group = deployment.groups[GroupId(deployment.profile.groups[0])]
        self._random = Random(seed)
        self._written: deque[Written] = deque(maxlen=100)
        self._numbers = 0

    async def run(self) -> None:
        """Send statements at random moments."""
        tasks: set[Task[None]] = set()
        end = read_clock() + LENGTH
        while read_clock() < end:
            await sleep(self._random.expovariate(RATE))
            is_write = self._random.random() < WRITE_SHARE
            task = create_task(self._write() if is_write else self._read())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await gather(*tasks)

    async def _write(self) -> None:
        self._numbers += 1
        ref = f'r{self._numbers}'
        caller = await self._connect()
        outcome = await caller.ask(f"INSERT INTO turns (ref) VALUES ('{ref}')")
        await caller.leave()
        answer = outcome.ok()
        if answer is not None and answer.point is not None:
            self._written.append(
                Written(ref, answer.token, answer.point, read_clock()),
            )

    async def _read(self) -> None:
        kind = self._random.choices(KINDS, WEIGHTS)[0]
        known = self._choose_write(kind)
        if known is None:
            return
        # A phone that comes back goes to another proxy with its token.
        caller = await self._connect()
        if kind is TOKEN:
            caller.token = known.token
        is_eligible = self._is_eligible(kind, known)
        asked_at = read_clock()
        outcome = await caller.ask(
            f"SELECT ref FROM turns WHERE ref = '{known.ref}'",
            accepted_age=ACCEPTED_AGE if kind is AGED else None,
        )
        spent = read_clock() - asked_at
        await caller.leave()
        answer = outcome.ok()
        report = self.report
        if answer is None:
            report.refused += 1
            return
        report.spent.append(spent)
        report.reads += 1
        report.violations += not answer.rows
        leader = self._group.find_leader()
        is_replica = leader is None or answer.served_by != leader.name
        report.from_replicas += is_replica
        if is_eligible:
            report.spent_eligible.append(spent)
            report.eligible_from_replicas += is_replica

    def _choose_write(self, kind: str) -> Written | None:
        # A read of a stated age must show what is older than that age; the
        # others must show everything acknowledged before their session.
        age = ACCEPTED_AGE if kind is AGED else 0
        limit = read_clock() - age
        known = [one for one in self._written if one.at <= limit]
        return self._random.choice(known) if known else None

    def _is_eligible(self, kind: str, known: Written) -> bool:
        if kind is not TOKEN:
            return kind is AGED
        leader = self._group.find_leader()
        return any(
            known.point.is_covered_by(database.log_end)
            for database in self._group.databases.values()
            if database is not leader
        )

    async def _connect(self) -> Caller:
        caller = self._deployment.open_caller()
        names = list(self._deployment.nodes)
        await caller.connect(self._random.choice(names))
        return caller
