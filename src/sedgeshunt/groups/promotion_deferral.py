"""Defer a promotion while peers still reach the suspected primary."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.groups.failure_detector import REFUTABLE_CAUSES, Suspicion
from sedgeshunt.groups.liveness import SUSPICION_TIME
from sedgeshunt.groups.peer_query import PeerQuery
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.ports import PrimaryReport

# A primary that only some of the proxies reach is replaced after this time.
MAX_DEFERRAL = Seconds(5)


class PromotionDeferral:
    """Check a suspicion of this proxy against the reports of its peers."""

    def __init__(
        self,
        view: GroupView,
        peers: PeerQuery,
        decisions: DecisionLog,
    ) -> None:
        """Query `peers` about the group of `view`."""
        self._view = view
        self._peers = peers
        self._decisions = decisions
        self._since: Monotonic | None = None

    def reset(self) -> None:
        """Restart the deferral time after the suspicion changed or ended."""
        self._since = None

    async def should_defer(self, suspicion: Suspicion) -> bool:
        """Return whether a peer's report is reason to keep the primary."""
        # One proxy's broken connection must not cause a failover for all. But
        # callers of this proxy can't write meanwhile, so the deferral is
        # bounded.
        if suspicion.cause not in REFUTABLE_CAUSES:
            return False
        asked_at = read_clock()
        reports = await self._peers.query_primary(self._view.group)
        contradicting = [
            report
            for report in reports
            if _shows_live_primary(report, suspicion, asked_at)
        ]
        if not contradicting:
            self._since = None
            return False
        if self._since is None:
            self._since = asked_at
            self._decide(suspicion, contradicting[0])
        return asked_at - self._since <= MAX_DEFERRAL

    def _decide(self, suspicion: Suspicion, report: PrimaryReport) -> None:
        reasons = {
            'cause': suspicion.cause.value,
            'term': str(report.term),
            'peer heard ago': str(report.heard_ago),
        }
        self._decisions.record(
            Decision(
                DecisionKind.PROMOTION_DEFERRED,
                self._view.group,
                report.primary,
                reasons,
            ),
        )


def _shows_live_primary(
    report: PrimaryReport,
    suspicion: Suspicion,
    asked_at: Monotonic,
) -> bool:
    if report.primary is None or report.heard_ago is None:
        return False
    if report.term < suspicion.term:
        return False
    # An answer from before the suspicion began doesn't contradict it.
    suspected_for = asked_at - suspicion.since
    return report.heard_ago <= min(SUSPICION_TIME, suspected_for)
