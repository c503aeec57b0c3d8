"""Describe the evidence by which an ownership is held."""

from enum import Enum

from msgspec import Struct

from sedgeshunt.identifiers import Boottime, OwnerToken, Seconds

MILLISECONDS = 1000


class Basis(Enum):
    """Name what an ownership is held by."""

    LEASE = 'lease'
    PROMISES = 'promises'
    NONE = 'none'


class Renewal(Struct, frozen=True):
    """Hold when a renewal of a lease was sent, and whether a peer made it."""

    sent_at: Boottime = Boottime(0)
    is_relayed: bool = False


class HoldEvidence(Struct, frozen=True):
    """Hold by what an ownership is held at a moment, and how old that is."""

    token: OwnerToken
    claim: int
    lease: int
    basis: Basis
    # Time since the latest renewal of the lease was sent.
    age: Seconds
    # Time for which it is held without further evidence, negative after that.
    left: Seconds
    # The latest renewal was made by a peer.
    is_relayed: bool = False

    def describe(self) -> dict[str, str]:
        """Return the fields of a line."""
        return {
            'token': str(self.token),
            'claim': str(self.claim),
            'lease': str(self.lease),
            'evidence': self.basis.value,
            'age_ms': str(round(self.age * MILLISECONDS)),
            'left_ms': str(round(self.left * MILLISECONDS)),
            'renewed_by': 'peer' if self.is_relayed else 'self',
        }
