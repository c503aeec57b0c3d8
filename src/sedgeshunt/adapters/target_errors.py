"""Tell from a driver's error what became of a call to a target."""

from sedgeshunt.exceptions import (
    SedgeshuntError,
    TargetBusy,
    TargetGone,
    TargetLost,
    TargetReadOnly,
    TargetRejected,
    TargetUnreachable,
)
from sedgeshunt.identifiers import TargetId

UNKNOWN_STATE = 'HY000'
TOO_MANY_CONNECTIONS = 1040
READ_ONLY = 1290
# The driver found the connection closed before it sent anything.
GONE_BEFORE = 2006
# A target that is going away says so in place of an answer: the statement
# may have run before.
GOING_AWAY = frozenset((1053, 1927, 3169, 4031))
# The driver's own errors; targets use no such numbers.
CLIENT_ERRORS = range(2000, 3000)


def explain_connecting(
    target: TargetId,
    failure: Exception,
) -> SedgeshuntError:
    """Tell why a connection could not be opened."""
    code, reason = _split(failure)
    if code is None or code in CLIENT_ERRORS:
        return TargetUnreachable(target, reason)
    return explain_answer(target, failure)


def explain_answer(target: TargetId, failure: Exception) -> SedgeshuntError:
    """Tell what became of a call that failed."""
    code, reason = _split(failure)
    if code == GONE_BEFORE:
        return TargetGone(target, reason)
    if code is None or code in CLIENT_ERRORS or code in GOING_AWAY:
        return TargetLost(target, reason)
    state = getattr(failure, 'sqlstate', None) or UNKNOWN_STATE
    if code == READ_ONLY:
        return TargetReadOnly(code, state, reason)
    if code == TOO_MANY_CONNECTIONS:
        return TargetBusy(code, state, reason)
    return TargetRejected(code, state, reason)


def _split(failure: Exception) -> tuple[int | None, str]:
    # Errors of the driver carry a number and a message, others neither.
    if len(failure.args) == 2 and isinstance(failure.args[0], int):
        return failure.args[0], str(failure.args[1])
    return None, str(failure) or type(failure).__name__
