"""Detect that a whole availability zone is unreachable."""

from collections.abc import Mapping, Sequence

from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import ZoneId
from sedgeshunt.membership.peer_clients import PeerState


class ZoneWatch:
    """Distinguish the loss of single proxies from that of a whole zone."""

    def __init__(self, own_zone: ZoneId, decisions: DecisionLog) -> None:
        """Start with every zone as reachable."""
        self.cut_zones: frozenset[ZoneId] = frozenset()
        self._suspected: frozenset[ZoneId] = frozenset()
        self._seen: frozenset[ZoneId] = frozenset()
        self._own_zone = own_zone
        self._decisions = decisions

    def update(self, states: Mapping[ZoneId, Sequence[PeerState]]) -> None:
        """Evaluate the states of the polled peers in each zone."""
        self._seen |= frozenset(
            zone for zone, found in states.items() if PeerState.ALIVE in found
        )
        # A zone whose proxies have not started yet does not count as lost.
        unreachable = frozenset(
            zone
            for zone, found in states.items()
            if zone in self._seen - {self._own_zone} and _is_cut(found)
        )
        # In a zone with one polled peer, a single lost answer looks like the
        # loss of the zone, so two evaluations in a row have to agree.
        is_cut = unreachable & self._suspected
        for zone in sorted(is_cut ^ self.cut_zones):
            self._record(zone, is_cut=zone in is_cut)
        self._suspected = unreachable
        self.cut_zones = is_cut

    def _record(self, zone: ZoneId, *, is_cut: bool) -> None:
        state = 'no proxy answers' if is_cut else 'proxies answer again'
        self._decisions.record(
            Decision(
                DecisionKind.ZONE_CUT,
                reasons={'zone': zone, 'state': state},
            ),
        )


def _is_cut(states: Sequence[PeerState]) -> bool:
    return all(state is PeerState.UNREACHABLE for state in states)
