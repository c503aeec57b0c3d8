"""Emulate a group of databases that serve statement sessions."""

from asyncio import Event, Semaphore, Task, create_task, sleep, timeout
from collections import deque
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import (
    LogRole,
    LogStatus,
    RefusalKind,
)
from sedgeshunt.customers.directory import ANONYMOUS
from sedgeshunt.groups.orders import (
    PromotionAnswer,
    PromotionOrder,
    PromotionService,
)
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    CustomerId,
    Position,
    Seconds,
    TargetId,
    TargetLife,
    Term,
)
from sedgeshunt.platform.promotions import read_answer
from tests.standins.network import Network, Place

WORK = 0.01
LAG = 0.02
PROMOTION_TIME = 0.3
SLOTS = 3
CONNECTION_LIMIT = 22
ACCEPTED_STATUS = 200
NOT_RUNNING_STATUS = 409


@dataclass(frozen=True, slots=True)
class Commit:
    """Hold one commit of a log."""

    point: Point
    writes: tuple[tuple[str, str], ...]


FIRST_COMMIT = Commit(Point(Term(1), Position(0)), ())


class SetupMessage(Enum):
    """Enumerate the messages by which proxies set up connections."""

    RESET = 'RESET'
    SET = 'SET'
    PREPARE = 'PREPARE'
    BEGIN = 'BEGIN'
    ROLLBACK = 'ROLLBACK'


@dataclass
class SetupRefusals:
    """Refuse a share of the setup messages of some kinds."""

    messages: frozenset[SetupMessage]
    kinds: tuple[RefusalKind, ...]
    share: float
    random: Random
    refused: int = 0

    def draw(self, message: SetupMessage) -> RefusalKind | None:
        """Return the refusal of a message, None to accept it."""
        is_chosen = message in self.messages
        if not is_chosen or self.random.random() >= self.share:
            return None
        self.refused += 1
        return self.random.choice(self.kinds)

    def is_applied(self, kind: RefusalKind) -> bool:
        """Return whether a refused message takes effect all the same."""
        return kind in MAY_HAVE_RUN and self.random.choice((True, False))


MAY_HAVE_RUN = (
    RefusalKind.FAILED,
    RefusalKind.TIMED_OUT,
    RefusalKind.MALFORMED,
)


@dataclass(frozen=True, slots=True)
class Run:
    """Hold one statement that a target ran, and its session's state."""

    at: float
    target: TargetId
    statement: str
    text: str
    connection: int
    values: dict[str, str]
    # The connection was in a transaction.
    is_inside: bool
    # The customer for whom the connection was opened.
    customer: CustomerId = ANONYMOUS
    # The availability zone of the proxy that sent it.
    zone: str = ''


@dataclass(frozen=True, slots=True)
class OrderHandling:
    """Hold how the platform answers one order and when it carries it out."""

    # The status of the answer, None for no answer.
    status: int | None = ACCEPTED_STATUS
    # How long after its arrival an order is answered.
    answered_after: float = 0
    # How long after its arrival an order is begun, each time that it is.
    begun_after: tuple[float, ...] = (0,)


PROMPT = OrderHandling()


@dataclass(frozen=True, slots=True)
class Promotion:
    """Hold a promotion that has taken effect."""

    at: float
    target: TargetId
    term: Term


@dataclass(eq=False)
class StatementTarget:
    """Hold one database's log and its injected faults."""

    name: TargetId
    place: Place
    port: int
    role: LogRole = LogRole.REPLICA
    term: Term = Term(1)
    held_term: Term = Term(0)
    life: TargetLife = TargetLife(1)
    log: list[Commit] = field(default_factory=lambda: [FIRST_COMMIT])
    # Number of commits that are visible to reads.
    applied: int = 1
    lag: float = LAG
    work: float = WORK
    # Work of statements that differ from the others, by their text.
    work_of: dict[str, float] = field(default_factory=dict)
    is_down: bool = False
    is_leaving: bool = False
    # The target's entry is in the store.
    is_listed: bool = True
    # Number of statements to run without answering them.
    answers_to_lose: int = 0
    connections: int = 0
    connection_limit: int = CONNECTION_LIMIT
    # Messages that set up sessions for statements.
    setup_messages: int = 0
    setup_refusals: SetupRefusals | None = None
    # Number of connections opened in total.
    opened: int = 0
    slots: Semaphore = field(default_factory=lambda: Semaphore(SLOTS))
    # Cleared while the target is frozen and answers nothing.
    thawed: Event = field(default_factory=Event)

    def __post_init__(self) -> None:
        """Start without being frozen."""
        self.thawed.set()

    @property
    def end(self) -> Point:
        """Return the end of the received log."""
        return self.log[-1].point

    @property
    def applied_end(self) -> Point:
        """Return the end of the log that is visible to reads."""
        return self.log[self.applied - 1].point

    def covers(self, point: Point) -> bool:
        """Return whether a point in the log is visible to reads."""
        return any(commit.point == point for commit in self.log[: self.applied])

    def read(self, item: str) -> str:
        """Return the visible value of an item, empty if there is none."""
        for commit in reversed(self.log[: self.applied]):
            for key, value in reversed(commit.writes):
                if key == item:
                    return value
        return ''

    def restart_empty(self) -> None:
        """Restart with an empty log in the same role and term."""
        self.life = TargetLife(self.life + 1)
        self.log = [FIRST_COMMIT]
        self.applied = 1

    def read_status(self) -> LogStatus:
        """Return the state of the log."""
        return LogStatus(self.role, self.term, self.end, self.held_term)


