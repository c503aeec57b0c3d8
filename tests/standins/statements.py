"""Tell what kind of statement an SQL text is."""

from dataclasses import dataclass
from enum import Enum
from re import IGNORECASE, Match
from re import compile as compile_pattern

from sedgeshunt.exceptions import TargetReadOnly, TargetRejected
from sedgeshunt.requests.outcome import Answer, Column

LEADING = compile_pattern(r'^(?:\s|\(|/\*.*?\*/|--[^\n]*\n|;)*')
CALL = compile_pattern(r'CALL\s+group_(\w+)\s*\(([^)]*)\)', IGNORECASE)
VARIABLE = compile_pattern(
    r'SELECT\s+(@@(?:session\.|global\.)?(\w+))\s*;?\s*$',
    IGNORECASE,
)
# What drivers ask before their first statement with parameters.
VARIABLES = {
    'sql_mode': 'STRICT_TRANS_TABLES,NO_ENGINE_SUBSTITUTION',
    'lower_case_table_names': '0',
    'tx_isolation': 'REPEATABLE-READ',
    'transaction_isolation': 'REPEATABLE-READ',
    'version_comment': 'stand-in',
}
VARIABLE_TYPE = 253
AUTOCOMMIT = compile_pattern(r'autocommit\s*=\s*(\w+)', IGNORECASE)


class Kind(Enum):
    """Tell how a statement is run."""

    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    SESSION = 'session'
    CALL = 'call'


KEYWORDS = {
    'SELECT': Kind.READ,
    'WITH': Kind.READ,
    'VALUES': Kind.READ,
    'EXPLAIN': Kind.READ,
    'BEGIN': Kind.BEGIN,
    'START': Kind.BEGIN,
    'COMMIT': Kind.COMMIT,
    'ROLLBACK': Kind.ROLLBACK,
    'SET': Kind.SESSION,
    'USE': Kind.SESSION,
    'CALL': Kind.CALL,
}


@dataclass(frozen=True, slots=True)
class Statement:
    """Hold one SQL text and its kind."""

    sql: str
    kind: Kind

    def match_call(self) -> Match[str]:
        """Return name and arguments of a call; raise TargetRejected."""
        call = CALL.search(self.sql)
        if call is None:
            raise TargetRejected(1064, '42000', 'no such procedure')
        return call

    def select_variable(self) -> Answer | None:
        """Answer if a server variable is asked for; raise TargetRejected."""
        asked = VARIABLE.match(LEADING.sub('', self.sql, count=1))
        if self.kind is not Kind.READ or asked is None:
            return None
        name = asked[2].lower()
        if name not in VARIABLES:
            reason = f"Unknown system variable '{name}'"
            raise TargetRejected(1193, 'HY000', reason)
        return Answer(
            columns=(Column(asked[1], VARIABLE_TYPE),),
            rows=((VARIABLES[name],),),
        )

    def read_autocommit(self, current: bool) -> bool:
        """Return the autocommit mode after this statement."""
        setting = AUTOCOMMIT.search(self.sql)
        if self.kind is not Kind.SESSION or setting is None:
            return current
        return setting[1].upper() in {'1', 'ON', 'TRUE'}


def parse_statement(sql: str) -> Statement:
    """Tell the kind by the first word; an unknown word is a write."""
    words = LEADING.sub('', sql, count=1).rstrip('; \n').split(None, 1)
    keyword = words[0].upper() if words else ''
    return Statement(sql, KEYWORDS.get(keyword, Kind.WRITE))


def refuse_read_only() -> TargetReadOnly:
    """Return the refusal of a write by a target that does not lead."""
    return TargetReadOnly(
        1290,
        'HY000',
        'The MySQL server is running with the --read-only option',
    )
