"""Run callers against random failures and check every promise."""

from asyncio import CancelledError, Runner, Task, TaskGroup, create_task, sleep
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from random import seed as seed_global

from result import Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import DecisionKind
from sedgeshunt.identifiers import GroupId
from sedgeshunt.requests.outcome import Answer, Refusal
from tests.deployment import Caller, Deployment, Profile, ProxyGone
from tests.faults import FaultPlan
from tests.ledger import Ledger, Promise, WriteNote
from tests.virtual_time import make_loop

CALLERS = 6
LENGTH = 8
SETTLE = 12
TOKEN_LOSS = 0.3
ROLLBACK_SHARE = 0.2


@dataclass(frozen=True)
class HistoryReport:
    """Hold what one random history showed."""

    seed: int
    ledger: Ledger
    faults: list[str]
    decisions: dict[str, int]


@dataclass
class CallerScript:
    """Act as one caller until the time is over."""

    name: str
    deployment: Deployment
    ledger: Ledger
    random: Random
    end: float
    caller: Caller
    own: list[str] = field(default_factory=list)
    # Own writes that the token covers; a read of stated age without the
    # token need not show them.
    carried: list[str] = field(default_factory=list)
    numbers: int = 0

    async def run(self) -> None:
        """Send requests one after the other."""
        actions: list[Callable[[], Awaitable[None]]] = [
            self.write_once,
            self.write_once,
            self.write_with_id,
            self.write_idempotent,
            self.run_transaction,
            self.read_own,
            self.read_own,
            self.read_own,
            self.read_aged,
            self.read_aged,
            self.roam,
        ]
        await self.roam()
        while read_clock() < self.end:
            action = self.random.choice(actions)
            try:
                await action()
            except ProxyGone:
                await self.roam()
            await sleep(self.random.uniform(0.01, 0.15))
        await self.caller.leave()

    async def roam(self) -> None:
        """Go to another proxy, sometimes with no token."""
        while True:
            running = self.deployment.list_running()
            with suppress(ProxyGone):
                if running:
                    await self.caller.connect(self.random.choice(running))
                    break
            await sleep(0.05)
        if self.random.random() < TOKEN_LOSS:
            self.caller.token = None
            self.carried.clear()

    async def write_once(self) -> None:
        """Write with neither an id nor leave to repeat."""
        note = self._note()
        await self._write(note, self._insert(note.ref))

    async def write_idempotent(self) -> None:
        """Write with leave to repeat."""
        note = self._note(is_repeatable=True)
        await self._write(note, self._insert(note.ref), idempotent=True)

    async def write_with_id(self) -> None:
        """Write with an id, and again elsewhere until it is done."""
        note = self._note()
        for _ in range(4):
            sql = self._insert(note.ref)
            with suppress(ProxyGone):
                await self._write(note, sql, request_id=note.ref)
            if note.acknowledged_at is not None:
                return
            await self.roam()
            await sleep(self.random.uniform(0.01, 0.3))

    async def run_transaction(self) -> None:
        """Write two rows in one transaction and end it either way."""
        begun = await self.caller.ask('BEGIN')
        if begun.is_err():
            return
        first = self._note()
        second = self._note()
        is_whole = True
        for note in (first, second):
            outcome = await self.caller.ask(self._insert(note.ref, first.ref))
            is_whole = is_whole and outcome.is_ok()
            await sleep(self.random.uniform(0, 0.02))
        end = 'COMMIT'
        if not is_whole or self.random.random() < ROLLBACK_SHARE:
            end = 'ROLLBACK'
        await self._end_transaction(end, first, second)

    async def read_own(self) -> None:
        """Read some of the caller's own acknowledged writes."""
        wanted = self.random.sample(self.own, min(3, len(self.own)))
        outcome, tag = await self._read(wanted, None)
        self.ledger.note_read(outcome, wanted, Promise.READ_YOUR_WRITES, tag)

    async def read_aged(self) -> None:
        """Read what everybody wrote before the accepted age."""
        age = self.random.choice([0.05, 0.3, 1])
        known = self.ledger.list_acknowledged(read_clock() - age)[-5:]
        wanted = known + self.carried[-2:]
        outcome, tag = await self._read(wanted, age)
        self.ledger.note_read(outcome, wanted, Promise.AGE, tag)

    def _note(self, is_repeatable: bool = False) -> WriteNote:
        self.numbers += 1
        ref = f'{self.name}-{self.numbers}'
        note = WriteNote(ref, is_repeatable, read_clock())
        self.ledger.writes[ref] = note
        return note

    def _insert(self, ref: str, tag: str | None = None) -> str:
        mark = f'/* tag={tag or ref} */'
        return f"INSERT INTO turns (ref) VALUES ('{ref}') {mark}"

    async def _write(
        self,
        note: WriteNote,
        sql: str,
        request_id: str | None = None,
        idempotent: bool = False,
    ) -> None:
        deadline = self.random.choice([0.5, 2])
        limit = read_clock() + deadline
        try:
            outcome = await self.caller.ask(
                sql,
                deadline=deadline,
                request_id=request_id,
                idempotent=idempotent,
            )
        except ProxyGone:
            note.is_refused = False
            raise
        now = read_clock()
        self.ledger.note_time(limit, now, sql)
        self.ledger.note_write(note, outcome, now)
        if outcome.is_ok():
            self._keep(note)

    def _keep(self, note: WriteNote) -> None:
        self.own.append(note.ref)
        self.carried.append(note.ref)

    async def _end_transaction(
        self,
        end: str,
        first: WriteNote,
        second: WriteNote,
    ) -> None:
        limit = read_clock() + 2
        try:
            outcome = await self.caller.ask(end)
        except ProxyGone:
            first.is_refused = end == 'ROLLBACK'
            second.is_refused = end == 'ROLLBACK'
            raise
        now = read_clock()
        self.ledger.note_time(limit, now, end)
        if end == 'ROLLBACK':
            return
        for note in (first, second):
            self.ledger.note_write(note, outcome, now)
            if outcome.is_ok():
                self._keep(note)

    async def _read(
        self,
        wanted: list[str],
        age: float | None,
    ) -> tuple[Result[Answer, Refusal], str]:
        self.numbers += 1
        tag = f'read-{self.name}-{self.numbers}'
        refs = ', '.join(f"'{ref}'" for ref in wanted) or "''"
        limit = read_clock() + 2
        outcome = await self.caller.ask(
            f"SELECT '{tag}' AS ref UNION ALL "
            + f'SELECT ref FROM turns WHERE ref IN ({refs})',
            accepted_age=age,
        )
        self.ledger.note_time(limit, read_clock(), tag)
        return outcome, tag


