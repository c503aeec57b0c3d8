"""Run the statements and transactions of one simulated connection."""

from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec.structs import replace

from sedgeshunt.exceptions import TargetRejected
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.status import Role
from sedgeshunt.requests.outcome import Answer
from tests.standins.members import Member
from tests.standins.records import EventKind
from tests.standins.statements import Kind, Statement, refuse_read_only
from tests.standins.stores import Worker

EventRecorder = Callable[[EventKind, str, Point | None], None]


@dataclass(slots=True)
class Transaction:
    """Hold the writes of an open transaction."""

    statements: list[str] = field(default_factory=list)
    changes_before: int = 0
    # The database is no longer primary and has rolled back the writes.
    is_aborted: bool = False


class Executor:
    """Run statements without waiting; the session has lock and slot."""

    def __init__(self, member: Member, note: EventRecorder) -> None:
        """Use the newest database file of `member`."""
        self.autocommit = True
        self.transaction: Transaction | None = None
        self._member = member
        self._note = note
        self._worker: Worker | None = None
        self._generation = 0

    def has_open_writes(self) -> bool:
        """Return whether a transaction needs the write lock."""
        transaction = self.transaction
        if transaction is None or transaction.is_aborted:
            return False
        return bool(transaction.statements)

    def check_primary(self) -> None:
        """Refuse writes unless the database is the primary."""
        if self._member.role is not Role.PRIMARY:
            raise refuse_read_only()

    def perform(self, statement: Statement) -> Answer:
        """Run one statement; raise TargetRejected."""
        self.autocommit = statement.read_autocommit(self.autocommit)
        if statement.kind in {Kind.BEGIN, Kind.COMMIT}:
            return self._commit(statement)
        if statement.kind is Kind.ROLLBACK:
            self._roll_back()
            self.transaction = None
        if statement.kind in {Kind.ROLLBACK, Kind.SESSION}:
            return Answer()
        if self.transaction is not None and self.transaction.is_aborted:
            raise refuse_read_only()
        if statement.kind is Kind.WRITE:
            return self._write(statement)
        answer = statement.select_variable()
        if answer is None:
            answer = self._open_worker().run(statement.sql)
        self._note(EventKind.RAN, statement.sql, None)
        return answer

    def abort_writes(self) -> None:
        """Roll back open writes as the database is no longer primary."""
        if self.transaction is not None and self.has_open_writes():
            self.transaction.is_aborted = True
            self._roll_back()

    def close(self) -> None:
        """Roll back the open transaction and close the file."""
        self.abort_writes()
        if self._worker is not None:
            self._worker.close()
            self._worker = None

    def _write(self, statement: Statement) -> Answer:
        self.check_primary()
        worker = self._open_worker()
        single = self.transaction is None and self.autocommit
        transaction = self.transaction or Transaction()
        if not transaction.statements:
            worker.run('BEGIN IMMEDIATE')
            transaction.changes_before = worker.changes
        try:
            answer = worker.run(statement.sql)
        except TargetRejected:
            if not transaction.statements:
                worker.roll_back()
            raise
        self._note(EventKind.RAN, statement.sql, None)
        transaction.statements.append(statement.sql)
        if single:
            return replace(answer, point=self._commit_writes(transaction))
        self.transaction = transaction
        return answer

    def _commit(self, statement: Statement) -> Answer:
        transaction = self.transaction
        self.transaction = None
        if transaction is not None and transaction.is_aborted:
            raise refuse_read_only()
        if statement.kind is Kind.COMMIT and self._member.commits_to_refuse:
            self._member.commits_to_refuse -= 1
            self.transaction = transaction
            raise TargetRejected(1290, 'HY000', 'running with an option')
        point = None
        if transaction is not None and transaction.statements:
            point = self._commit_writes(transaction)
        if statement.kind is Kind.BEGIN:
            self.transaction = Transaction()
            self._note(EventKind.BEGAN, statement.sql, None)
        return Answer(point=point)

    def _commit_writes(self, transaction: Transaction) -> Point | None:
        worker = self._open_worker()
        worker.run('COMMIT')
        defines = any(map(_defines_schema, transaction.statements))
        if worker.changes == transaction.changes_before and not defines:
            return None
        statements = tuple(transaction.statements)
        point = self._member.append(statements)
        self._note(EventKind.COMMITTED, '; '.join(statements), point)
        return point

    def _roll_back(self) -> None:
        if self._worker is not None:
            self._worker.roll_back()
        self._note(EventKind.ROLLED_BACK, '', None)

    def _open_worker(self) -> Worker:
        store = self._member.store
        if self._worker is None or self._generation != store.generation:
            if self._worker is not None:
                self._worker.close()
            self._worker = store.open_worker()
            self._generation = store.generation
        return self._worker


def _defines_schema(sql: str) -> bool:
    word = sql.split(None, 1)[0].upper()
    return word in {'CREATE', 'ALTER', 'DROP'}
