"""Run callers against complete proxies and check all promises."""

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
SETTLE_TIME = 12
WORK_PAUSE = 0.1
SEED = 1


@dataclass(frozen=True)
class CallerResult:
    """Hold the outcome of a caller's statement and its duration."""

    outcome: Result[Answer, Refusal] | None
    spent: float

    @property
    def outcome_name(self) -> str:
        """Return the name of the outcome."""
        if self.outcome is None:
            return 'cut off'
        refusal = self.outcome.err()
        if refusal is None:
            return 'done'
        if isinstance(refusal, NotRun):
            return 'not run'
        return 'unknown' if isinstance(refusal, Unknown) else 'rejected'


class PromiseBench(VirtualTime):
    """Run one deployment and its callers in virtual time."""

    def __init__(self, profile: Profile = PROFILE) -> None:
        """Start the deployment and wait until it serves."""
        super().__init__()
        self.ledger = Ledger()
        self.results: dict[str, CallerResult] = {}
        self.answer_within: float | None = None
        # Set while a proxy stops gracefully, which must not cut any request.
        self.is_stopping = False
        # Additional checks at the end, each of which may record a violation.
        self.checks: list[Callable[[], None]] = []
        self._callers: dict[str, Caller] = {}
        # The proxies use the global random generator.
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
        """Return the database that was promoted last."""
        leader = self.group.find_leader()
        assert leader is not None
        return leader

    async def ask(self, name: str, sql: str, **attributes: Any) -> CallerResult:
        """Send one statement of a caller and record the result."""
        started = read_clock()
        outcome = None
        with suppress(ProxyGone):
            outcome = await self.get_caller(name).ask(sql, **attributes)
        result = CallerResult(outcome, read_clock() - started)
        self.results[name] = result
        if outcome is None and self.is_stopping:
            self.ledger.break_promise(Promise.NO_CUT, name)
        limit = self.answer_within
        if limit is not None and result.spent > limit:
            detail = f'{name} waited {result.spent:.3f} s'
            self.ledger.break_promise(Promise.DEADLINE, detail)
        return result

    async def write(
        self, name: str, ref: str, **attributes: Any
    ) -> CallerResult:
        """Write one row and record the outcome."""
        self.note(ref, is_repeatable=bool(attributes.get('idempotent')))
        result = await self.ask(name, make_insert(ref), **attributes)
        self.record_outcome([ref], result)
        return result

    async def read(
        self,
        name: str,
        refs: Iterable[str],
        promise: Promise = Promise.READ_YOUR_WRITES,
        **attributes: Any,
    ) -> CallerResult:
        """Read rows that must exist."""
        wanted = list(refs)
        tag = f'read-{name}'
        listed = ', '.join(f"'{ref}'" for ref in wanted)
        result = await self.ask(
            name,
            f"SELECT '{tag}' UNION ALL "
            + f'SELECT ref FROM turns WHERE ref IN ({listed})',
            **attributes,
        )
        if result.outcome is not None:
            self.ledger.note_read(result.outcome, wanted, promise, tag)
        return result

    async def work(self, name: str, proxy: str, seconds: float) -> None:
        """Alternate writes and reads of one caller at one proxy."""
        await self.get_caller(name).connect(proxy)
        end = read_clock() + seconds
        number = 0
        while read_clock() < end:
            number += 1
            ref = f'{name}-{number}'
            result = await self.write(name, ref)
            if result.outcome_name == 'done':
                await self.read(name, [ref])
            await sleep(WORK_PAUSE)

    def note(self, ref: str, is_repeatable: bool = False) -> WriteNote:
        """Record that a row is about to be written."""
        return self.ledger.writes.setdefault(
            ref,
            WriteNote(ref, is_repeatable, 0),
        )

    def record_outcome(self, refs: Iterable[str], result: CallerResult) -> None:
        """Record the outcome of writing rows."""
        for ref in refs:
            note = self.note(ref)
            if result.outcome is None:
                note.is_refused = False
            else:
                self.ledger.note_write(note, result.outcome, 0)

    def check(self) -> list[str]:
        """End all faults and return the promises that were broken."""
        self.finish()
        for check in self.checks:
            check()
        plan = FaultPlan(self.deployment, self.deployment.random, self.ledger)
        self.run(plan.settle(SETTLE_TIME))
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
    """Return the statement that writes `ref`, tagged with its caller."""
    return f"INSERT INTO turns (ref) VALUES ('{ref}') /* tag={tag or ref} */"
