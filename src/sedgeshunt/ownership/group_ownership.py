"""Track whether this instance still owns a group."""

from collections.abc import Callable

from msgspec import Struct

from sedgeshunt.clocks import read_boottime
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    OwnerToken,
    ProxyId,
    Revision,
    Seconds,
)
from sedgeshunt.ownership.evidence import (
    Basis,
    HoldEvidence,
    Renewal,
)
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.ownership.promises import PromisesReceived
from sedgeshunt.revisions import read_era

# How long promises alone may extend an ownership after its lease has expired.
# Longer than usual outages of the store; an instance that is no candidate
# waits longer than this before it claims.
MAX_EXTENSION = Seconds(30)


class ClaimedKey(Struct, frozen=True):
    """Hold what one claim has written: an owner key, bound to a lease."""

    token: OwnerToken
    lease: int
    # The number of the claim in the record of the group.
    claim: int


class GroupOwnership:
    """Hold one period of ownership, from a claim to its end."""

    # An ownership is valid by the lease, as the store gives the key to nobody
    # else before it expires, or by the promises of all candidates not to
    # claim. So neither an outage of the store nor the failure of a candidate
    # ends it; both together do.

    def __init__(
        self,
        group: GroupId,
        owner: ProxyId,
        key: ClaimedKey,
        lease: InstanceLease,
        promises: PromisesReceived,
        on_handover: Callable[[], object],
    ) -> None:
        """Start with `key`; call `on_handover` to request a handover."""
        self.group = group
        self.owner = owner
        self.token = key.token
        # The number of its latest claim in the record of the group.
        self.claim = key.claim
        self.is_over = False
        # Set once the group is to be handed over to another instance.
        self.next_owner: ProxyId | None = None
        self._lease = lease
        self._lease_id = key.lease
        self._era = read_era(Revision(key.token))
        self._promises = promises
        self._on_handover = on_handover
        # Instances that may claim, by the record in the store and by pending
        # changes of it.
        self.candidates: frozenset[ProxyId] = frozenset()
        # The latest known expiry of the lease, even if it ended earlier.
        self._lease_end = Boottime(0)
        # Until when promises extend the ownership.
        self._promised_until = Boottime(0)
        # For the lines: by what it was held last, and when.
        self._basis = Basis.NONE
        self._held_at = Boottime(0)
        self._renewal = Renewal()
        # Called with the evidence at each change of its kind.
        self.on_change: Callable[[HoldEvidence, Basis], None] = _ignore

    def is_held(self) -> bool:
        """Return whether nobody else can own the group at this moment."""
        if self.is_over:
            return False
        now = read_boottime()
        end = self._find_end(now)
        self._note_basis(now, end)
        return now < end

    def is_held_for(self, span: Seconds) -> bool:
        """Return whether nobody else can own the group within `span`."""
        now = read_boottime()
        return self.is_held() and now + span < self._find_end(now)

    def hand_over_to(self, next_owner: ProxyId) -> None:
        """Request a handover to another instance."""
        self.next_owner = next_owner
        self._on_handover()

    def end(self) -> None:
        """End the ownership for good."""
        now = read_boottime()
        end = self._find_end(now)
        self.is_over = True
        self._note_basis(now, end)

    def describe(self) -> HoldEvidence:
        """Return by what it is held at this moment."""
        now = read_boottime()
        end = self._find_end(now)
        return HoldEvidence(
            self.token,
            self.claim,
            self._lease_id,
            self._find_basis(now, end),
            Seconds(now - self._renewal.sent_at),
            Seconds(max(end, self._held_at) - now),
            self._renewal.is_relayed,
        )

    def renew(self, key: ClaimedKey) -> None:
        """Continue under a new claim that was made before this one ended."""
        self.token = key.token
        self.claim = key.claim
        self._lease_id = key.lease
        self._era = read_era(Revision(key.token))

    def _find_basis(self, now: Boottime, end: Boottime) -> Basis:
        if self.is_over or now >= end:
            return Basis.NONE
        lease_end = self._lease.find_expiry(self._lease_id, self._era)
        return Basis.LEASE if now < lease_end else Basis.PROMISES

    def _note_basis(self, now: Boottime, end: Boottime) -> None:
        before = self._basis
        self._basis = self._find_basis(now, end)
        if self._basis is not Basis.NONE:
            self._held_at = now
        if self._basis is not before:
            self.on_change(self.describe(), before)

    def _find_end(self, now: Boottime) -> Boottime:
        """Return until when the ownership is valid."""
        # Asked each time, as the lease may end before its expiry.
        lease_end = self._lease.find_expiry(self._lease_id, self._era)
        if lease_end > self._lease_end:
            self._renewal = self._lease.renewal
        self._lease_end = Boottime(max(self._lease_end, lease_end))
        # Promises only extend an ownership that is still valid. After a gap
        # another instance may have owned the group without notice here.
        if now < max(lease_end, self._promised_until):
            others = self.candidates - {self.owner}
            promised = self._promises.find_expiry(others)
            longest = self._lease_end + MAX_EXTENSION
            self._promised_until = Boottime(
                max(self._promised_until, min(promised, longest)),
            )
        return Boottime(max(lease_end, self._promised_until))


def _ignore(evidence: HoldEvidence, before: Basis) -> None:
    """Record nothing."""
