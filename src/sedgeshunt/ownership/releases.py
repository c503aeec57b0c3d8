"""Announce ownerships that ended before their promises expired."""

from sedgeshunt.clocks import read_boottime
from sedgeshunt.identifiers import Boottime, GroupId, Seconds

# A release is sent to every peer that sends a heartbeat within this time.
ANNOUNCE_PERIOD = Seconds(5)


class Releases:
    """Record releases by this instance and by peers."""

    # An owner that can't reach the store can't delete its key. An announcement
    # to the candidates serves as well, because the ownership ends before it is
    # sent. The claim number keeps it from releasing a later ownership.

    def __init__(self) -> None:
        """Start without any release."""
        self._own: dict[GroupId, tuple[int, Boottime]] = {}
        self._peer_releases: dict[GroupId, int] = {}

    def record_own(self, group: GroupId, claim: int) -> None:
        """Record the end of an ownership of this instance."""
        self._own[group] = (claim, read_boottime())

    def list_recent(self) -> list[tuple[GroupId, int]]:
        """List the groups and claim numbers that are to be announced."""
        since = read_boottime() - ANNOUNCE_PERIOD
        return [
            (group, claim)
            for group, (claim, ended_at) in self._own.items()
            if ended_at > since
        ]

    def record_peer_release(self, group: GroupId, claim: int) -> None:
        """Record a release that a peer announced."""
        self._peer_releases[group] = max(
            claim, self._peer_releases.get(group, 0)
        )

    def is_released(self, group: GroupId, claim: int) -> bool:
        """Return whether the ownership by a claim is known to have ended."""
        return claim > 0 and self._peer_releases.get(group, 0) >= claim
