"""Tell candidates of reigns that ended before their promises did."""

from sedgeshunt.clocks import read_boottime
from sedgeshunt.identifiers import Boottime, GroupId, Seconds

# A release is told to everybody who asks within this time.
TOLD_FOR = Seconds(5)


class Releases:
    """Remember releases, own ones and those that peers told."""

    # An owner that the store does not answer can't give its key back. Its own
    # word is as good: the reign has ended before it is given. The number of
    # the claim keeps an old word from counting for a later reign.

    def __init__(self) -> None:
        """Know of none."""
        self._own: dict[GroupId, tuple[int, Boottime]] = {}
        self._heard: dict[GroupId, int] = {}

    def record_own(self, group: GroupId, claim: int) -> None:
        """Take in that this instance's reign by a claim has ended."""
        self._own[group] = (claim, read_boottime())

    def list_recent(self) -> list[tuple[GroupId, int]]:
        """List the groups and claims that are to be told."""
        since = read_boottime() - TOLD_FOR
        return [
            (group, claim)
            for group, (claim, ended_at) in self._own.items()
            if ended_at > since
        ]

    def record_peer_release(self, group: GroupId, claim: int) -> None:
        """Take in a peer's word."""
        self._heard[group] = max(claim, self._heard.get(group, 0))

    def is_released(self, group: GroupId, claim: int) -> bool:
        """Tell whether the reign by a claim is known to have ended."""
        return claim > 0 and self._heard.get(group, 0) >= claim
