"""Name refusals as the platform's callers know them."""

from sedgeshunt.requests.outcome import Cause, NotRun, Refusal, Unknown

# All of these promise that nothing was kept.
_PROMISES = {
    Cause.TRANSACTION_LOST: 'ABORTED',
    Cause.TOO_STALE: 'LAGGING',
    Cause.SUPERSEDED: 'READONLY',
    Cause.NO_PRIMARY: 'READONLY',
    Cause.CUSTOMER_LIMIT: 'TOOMANY',
}
OTHER_PROMISE = 'BUSY'
UNKNOWN = 'UNKNOWN'
_REJECTIONS = {
    'failed': 'FAILED',
    'timed-out': 'TIMEOUT',
    'malformed': 'MALFORMED',
    'no-statement': 'NOSTMT',
    'no-database': 'NODB',
    'no-customer': 'NOAUTH',
}


def name_refusal(refusal: Refusal) -> tuple[str, str]:
    """Return the code and the text of a refusal."""
    if isinstance(refusal, NotRun):
        code = _PROMISES.get(refusal.cause, OTHER_PROMISE)
        return code, refusal.describe()
    if isinstance(refusal, Unknown):
        return UNKNOWN, refusal.describe()
    code = _REJECTIONS.get(refusal.sqlstate, 'FAILED')
    return code, refusal.describe()
