"""Notice when a whole availability zone cannot be reached."""

from collections.abc import Mapping, Sequence

from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import ZoneId
from sedgeshunt.membership.peer_clients import PeerState


class ZoneWatch:
    """Tell single proxies that are gone from zones that are cut off."""

    def __init__(self, own_zone: ZoneId, decisions: DecisionLog) -> None:
        """Take every zone for reachable at first."""
        self.cut_zones: frozenset[ZoneId] = frozenset()
        self._suspected: frozenset[ZoneId] = frozenset()
        self._seen: frozenset[ZoneId] = frozenset()
        self._own_zone = own_zone
        self._decisions = decisions

    def look(self, states: Mapping[ZoneId, Sequence[PeerState]]) -> None:
        """Compare the states of the asked peers in each zone."""
        self._seen |= frozenset(
            zone for zone, found in states.items() if PeerState.ALIVE in found
        )
        # A zone whose proxies have not started yet is not cut off.
        unreachable = frozenset(
            zone
            for zone, found in states.items()
            if zone in self._seen - {self._own_zone} and _is_cut(found)
        )
        # One lost answer looks like a cut where one peer stands for a zone.
        is_cut = unreachable & self._suspected
        for zone in sorted(is_cut ^ self.cut_zones):
            self._tell(zone, is_cut=zone in is_cut)
        self._suspected = unreachable
        self.cut_zones = is_cut

    def _tell(self, zone: ZoneId, *, is_cut: bool) -> None:
        state = 'no proxy answers' if is_cut else 'proxies answer again'
        self._decisions.record(
            Decision(
                DecisionKind.ZONE_CUT,
                reasons={'zone': zone, 'state': state},
            ),
        )


def _is_cut(states: Sequence[PeerState]) -> bool:
    return all(state is PeerState.UNREACHABLE for state in states)
