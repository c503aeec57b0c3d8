"""Run SQL on sqlite files and answer as a MySQL server would."""

import sqlite3
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from re import Match
from re import compile as compile_pattern
from tempfile import TemporaryDirectory

from sedgeshunt.exceptions import TargetRejected
from sedgeshunt.requests.outcome import Answer, Column

REQUEST_IDS = (
    'CREATE TABLE request_ids (id TEXT PRIMARY KEY,'
    + ' affected_rows INTEGER, last_insert_id INTEGER)'
)
TYPE_CODES = ((int, 8), (float, 5), (bytes, 252))
TEXT_CODE = 253
LITERAL = compile_pattern(r"'(?:[^'\\]|\\.|'')*'")
ESCAPE = compile_pattern(r'\\(.)')
ESCAPES = {'n': '\n', 'r': '\r', 't': '\t', '0': '\0', "'": "''"}


class Worker:
    """Run statements on one sqlite connection."""

    def __init__(self, path: Path) -> None:
        """Open the file and add the functions that statements may use."""
        self._connection = sqlite3.connect(path, isolation_level=None)
        self._connection.execute('PRAGMA synchronous = OFF')
        self.affected = 0
        self.inserted = 0
        functions = {
            'row_count': lambda: self.affected,
            'last_insert_id': lambda: self.inserted,
        }
        for name, function in functions.items():
            self._connection.create_function(name, 0, function)

    @property
    def changes(self) -> int:
        """Count the rows changed since the file was opened."""
        return self._connection.total_changes

    def run(self, sql: str) -> Answer:
        """Run one statement; raise TargetRejected."""
        try:
            cursor = self._connection.execute(_translate(sql))
            rows = cursor.fetchall()
        except sqlite3.Error as error:
            raise _convert_error(error) from error
        if cursor.description is None:
            self.affected = max(cursor.rowcount, 0)
            self.inserted = cursor.lastrowid or 0 if self.affected else 0
            return Answer(
                affected_rows=self.affected,
                last_insert_id=self.inserted,
            )
        names = [column[0] for column in cursor.description]
        columns = tuple(
            Column(name, _find_type(row[index] for row in rows))
            for index, name in enumerate(names)
        )
        return Answer(columns=columns, rows=rows)

    def roll_back(self) -> None:
        """Undo the open transaction, if there is one."""
        if self._connection.in_transaction:
            self._connection.execute('ROLLBACK')

    def close(self) -> None:
        """Undo what is open and close the file."""
        self._connection.close()


class Store:
    """Keep the rows of one database; a rebuild starts a new file."""

    def __init__(self) -> None:
        """Make the folder of the files."""
        self._folder = TemporaryDirectory(prefix='standin-')
        self._writer: Worker | None = None
        self.generation = 0

    def open_worker(self) -> Worker:
        """Open the newest file once more."""
        return Worker(Path(self._folder.name, f'{self.generation}.db'))

    def rebuild(
        self,
        schema: Iterable[str],
        transactions: Iterable[Iterable[str]],
    ) -> None:
        """Start a new file with a schema and the given transactions."""
        self._close_writer()
        self.generation += 1
        self._writer = self.open_worker()
        self._writer.run('PRAGMA journal_mode = WAL')
        self.apply([REQUEST_IDS, *schema])
        self.apply(sql for statements in transactions for sql in statements)

    def apply(self, statements: Iterable[str]) -> None:
        """Run one transaction that was committed elsewhere."""
        writer = self._writer or self.open_worker()
        self._writer = writer
        writer.run('BEGIN IMMEDIATE')
        for sql in statements:
            # A statement that failed inside its transaction fails here too.
            with suppress(TargetRejected):
                writer.run(sql)
        writer.run('COMMIT')

    def close(self) -> None:
        """Remove the files."""
        self._close_writer()
        self._folder.cleanup()

    def _close_writer(self) -> None:
        if self._writer is not None:
            self._writer.close()
            self._writer = None


def _find_type(cells: Iterable[object]) -> int:
    known = next((cell for cell in cells if cell is not None), None)
    for kind, code in TYPE_CODES:
        if isinstance(known, kind):
            return code
    return TEXT_CODE


def _convert_error(error: sqlite3.Error) -> TargetRejected:
    reason = str(error)
    if 'UNIQUE constraint' in reason:
        return TargetRejected(1062, '23000', f'Duplicate entry: {reason}')
    return TargetRejected(1064, '42000', reason)


def _translate(sql: str) -> str:
    # Drivers escape quotes by backslashes, which sqlite doesn't know.
    if '\\' not in sql:
        return sql
    return LITERAL.sub(_unescape_literal, sql)


def _unescape_literal(literal: Match[str]) -> str:
    return ESCAPE.sub(
        lambda escape: ESCAPES.get(escape[1], escape[1]),
        literal[0],
    )
