"""Write how peers are lost and regained, a few lines for each."""

from collections import Counter
from collections.abc import Mapping

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import Monotonic, ProxyId, Seconds

# Lines of each kind about one peer within a time: a link that breaks as soon as
# it is open changes many times a second.
MAX_LINES = 5
WINDOW = Seconds(10)


class PeerLines:
    """Write the changes of links to peers, and count what is left out."""

    def __init__(self, decisions: DecisionLog) -> None:
        """Write to `decisions`."""
        self._decisions = decisions
        self._window = Monotonic(0)
        self._written: Counter[tuple[DecisionKind, ProxyId]] = Counter()
        self._dropped: Counter[tuple[DecisionKind, ProxyId]] = Counter()

    def record(
        self,
        kind: DecisionKind,
        peer: ProxyId,
        reasons: Mapping[str, str],
    ) -> None:
        """Write one change, or count it if there were many."""
        now = read_clock()
        if now - self._window > WINDOW:
            self._window = now
            self._written.clear()
        counted = kind, peer
        self._written[counted] += 1
        if self._written[counted] > MAX_LINES:
            self._dropped[counted] += 1
            return
        said = {'peer': peer, **reasons}
        dropped = self._dropped.pop(counted, 0)
        if dropped:
            said['dropped'] = str(dropped)
        self._decisions.record(Decision(kind, reasons=said))
