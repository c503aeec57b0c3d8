"""Tell at each moment whether this instance still owns a group."""

from collections.abc import Callable

from sedgeshunt.clocks import read_boottime
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    OwnerToken,
    ProxyId,
    Seconds,
)
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.ownership.promises import PromisesReceived

# How long an owner may go on by promises alone, counted from the end of its
# lease. Longer than the store's outages; an instance that is no candidate
# waits for longer than this before it claims.
LONGEST_EXTENSION = Seconds(30)


class GroupOwnership:
    """Hold one time of ownership, from a claim to its end."""

    # Two proofs keep it up. The lease: the store gives the key to nobody else
    # before it ends. The promises of all candidates: who might claim has said
    # that it won't. So an outage of the store ends no reign, and neither does
    # the death of a candidate; both together do.

    def __init__(
        self,
        group: GroupId,
        owner: ProxyId,
        token: OwnerToken,
        lease: InstanceLease,
        promises: PromisesReceived,
        on_leaving: Callable[[], object],
    ) -> None:
        """Start with the lease's proof; call `on_leaving` to give it up."""
        self.group = group
        self.owner = owner
        self.token = token
        # The number of the claim that it goes by, by the group's record.
        self.claim = 0
        self.is_over = False
        # Set once the group is to be given up to another instance.
        self.heir: ProxyId | None = None
        self._lease = lease
        self._lease_id = lease.id or 0
        self._promises = promises
        self._on_leaving = on_leaving
        # Those who may claim, by the store's record and by changes of it that
        # are under way.
        self.candidates: frozenset[ProxyId] = frozenset()
        self._lease_end = Boottime(0)
        self._held_until = Boottime(0)

    def is_held(self) -> bool:
        """Tell whether nobody else can own the group at this moment."""
        if self.is_over:
            return False
        now = read_boottime()
        self._extend(now)
        return now < self._held_until

    def is_held_for(self, span: Seconds) -> bool:
        """Tell whether nobody else can own the group for `span` to come."""
        return self.is_held() and read_boottime() + span < self._held_until

    def hand_over_to(self, heir: ProxyId) -> None:
        """Have the group given up to another instance."""
        self.heir = heir
        self._on_leaving()

    def end(self) -> None:
        """End it for good."""
        self.is_over = True

    def renew(self, token: OwnerToken, claim: int) -> None:
        """Go on under a new claim that was made while this one held."""
        self.token = token
        self.claim = claim
        self._lease_id = self._lease.id or 0

    def _extend(self, now: Boottime) -> None:
        lease_end = self._lease.read_end(self._lease_id)
        self._lease_end = Boottime(max(self._lease_end, lease_end))
        self._held_until = Boottime(max(self._held_until, lease_end))
        # Promises only carry on what still holds. After a gap another may
        # have claimed, and lost the group again, unseen from here.
        if now >= self._held_until:
            return
        others = self.candidates - {self.owner}
        promised = self._promises.read_end(others) if others else lease_end
        longest = self._lease_end + LONGEST_EXTENSION
        self._held_until = Boottime(
            max(self._held_until, min(promised, longest)),
        )
