"""Report entries of the store that can't be read."""

from collections.abc import Collection
from traceback import format_tb

from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.identifiers import Revision
from sedgeshunt.ports import KeyValue

MAX_KEY = 200
# The end of a trace names the failing line.
MAX_TRACE = 1500


class UnreadableEntries:
    """Report each unreadable entry once for each change."""

    def __init__(self, decisions: DecisionLog) -> None:
        """Start without reports."""
        self._decisions = decisions
        self._reported: dict[str, Revision] = {}

    def report(self, pair: KeyValue, failure: Exception) -> None:
        """Record why an entry could not be read.

        An error that is not a SedgeshuntError is a fault of this program, and
        is recorded with its trace.
        """
        if self._reported.get(pair.key) == pair.revision:
            return
        self._reported[pair.key] = pair.revision
        reasons = {'key': pair.key[:MAX_KEY]}
        if isinstance(failure, SedgeshuntError):
            kind = DecisionKind.CONFIGURATION_REFUSED
            reasons['why'] = str(failure)
        else:
            kind = DecisionKind.ENTRY_FAILED
            # The message of such an error may quote the key of a customer.
            reasons['why'] = type(failure).__name__
            trace = ''.join(format_tb(failure.__traceback__))
            reasons['trace'] = trace[-MAX_TRACE:]
        self._decisions.record(Decision(kind, reasons=reasons))

    def forget(self, key: str) -> None:
        """Forget the report on an entry that was removed."""
        self._reported.pop(key, None)

    def retain(self, keys: Collection[str]) -> None:
        """Forget the reports on all entries but these."""
        for key in self._reported.keys() - set(keys):
            self.forget(key)
