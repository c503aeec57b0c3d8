"""Simulate the term, role and log of one database and its replication."""

from asyncio import TimerHandle, get_running_loop

from sedgeshunt.clocks import read_clock
from sedgeshunt.exceptions import FenceRefused
from sedgeshunt.groups.points import ORIGIN, Point
from sedgeshunt.groups.status import Role, TargetStatus
from sedgeshunt.identifiers import Position, TargetId, Term
from tests.standins.network import TIMER_RESOLUTION, Place, Signal
from tests.standins.records import EventKind, GroupState, Record
from tests.standins.stores import Store


class Member:
    """Replication protocol of one database, without client connections."""

    def __init__(self, place: Place, group: GroupState) -> None:
        """Start as a replica without a source, with an empty log."""
        self.place = place
        self.name = TargetId(place.name)
        self.group = group
        self.fencing_term = Term(0)
        self.leading_term = Term(0)
        self.role = Role.REPLICA
        self.following: TargetId | None = None
        self.log: list[Record] = []
        self.store = Store()
        self.changed = Signal()
        self.alive = True
        self.frozen = False
        self.delay = float(0)
        # Number of COMMITs to refuse; their transactions stay open.
        self.commits_to_refuse = 0
        self._timer: TimerHandle | None = None

    @property
    def log_end(self) -> Point:
        """Return the point of the last record."""
        return self.log[-1].point if self.log else ORIGIN

    def read_status(self) -> TargetStatus:
        """Return term, log end and role, read atomically."""
        return TargetStatus(
            self.name,
            self.fencing_term,
            self.log_end,
            self.role,
            self.following,
        )

    def fence(self, term: Term) -> None:
        """Accept no more writes or records; raise FenceRefused."""
        if term <= self.fencing_term:
            raise FenceRefused(self.name, self.fencing_term)
        self.fencing_term = term
        self._change_role(Role.FENCED, EventKind.FENCED)

    def promote(self, term: Term) -> None:
        """Become primary and write the opening record; raise FenceRefused."""
        fenced = self.role is Role.FENCED and self.fencing_term == term
        if fenced and term in self.group.promoted:
            self.group.note(self.place, EventKind.RIVAL)
        if not fenced or term in self.group.promoted:
            raise FenceRefused(self.name, self.fencing_term)
        self.group.promoted[term] = self.name
        self.leading_term = term
        self._change_role(Role.PRIMARY, EventKind.PROMOTED)
        self.append(())

    def follow(self, term: Term, primary: TargetId) -> None:
        """Replicate from `primary` only; raise FenceRefused."""
        known = primary in self.group.members and primary != self.name
        if term < self.fencing_term or not known:
            raise FenceRefused(self.name, self.fencing_term)
        self.fencing_term = term
        self._change_role(Role.REPLICA, EventKind.FOLLOWED, primary)

    def append(self, statements: tuple[str, ...]) -> Point:
        """Append a record of the own term and notify the replicas."""
        position = Position(len(self.log) + 1)
        point = Point(self.leading_term, position)
        self.log.append(Record(point, statements, read_clock()))
        self._notify_replicas()
        return point

    def copy(self) -> None:
        """Copy the records that are due; schedule a call for the rest."""
        if self._timer is not None:
            self._timer.cancel()
        source = self._find_source()
        if source is None:
            return
        self._drop_suffix(source)
        latency = self.group.network.read_latency(source.place, self.place)
        while len(self.log) < len(source.log):
            record = source.log[len(self.log)]
            due = record.at + self.delay + latency
            if due > read_clock() + TIMER_RESOLUTION:
                loop = get_running_loop()
                self._timer = loop.call_at(due, self.copy)
                return
            self.store.apply(record.statements)
            self.log.append(record)
            self.changed.fire()

    def drop_transactions(self) -> None:
        """Roll back the open transactions of clients."""

    def _find_source(self) -> 'Member | None':
        if self.following is None or not self._is_running():
            return None
        source = self.group.members[self.following]
        if not source._is_running() or source.role is Role.REPLICA:
            return None
        # A superseded primary must not send records to a target of the new
        # term: they would count as evidence for writes that are lost.
        if source.leading_term < self.fencing_term:
            return None
        if self.group.network.is_cut(source.place, self.place):
            return None
        return source

    def _drop_suffix(self, source: 'Member') -> None:
        shared = min(len(self.log), len(source.log))
        while shared and self.log[shared - 1] is not source.log[shared - 1]:
            shared -= 1
        if shared == len(self.log):
            return
        self.group.note(
            self.place,
            EventKind.DROPPED,
            point=self.log[shared].point,
        )
        self.log = self.log[:shared]
        self.store.rebuild(
            self.group.schema,
            (record.statements for record in self.log),
        )
        self.changed.fire()

    def _change_role(
        self,
        role: Role,
        kind: EventKind,
        following: TargetId | None = None,
    ) -> None:
        self.role = role
        self.following = following
        self.group.note(self.place, kind, point=self.log_end)
        self.drop_transactions()
        self._notify_replicas()

    def _notify_replicas(self) -> None:
        self.changed.fire()
        for member in self.group.members.values():
            member.copy()

    def _is_running(self) -> bool:
        return self.alive and not self.frozen