class StatementGroup(PromotionService):
    """Replicate between the targets of a group and promote them."""

    def __init__(self, network: Network) -> None:
        """Start without targets."""
        self.network = network
        self.targets: dict[TargetId, StatementTarget] = {}
        self.runs: list[Run] = []
        # Number of statements refused by targets that lacked a point.
        self.refused = 0
        self.orders: list[tuple[float, PromotionOrder]] = []
        self.promotions: list[Promotion] = []
        self.promotion_time = PROMOTION_TIME
        # How the next orders are handled; later ones by `draw_handling`.
        self.next_handlings: deque[OrderHandling] = deque()
        self.draw_handling: Callable[[], OrderHandling] = lambda: PROMPT
        self.synchronous = 0
        self._tasks: set[Task[None]] = set()

    def add(self, target: StatementTarget) -> None:
        """Add a target to the group."""
        self.targets[target.name] = target

    def find_primary(self) -> StatementTarget:
        """Return the target that leads in the highest term."""
        leading = [
            target
            for target in self.targets.values()
            if target.role is LogRole.PRIMARY
        ]
        return max(leading, key=lambda target: target.term)

    def list_replicas(self) -> Iterator[StatementTarget]:
        """Yield all targets but the primary."""
        primary = self.find_primary()
        for target in self.targets.values():
            if target is not primary:
                yield target

    def commit(
        self,
        target: StatementTarget,
        writes: tuple[tuple[str, str], ...],
    ) -> Point:
        """Add a commit to a primary's log and send it to the replicas."""
        number = Position(target.end.position + 1)
        point = Point(target.term, number)
        target.log.append(Commit(point, writes))
        target.applied = len(target.log)
        for other in self.targets.values():
            if other is not target:
                self._start(self._ship(target, other, len(target.log)))
        return point

    async def order(
        self,
        order: PromotionOrder,
        limit: Seconds,
    ) -> PromotionAnswer:
        """Answer an order as a proxy reads the answer."""
        try:
            async with timeout(limit):
                return read_answer(await self.accept(order))
        except TimeoutError:
            return PromotionAnswer.UNANSWERED

    async def accept(self, order: PromotionOrder) -> int:
        """Carry an order out some time later; return the answer's status."""
        self.orders.append((read_clock(), order))
        handling = self.draw_handling()
        if self.next_handlings:
            handling = self.next_handlings.popleft()
        target = self.targets[order.target]
        status = handling.status
        if target.is_down and status == ACCEPTED_STATUS:
            status = NOT_RUNNING_STATUS
        else:
            for delay in handling.begun_after:
                self._start(self._begin(target, delay))
        await sleep(handling.answered_after)
        while status is None:
            await Event().wait()
        return status

    def close(self) -> None:
        """Cancel running replications and promotions."""
        for task in tuple(self._tasks):
            task.cancel()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _begin(self, target: StatementTarget, delay: float) -> None:
        """Carry an order out unless its target is down by then."""
        await sleep(delay)
        if not (delay and target.is_down):
            await self._promote(target)

    async def _promote(self, target: StatementTarget) -> None:
        await sleep(self.promotion_time)
        if target is self.find_primary():
            return
        newest = max(other.term for other in self.targets.values())
        target.term = Term(newest + 1)
        target.role = LogRole.PRIMARY
        self.promotions.append(
            Promotion(read_clock(), target.name, target.term)
        )
        target.applied = len(target.log)
        for other in self.targets.values():
            if other is not target:
                self._start(self._demote(target, other))

    async def _demote(
        self,
        leader: StatementTarget,
        other: StatementTarget,
    ) -> None:
        """Make another target a replica, one second after reaching it."""
        await self.network.cross(leader.place, other.place)
        await sleep(1)
        while other.is_down:
            await sleep(1)
        if other.term < leader.term:
            other.role = LogRole.REPLICA
            other.term = leader.term
            other.log = list(leader.log)
            other.applied = min(other.applied, len(other.log))
            await sleep(other.lag)
            other.applied = len(other.log)

    async def _ship(
        self,
        source: StatementTarget,
        other: StatementTarget,
        upto: int,
    ) -> None:
        await self.network.cross(source.place, other.place)
        if other.is_down or other.role is LogRole.PRIMARY:
            return
        if other.term > source.term or other.held_term > source.term:
            return
        other.term = source.term
        if upto > len(other.log):
            other.log = list(source.log[:upto])
        await sleep(other.lag)
        other.applied = max(other.applied, min(upto, len(other.log)))
