"""Run proxies as processes under random faults and check what callers see."""

from argparse import ArgumentParser, Namespace
from asyncio import create_task, gather, sleep, wait_for
from collections import Counter
from collections.abc import Awaitable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from math import inf
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGTERM, default_int_handler, signal
from sys import exit as leave
from time import time

from sedgeshunt.clocks import read_clock
from tests.combined_faults import (
    COMBINED_FAULTS,
    COMBINED_KEY_FAULTS,
    STARVING_FAULTS,
    WHOLE_FAULTS,
)
from tests.features.linked_bench import LinkedBench
from tests.features.platform_bench import CONFIGURATION
from tests.link_faults import LINK_FAULTS
from tests.owner_periods import (
    Overlap,
    ProxyHistory,
    list_overlaps,
    list_violations,
    read_lines,
)
from tests.order_faults import ORDER_FAULTS
from tests.process_faults import PROCESS_FAULTS
from tests.soak_judge import Asked, Breach, Judge, Rule
from tests.soak_scene import NAMES, Fault, Scene
from tests.store_faults import KEY_FAULTS, STORE_FAULTS
from tests.wire_session import Session, SessionDrained

CALLERS = 8
# Faults that overlap, and the pause between two of a series, in seconds.
SERIES = 2
LONGEST_PAUSE = 1.5
# A statement that nobody answers in this time counts as waited for in vain:
# the route's 0.8 s, the longest pause of a process and a margin.
PATIENCE = 6.0
# After the last fault writes must work again within this time.
RECOVERY = 12.0
STATEMENTS = 12
PAUSE = 0.02
# Of a proxy's log, if a promise was broken.
MAX_LINES = 12
# Violations of one rule that are printed for one seed.
MAX_OF_KIND = 3
MAX_LINE = 300
# Share of statements before which a caller sets a session value.
SET_SHARE = 0.3
# Share of statements before which a caller reads what the proxy has sent.
READ_SHARE = 0.5
CURRENT, OWN_WRITES = 'kigali', 'catalogue'
FAULTS: dict[str, tuple[Fault, ...]] = {
    'processes': PROCESS_FAULTS,
    'links': LINK_FAULTS,
    'store': STORE_FAULTS,
    'keys': KEY_FAULTS,
    'starving': STARVING_FAULTS,
    'orders': ORDER_FAULTS,
    'combined': COMBINED_FAULTS,
    'combined-keys': COMBINED_KEY_FAULTS,
    'whole': WHOLE_FAULTS,
}
# The platform doesn't take keys before their leases end.
KINDS = ('processes', 'links', 'store', 'starving', 'combined')
# Ends of texts that a proxy or a target could take for the end of a message or
# a field, or for another message.
TEXT_ENDS = (
    '',
    '\n',
    '\r',
    '  two  words ',
    '\nQUERY x9 WRITE item0 smuggled',
    '\rCOMPLETE -\nREADY I -',
    '\x00\x85\u2028',
)
PROMISES = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY'),
)


@dataclass
class Notes:
    """Hold what one caller knows of its own item."""

    item: str
    acknowledged: str = ''
    # Values whose writes are in doubt, and may take effect at any time.
    in_doubt: set[str] = field(default_factory=set)
    # Whether the present session is on a route to the primary.
    is_at_primary: bool = False
    # Values that the present session has set.
    values: dict[str, str] = field(default_factory=dict)

    def may_be(self, found: str) -> bool:
        """Tell whether a read may find a value."""
        return found == self.acknowledged or found in self.in_doubt