class RevisionMonitor:
    """Watch that no proxy's configuration ever goes back."""

    def __init__(self, deployment: Deployment, ledger: Ledger) -> None:
        """Know no revision yet."""
        self._deployment = deployment
        self._ledger = ledger
        self._highest: dict[int, int] = {}

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            for node in self._deployment.nodes.values():
                key = id(node.proxy)
                revision = node.proxy.feed.snapshot.revision
                if revision < self._highest.get(key, 0):
                    detail = f'{node.place.name} went back to {revision}'
                    self._ledger.break_promise(Promise.CONFIGURATION, detail)
                self._highest[key] = revision
            await sleep(0.05)


async def play(profile: Profile, seed: int) -> HistoryReport:
    """Run one history and check it."""
    random = Random(seed)
    seed_global(seed)
    ledger = Ledger()
    async with Deployment(profile, seed) as deployment:
        plan = FaultPlan(deployment, random, ledger)
        end = read_clock() + LENGTH
        watching: list[Task[None]] = [
            create_task(RevisionMonitor(deployment, ledger).run()),
        ]
        async with TaskGroup() as tasks:
            tasks.create_task(plan.run(end))
            for number in range(CALLERS):
                tasks.create_task(
                    CallerScript(
                        f'c{number}',
                        deployment,
                        ledger,
                        Random(seed * CALLERS + number),
                        end,
                        deployment.open_caller(),
                    ).run(),
                )
        await plan.settle(SETTLE)
        for task in watching:
            task.cancel()
            with suppress(CancelledError):
                await task
        group = deployment.groups[GroupId(profile.groups[0])]
        ledger.check_group(group)
        decisions = {
            kind.value: deployment.count_decisions(kind)
            for kind in DecisionKind
        }
        if decisions[DecisionKind.INVARIANT_BROKEN.value]:
            ledger.break_promise(Promise.INVARIANT, 'see the decisions')
        return HistoryReport(seed, ledger, plan.done, decisions)


def run_history(profile: Profile, seed: int) -> HistoryReport:
    """Run one history on a virtual clock of its own."""
    with Runner(loop_factory=make_loop) as runner:
        return runner.run(play(profile, seed))
