"""Turn a refusal into the error that MySQL drivers know best."""

from dataclasses import dataclass

from sedgeshunt.adapters.wire import make_error
from sedgeshunt.requests.outcome import (
    Cause,
    NotRun,
    Refusal,
    Rejected,
    Unknown,
)


@dataclass(frozen=True, slots=True)
class ErrorKind:
    """Hold an error's number and state."""

    code: int
    sqlstate: str

    def reject(self, reason: str) -> Rejected:
        """Refuse a statement with this error."""
        return Rejected(self.code, self.sqlstate, reason)


# Drivers and frameworks know this one as safe to try again.
NOT_RUN = ErrorKind(1205, 'HY000')
# The error of a lost connection: drivers do not repeat the statement.
UNKNOWN = ErrorKind(2013, 'HY000')
TOO_MANY_CALLERS = ErrorKind(1040, '08004')
BAD_HANDSHAKE = ErrorKind(1043, '08S01')
ACCESS_DENIED = ErrorKind(1045, '28000')
NO_GROUP_CHOSEN = ErrorKind(1046, '3D000')
UNKNOWN_COMMAND = ErrorKind(1047, '08S01')
STOPPING = ErrorKind(1053, '08S01')
IN_TRANSACTION = ErrorKind(1179, '25000')
UNKNOWN_VARIABLE = ErrorKind(1193, 'HY000')
WRONG_VALUE = ErrorKind(1231, '42000')
NOT_SUPPORTED = ErrorKind(1235, '42000')
UNKNOWN_STATEMENT = ErrorKind(1243, 'HY000')
TOO_MANY_STATEMENTS = ErrorKind(1461, '42000')
MALFORMED = ErrorKind(1835, 'HY000')

_BY_CAUSE = {
    Cause.ATTRIBUTE: WRONG_VALUE,
    Cause.TOKEN: ACCESS_DENIED,
    Cause.STATEMENT: NOT_SUPPORTED,
    Cause.STOPPING: STOPPING,
}

STOPPING_REFUSAL = NotRun(
    Cause.STOPPING,
    'this proxy is shutting down; reconnect to reach another',
)

NO_GROUP = NO_GROUP_CHOSEN.reject(
    'no group is chosen; connect with its name as the database',
)


def make_refusal(refusal: Refusal) -> bytes:
    """Build the error packet of a refusal."""
    kind = _find_kind(refusal)
    return make_error(kind.code, kind.sqlstate, refusal.describe())


def is_unserved(refusal: Refusal) -> bool:
    """Tell whether the proxy does not know the caller's group, or not yet."""
    return isinstance(refusal, NotRun) and refusal.cause is Cause.NO_GROUP


def _find_kind(refusal: Refusal) -> ErrorKind:
    if isinstance(refusal, Rejected):
        return ErrorKind(refusal.code, refusal.sqlstate)
    if isinstance(refusal, Unknown):
        return UNKNOWN
    return _BY_CAUSE.get(refusal.cause, NOT_RUN)