@dataclass
class Soak:
    """Hold one seeded run."""

    seed: int
    bench: LinkedBench
    kinds: Sequence[str] = KINDS
    # If given, this fault happens once, and no other.
    only: Fault | None = None
    random: Random = field(init=False)
    scene: Scene = field(init=False)
    faults: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    promised: set[str] = field(default_factory=set)
    # The text of each statement, and the session values that it must run with.
    texts: dict[str, str] = field(default_factory=dict)
    values: dict[str, dict[str, str]] = field(default_factory=dict)
    breaches: list[Breach] = field(default_factory=list)
    overlaps: list[Overlap] = field(default_factory=list)
    claims: int = 0
    # What the proxies logged of interest, if a promise was broken.
    warnings: list[str] = field(default_factory=list)
    until: float = 0
    ids: 'count[int]' = field(default_factory=lambda: count(1))

    def __post_init__(self) -> None:
        """Draw everything from the seed."""
        self.random = Random(self.seed)
        self.scene = Scene(self.bench, self.random)

    async def run(self, seconds: float) -> None:
        """Let callers and faults go on for some time, then check."""
        self.until = read_clock() + seconds
        notes = [Notes(f'item{number}') for number in range(CALLERS)]
        following = create_task(self.scene.follow_owner())
        await gather(
            *self._list_series(),
            *(self._call(one) for one in notes),
        )
        await self._check_recovery(notes)
        following.cancel()
        self._check_runs()
        self._judge()
        if self.violations:
            self.warnings = [
                f'{name}: {line[:MAX_LINE]}'
                for name, log in self.bench.read_logs().items()
                for line in _list_warnings(log)
            ]

    def _list_series(self) -> list[Awaitable[None]]:
        if self.only is not None:
            return [self._break_once(self.only)]
        return [self._break_things() for _ in range(SERIES)]

    async def _break_things(self) -> None:
        while read_clock() < self.until:
            await sleep(self.random.uniform(0.2, LONGEST_PAUSE))
            kind = self.random.choice(self.kinds)
            await self._break(self.random.choice(FAULTS[kind]))

    async def _break_once(self, fault: Fault) -> None:
        # Callers go on until the fault is over.
        self.until = inf
        await self._break(fault)
        self.until = read_clock()

    async def _break(self, fault: Fault) -> None:
        self.faults[fault.__name__] += 1
        self.scene.note(f'{fault.__name__} begins')
        await fault(self.scene)
        self.scene.note(f'{fault.__name__} is over')

    async def _call(self, notes: Notes) -> None:
        while read_clock() < self.until:
            database = self.random.choice((CURRENT, OWN_WRITES))
            with suppress(OSError, TimeoutError, SessionDrained):
                await self._use_session(notes, database)
            await sleep(PAUSE)

    async def _use_session(self, notes: Notes, database: str) -> None:
        name = self.random.choice(NAMES)
        notes.is_at_primary = database == CURRENT
        session = Session(self.bench.proxies[name].ports['callers'])
        try:
            await wait_for(session.open(database), PATIENCE)
            opened_at = read_clock()
            try:
                await self._use_open(session, notes)
            except OSError:
                # Only a kill ends a connection without a whole answer.
                if self.scene.killed_at.get(name, 0) < opened_at:
                    self.violations.append(f'{name} cut a statement')
                raise
        finally:
            session.close()

    async def _use_open(self, session: Session, notes: Notes) -> None:
        notes.values = {}
        for _ in range(STATEMENTS):
            if self.random.random() < SET_SHARE:
                await self._set_value(session, notes)
            await self._write(session, notes)
            await self._read(session, notes)
            await sleep(PAUSE)

    async def _set_value(self, session: Session, notes: Notes) -> None:
        name = self.random.choice(('lang', 'zone'))
        number = f'{notes.item}{next(self.ids)}'
        text = f'{number}{self.random.choice(TEXT_ENDS)}'
        if await self._ask(session, number, f'SET {name} {text}') == 'COMPLETE':
            notes.values = {**notes.values, name: text}

    async def _write(self, session: Session, notes: Notes) -> None:
        name = f'{self.seed}w{next(self.ids)}'
        self.values[name] = notes.values
        text = f'{name}{self.random.choice(TEXT_ENDS)}'
        notes.in_doubt.add(text)
        word = await self._ask_noted(
            session, notes, name, f'WRITE {notes.item} {text}'
        )
        if word == 'COMPLETE':
            notes.acknowledged = text
        if word == 'COMPLETE' or word in PROMISES:
            notes.in_doubt.discard(text)
        if word in PROMISES:
            self.promised.add(name)

    async def _read(self, session: Session, notes: Notes) -> None:
        name = f'{self.seed}r{next(self.ids)}'
        self.values[name] = notes.values
        word = await self._ask_noted(session, notes, name, f'READ {notes.item}')
        if word == 'COMPLETE' and not notes.may_be(session.row):
            self.violations.append(
                f'{name} found {session.row!r} of {notes.item} after '
                f'{notes.acknowledged!r} was acknowledged',
            )

    async def _ask_noted(
        self, session: Session, notes: Notes, name: str, text: str
    ) -> str:
        """Run a statement, and record what its caller sees."""
        self.texts[name] = text
        began_at = read_clock()
        word = ''
        try:
            word = await self._ask(session, name, text)
        finally:
            is_at_primary = notes.is_at_primary or text.startswith('WRITE')
            self.bench.platform.group.history.asked.append(
                Asked(name, is_at_primary, began_at, read_clock(), word)
            )
        return word

    async def _ask(self, session: Session, name: str, text: str) -> str:
        # Some callers send before they have read a request to leave.
        if session.word != 'COMPLETE' or self.random.random() < READ_SHARE:
            await session.check_drained()
        try:
            word = await wait_for(session.ask(name, text), PATIENCE)
        except TimeoutError:
            self.violations.append(f'{name} was not answered')
            raise
        self.outcomes[word] += 1
        return word

    async def _check_recovery(self, notes: list[Notes]) -> None:
        give_up = read_clock() + RECOVERY
        waiting = list(notes)
        while waiting and read_clock() < give_up:
            waiting = [one for one in waiting if not await self._is_well(one)]
            await sleep(PAUSE)
        self.violations += [f'{one.item}: no recovery' for one in waiting]

    async def _is_well(self, notes: Notes) -> bool:
        session = Session(self.bench.proxies[NAMES[0]].ports['callers'])
        notes.values = {}
        notes.is_at_primary = True
        try:
            await wait_for(session.open(CURRENT), PATIENCE)
            await self._read(session, notes)
            before = notes.acknowledged
            await self._write(session, notes)
        except (OSError, TimeoutError, SessionDrained):
            return False
        finally:
            session.close()
        return notes.acknowledged != before

    def _judge(self) -> None:
        self.breaches = Judge(self.bench.platform.group.history).list_breaches()
        logs = self.bench.read_logs()
        histories = {
            name: ProxyHistory(
                read_lines(log),
                self.scene.kills.get(name, []),
                self.scene.pauses.get(name, []),
            )
            for name, log in logs.items()
        }
        self.claims = sum(log.count('"group-claimed"') for log in logs.values())
        self.overlaps = list_overlaps(histories, time())
        # These explain others, so they come first.
        self.violations = [
            *(
                f'OWNERS: {overlap.describe()}'
                for overlap in list_violations(self.overlaps)
            ),
            *(
                f'{breach.rule.value}: {breach.text}'
                for breach in self.breaches
                if breach.rule is not Rule.STALE_RUN
            ),
            *self.violations,
        ]

    async def keep(self, folder: Path) -> None:
        """Write the logs, and all that the soak noted, into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for name, log in self.bench.read_logs().items():
            (folder / f'{name}.log').write_text(log)
        # Times of the loop's clock, given as the time of day.
        shift = time() - read_clock()
        lines = list(self.scene.notes)
        lines += [
            (one.at + shift, f'{one.rule.value}: {one.text}')
            for one in self.breaches
        ]
        group = self.bench.platform.group
        lines += [
            (one.at + shift, f'{one.target} leads in term {one.term}')
            for one in group.history.promotions
        ]
        lines += [
            (
                at + shift,
                f'{order.holder} orders {order.target} with {order.token}',
            )
            for at, order in group.orders
        ]
        text = [f'{at:.3f} {line}' for at, line in sorted(lines)]
        text += [f'the clock of the loop is behind by {shift:.3f}']
        text += [overlap.describe() for overlap in self.overlaps]
        text += self.violations
        (folder / 'notes.txt').write_text('\n'.join(text))

    def _check_runs(self) -> None:
        self.violations += [
            f'{name} outlasted its grace' for name in self.scene.overdue
        ]
        self.violations += [
            f'{name} ended by itself' for name in self.scene.ended
        ]
        self.violations += [
            f'{name} is not running'
            for name, proxy in self.bench.proxies.items()
            if not proxy.is_running()
        ]
        group = self.bench.platform.group
        self.violations += [
            f'{run.statement} ran with {run.values}, not with {values}'
            for run in group.runs
            if (values := self.values.get(run.statement, {})) != run.values
        ]
        self.violations += [
            f'{run.statement} ran as {run.text!r}, which no caller sent'
            for run in group.runs
            if run.text != self.texts.get(run.statement)
        ]
        runs = Counter(
            run.statement for run in group.runs if run.text.startswith('WRITE')
        )
        for name, times in runs.items():
            if times > 1:
                self.violations.append(f'{name} ran {times} times')
            if name in self.promised:
                self.violations.append(f'{name} ran, though told not run')
        tokens = [order.token for _, order in group.orders]
        if tokens != sorted(tokens):
            self.violations.append(f'tokens of orders go down: {tokens}')


def _list_warnings(log: str) -> list[str]:
    """List the latest lines that tell of a cut, a fault or a stop."""
    marks = ('-cut"', 'failed"', 'proxy-st', 'Error')
    lines = log.splitlines()
    found = [line for line in lines if any(mark in line for mark in marks)]
    return found[-MAX_LINES:]


def run_seed(
    seed: int,
    seconds: float,
    kinds: Sequence[str] = KINDS,
    folder: Path | None = None,
    only: Fault | None = None,
) -> Soak:
    """Run one seed on stand-ins and processes of its own.

    Write its logs into `folder`.
    """
    bench = LinkedBench()
    try:
        bench.platform.group.synchronous = 1
        services = [{**CONFIGURATION['services'][0], 'sync_replicas': 1}]
        declared = {**CONFIGURATION, 'version': 8, 'services': services}
        bench.platform.publish('op/config', declared)
        bench.add_all(NAMES)
        for starting in bench.proxies.values():
            starting.start()
        for started in bench.proxies.values():
            started.wait_ready()
        soak = Soak(seed, bench, kinds, only)
        limit = seconds + RECOVERY * CALLERS
        bench.loop.start(soak.run(seconds)).result(limit)
        if folder is not None:
            bench.loop.run(soak.keep(folder / f'seed-{seed}'))
        return soak
    finally:
        for proxy in bench.proxies.values():
            if proxy.is_running():
                proxy.signal(SIGCONT)
        bench.close()


def main() -> None:
    """Run the seeds that the command line names."""
    # A soak that is ended ends its processes, too.
    signal(SIGTERM, default_int_handler)
    given = _read_arguments()
    kinds = given.kinds.split(',')
    named = {
        fault.__name__: fault for kind in FAULTS.values() for fault in kind
    }
    failed = 0
    for seed in range(given.first_seed, given.first_seed + given.seeds):
        only = named.get(given.only)
        soak = run_seed(seed, given.seconds, kinds, given.keep, only)
        failed += bool(soak.violations)
        _print(soak)
    print(f'{given.seeds} seeds, {failed} failed')
    leave(1 if failed else 0)


def _read_arguments() -> Namespace:
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=15)
    parser.add_argument('--kinds', default=','.join(KINDS), help='of faults')
    parser.add_argument('--only', help='the only fault, by its name')
    parser.add_argument('--keep', type=Path, help='a folder for logs')
    return parser.parse_args()


def _print(soak: Soak) -> None:
    rules = Counter(breach.rule.value for breach in soak.breaches)
    print(
        f'seed {soak.seed}: {soak.outcomes.total()} statements '
        f'{dict(soak.outcomes)}, faults {dict(soak.faults)}, '
        f'rules {dict(rules)}, '
        f'promotions {len(soak.bench.platform.group.history.promotions)}, '
        f'claims {soak.claims}',
    )
    for overlap in soak.overlaps:
        print(f'  overlap: {overlap.describe()}')
    printed: Counter[str] = Counter()
    for violation in soak.violations:
        kind = violation.partition(' ')[0]
        printed[kind] += 1
        if printed[kind] <= MAX_OF_KIND and printed.total() <= MAX_LINES:
            print(f'  {violation}')
    for line in soak.warnings:
        print(f'  {line}', flush=True)


if __name__ == '__main__':
    main()
