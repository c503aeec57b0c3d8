"""Map refusals to the error codes of the caller protocol."""

from sedgeshunt.requests.outcome import Cause, NotRun, Refusal, Unknown

# These codes guarantee that the statement had no effect.
_NOT_RUN_CODES = {
    Cause.TRANSACTION_LOST: 'ABORTED',
    Cause.TOO_STALE: 'LAGGING',
    Cause.SUPERSEDED: 'READONLY',
    Cause.NO_PRIMARY: 'READONLY',
    Cause.CUSTOMER_LIMIT: 'TOOMANY',
}
DEFAULT_NOT_RUN_CODE = 'BUSY'
UNKNOWN_CODE = 'UNKNOWN'
_REJECTION_CODES = {
    'failed': 'FAILED',
    'timed-out': 'TIMEOUT',
    'malformed': 'MALFORMED',
    'no-statement': 'NOSTMT',
    'no-database': 'NODB',
    'no-customer': 'NOAUTH',
}


def name_refusal(refusal: Refusal) -> tuple[str, str]:
    """Return the error code and the text of a refusal."""
    if isinstance(refusal, NotRun):
        code = _NOT_RUN_CODES.get(refusal.cause, DEFAULT_NOT_RUN_CODE)
        return code, refusal.describe()
    if isinstance(refusal, Unknown):
        return UNKNOWN_CODE, refusal.describe()
    code = _REJECTION_CODES.get(refusal.sqlstate, 'FAILED')
    return code, refusal.describe()
