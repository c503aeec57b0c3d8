"""Know the variables of a caller's session that the proxy answers for."""

from collections.abc import Mapping

from sedgeshunt.adapters.handshake import SERVER_VERSION
from sedgeshunt.adapters.packet_stream import MAX_PAYLOAD

AUTOCOMMIT = 'autocommit'
ISOLATION = 'transaction_isolation'
READ_ONLY = 'transaction_read_only'
NAMES = 'names'

IDLE_TIMEOUT = 28800

ON_WORDS = frozenset(('1', 'on', 'true'))
OFF_WORDS = frozenset(('0', 'off', 'false'))
_FLAGS = ON_WORDS | OFF_WORDS | {'default'}
_CHARSETS = frozenset(
    ('utf8mb4', 'utf8', 'utf8mb3', 'ascii', 'null', 'default'),
)
# Targets run at repeatable read, which keeps the promises of the weaker ones.
_ISOLATIONS = frozenset(
    ('read-uncommitted', 'read-committed', 'repeatable-read', 'default'),
)
_COLLATION_PREFIX = 'utf8'

# What a caller may set. The rest would have to be set on a connection to a
# target, which other callers use; taken in silence, it would change nothing
# and its caller would not know.
_SETTABLE: Mapping[str, frozenset[str]] = {
    AUTOCOMMIT: _FLAGS,
    ISOLATION: _ISOLATIONS,
    'tx_isolation': _ISOLATIONS,
    READ_ONLY: _FLAGS,
    'tx_read_only': _FLAGS,
    NAMES: _CHARSETS,
    'character_set_client': _CHARSETS,
    'character_set_connection': _CHARSETS,
    'character_set_results': _CHARSETS | {'binary'},
    'sql_auto_is_null': OFF_WORDS,
}
# These bound waits between the caller and the proxy, which has its own.
_IGNORED = frozenset(
    (
        'interactive_timeout',
        'net_read_timeout',
        'net_write_timeout',
        'wait_timeout',
    ),
)
_READABLE: Mapping[str, str | int] = {
    'version': SERVER_VERSION,
    'version_comment': 'sedgeshunt',
    'character_set_client': 'utf8mb4',
    'character_set_connection': 'utf8mb4',
    'character_set_results': 'utf8mb4',
    'collation_connection': 'utf8mb4_general_ci',
    'max_allowed_packet': MAX_PAYLOAD,
    'interactive_timeout': IDLE_TIMEOUT,
    'wait_timeout': IDLE_TIMEOUT,
    'warning_count': 0,
    'error_count': 0,
}


def find_setting_problem(name: str, text: str) -> str:
    """Tell why a variable can't be set so; empty when it can."""
    text = text.lower()
    accepted = _SETTABLE.get(name)
    if name in _IGNORED or (accepted is not None and text in accepted):
        return ''
    if name == 'collation_connection' and text.startswith(_COLLATION_PREFIX):
        return ''
    if accepted is not None:
        choices = ', '.join(sorted(accepted))
        return f'variable {name} can not be {text} here; use one of {choices}'
    return (
        f'variable {name} would be set on connections that callers share; '
        + 'set it on the targets of the group instead'
    )


def read_variable(name: str, *, autocommit: bool) -> str | int | None:
    """Return a variable's value, None if a target has to be asked."""
    if name == AUTOCOMMIT:
        return int(autocommit)
    return _READABLE.get(name)
