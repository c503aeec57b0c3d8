"""Let callers act on whole proxies and hold all promises against it."""

from asyncio import sleep
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from random import seed
from typing import Any

from result import Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import GroupId
from sedgeshunt.requests.outcome import Answer, NotRun, Refusal, Unknown
from tests.deployment import Caller, Deployment, Profile, ProxyGone
from tests.faults import FaultPlan
from tests.features.promise_time import VirtualTime
from tests.ledger import Ledger, Promise, WriteNote
from tests.standins.databases import Database
from tests.standins.engine import DatabaseGroup
from tests.standins.records import EventKind

GROUP = 'songbook'
PROFILE = Profile(
    zone_latency=0.0015,
    groups=(GROUP,),
    slots=3,
    connection_limit=20,
)
SETTLE = 12
WORK_PAUSE = 0.1
SEED = 1


@dataclass(frozen=True)
class Told:
    """Hold what a caller was told, and how long it took."""

    outcome: Result[Answer, Refusal] | None
    spent: float

    @property
    def word(self) -> str:
        """Name the outcome in one word."""
        if self.outcome is None:
            return 'cut off'
        refusal = self.outcome.err()
        if refusal is None:
            return 'done'
        if isinstance(refusal, NotRun):
            return 'not run'
        return 'unknown' if isinstance(refusal, Unknown) else 'rejected'


class PromiseBench(VirtualTime):
    """Run one deployment in virtual time, with its callers."""

    def __init__(self, profile: Profile = PROFILE) -> None:
        """Start all and wait until it serves."""
        super().__init__()
        self.ledger = Ledger()
        self.told: dict[str, Told] = {}
        self.answer_within: float | None = None
        # Set while a proxy stops gracefully, which must cut nobody off.
        self.is_stopping = False
        # Further checks at the end, each of which may break a promise.
        self.checks: list[Callable[[], None]] = []
        self._callers: dict[str, Caller] = {}
        # The proxies draw from the global generator.
        seed(SEED)
        self.deployment = Deployment(profile, SEED)
        self.run(self.deployment.__aenter__())

    @property
    def group(self) -> DatabaseGroup:
        """Return the group that all callers use."""
        return self.deployment.groups[GroupId(GROUP)]

    def wait_committed(self, ref: str) -> None:
        """Wait until a database has committed `ref`."""
        mark = f"'{ref}'"
        self.wait_until(
            lambda: bool(self.group.list_events(EventKind.COMMITTED, mark)),
        )

    def get_caller(self, name: str) -> Caller:
        """Return the caller of that name."""
        if name not in self._callers:
            self._callers[name] = self.deployment.open_caller(GROUP)
        return self._callers[name]

    def find_primary(self) -> Database:
        """Return whoever was promoted last."""
        leader = self.group.find_leader()
        assert leader is not None
        return leader

    async def ask(self, name: str, sql: str, **attributes: Any) -> Told:
        """Send one statement of a caller."""
        started = read_clock()
        outcome = None
        with suppress(ProxyGone):
            outcome = await self.get_caller(name).ask(sql, **attributes)
        told = Told(outcome, read_clock() - started)
        self.told[name] = told
        if outcome is None and self.is_stopping:
            self.ledger.break_promise(Promise.NO_CUT, name)
        limit = self.answer_within
        if limit is not None and told.spent > limit:
            detail = f'{name} waited {told.spent:.3f} s'
            self.ledger.break_promise(Promise.DEADLINE, detail)
        return told

    async def write(self, name: str, ref: str, **attributes: Any) -> Told:
        """Write one row and note what the caller was told."""
        self.note(ref, is_repeatable=bool(attributes.get('idempotent')))
        told = await self.ask(name, make_insert(ref), **attributes)
        self.conclude([ref], told)
        return told

    async def read(
        self,
        name: str,
        refs: Iterable[str],
        promise: Promise = Promise.READ_YOUR_WRITES,
        **attributes: Any,
    ) -> Told:
        """Read rows that must be there."""
        wanted = list(refs)
        tag = f'read-{name}'
        listed = ', '.join(f"'{ref}'" for ref in wanted)
        told = await self.ask(
            name,
            f"SELECT '{tag}' UNION ALL "
            + f'SELECT ref FROM turns WHERE ref IN ({listed})',
            **attributes,
        )
        if told.outcome is not None:
            self.ledger.note_read(told.outcome, wanted, promise, tag)
        return told

    async def work(self, name: str, proxy: str, seconds: float) -> None:
        """Let a caller write and read in turn at one proxy."""
        await self.get_caller(name).connect(proxy)
        end = read_clock() + seconds
        number = 0
        while read_clock() < end:
            number += 1
            ref = f'{name}-{number}'
            told = await self.write(name, ref)
            if told.word == 'done':
                await self.read(name, [ref])
            await sleep(WORK_PAUSE)

    def note(self, ref: str, is_repeatable: bool = False) -> WriteNote:
        """Note that a row is about to be written."""
        return self.ledger.writes.setdefault(
            ref,
            WriteNote(ref, is_repeatable, 0),
        )

    def conclude(self, refs: Iterable[str], told: Told) -> None:
        """Note what a caller was told of rows."""
        for ref in refs:
            note = self.note(ref)
            if told.outcome is None:
                note.is_refused = False
            else:
                self.ledger.note_write(note, told.outcome, 0)

    def check(self) -> list[str]:
        """End all failures and name the promises that were broken."""
        self.finish()
        for check in self.checks:
            check()
        plan = FaultPlan(self.deployment, self.deployment.random, self.ledger)
        self.run(plan.settle(SETTLE))
        self.ledger.check_group(self.group)
        return [
            f'{violation.promise.value}: {violation.detail}'
            for violation in self.ledger.violations
        ]

    def close(self) -> None:
        """Stop everything."""
        self.cancel_watches()
        self.run(self.deployment.__aexit__(None, None, None))
        super().close()


def make_insert(ref: str, tag: str | None = None) -> str:
    """Return the statement that writes `ref`, marked with its owner."""
    return f"INSERT INTO turns (ref) VALUES ('{ref}') /* tag={tag or ref} */"
