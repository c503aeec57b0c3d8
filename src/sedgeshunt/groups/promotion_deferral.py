"""Hear from peers whether a suspected primary still leads."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.groups.failure_detector import REFUTABLE_CAUSES, Suspicion
from sedgeshunt.groups.liveness import SUSPICION_TIME
from sedgeshunt.groups.peer_query import PeerQuery
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.ports import PrimaryReport

# A primary that some proxies hear and others don't is left this long.
PATIENCE = Seconds(5)


class PromotionDeferral:
    """Weigh what peers say against one proxy's suspicion."""

    def __init__(
        self,
        view: GroupView,
        panel: PeerQuery,
        decisions: DecisionLog,
    ) -> None:
        """Ask `panel` about the group of `view`."""
        self._view = view
        self._panel = panel
        self._decisions = decisions
        self._since: Monotonic | None = None

    def reset(self) -> None:
        """Forget the disagreement, as the suspicion is another or none."""
        self._since = None

    async def should_defer(self, suspicion: Suspicion) -> bool:
        """Tell whether a reachable peer has cause to keep the primary."""
        # One proxy's broken link would cost everyone a failover; but callers
        # who reach the group only through this side wait on, so that no
        # disagreement may last for ever.
        if suspicion.cause not in REFUTABLE_CAUSES:
            return False
        asked_at = read_clock()
        reports = await self._panel.query_primary(self._view.group)
        objecting = [
            report
            for report in reports
            if _is_objection(report, suspicion, asked_at)
        ]
        if not objecting:
            self._since = None
            return False
        if self._since is None:
            self._since = asked_at
            self._decide(suspicion, objecting[0])
        return asked_at - self._since <= PATIENCE

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


def _is_objection(
    report: PrimaryReport,
    suspicion: Suspicion,
    asked_at: Monotonic,
) -> bool:
    if report.primary is None or report.heard_ago is None:
        return False
    if report.term < suspicion.term:
        return False
    # What the peer heard before the primary refused us says nothing.
    suspected_for = asked_at - suspicion.since
    return report.heard_ago <= min(SUSPICION_TIME, suspected_for)
