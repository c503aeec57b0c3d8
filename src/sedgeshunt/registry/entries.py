"""Define the entries that proxies write into the store."""

from typing import Annotated, TypeVar

from msgspec import Meta, Struct
from msgspec.json import encode

from sedgeshunt.decoding import decode_document
from sedgeshunt.identifiers import (
    CopyPlace,
    Era,
    GroupId,
    Incarnation,
    OwnerToken,
    ProxyId,
    TargetId,
    TargetLife,
    Term,
    ZoneId,
)
from sedgeshunt.ports import FIRST_ERA, Address

MAX_PORT = 65535
Entry = TypeVar('Entry', bound=Struct)


class InstanceEntry(Struct, frozen=True):
    """Hold how an instance is reached."""

    name: Annotated[ProxyId, Meta(min_length=1)]
    incarnation: Incarnation
    zone: ZoneId
    host: str
    port: Annotated[int, Meta(ge=1, le=MAX_PORT)]
    # Relative speed, from the settings: larger instances own more groups.
    capacity: Annotated[float, Meta(gt=0)] = 1

    @property
    def address(self) -> Address:
        """Return the address for its peers."""
        return Address(self.host, self.port)


class OwnerEntry(Struct, frozen=True):
    """Hold which instance owns a group."""

    owner: ProxyId
    incarnation: Incarnation


class ReplacementIntent(Struct, frozen=True):
    """Hold which target is to be promoted, and the token of the order."""

    target: TargetId
    token: OwnerToken
    # The newest term that its owner knew; the target leads a later one.
    term: Term = Term(0)


class PrimaryNote(Struct, frozen=True):
    """Hold which target is the primary, and its term at least."""

    target: TargetId
    term: Term
    # Its life at that time; see KnownTarget.
    life: TargetLife = TargetLife(0)
    # The latest era of the store in which it was confirmed as primary.
    era: Era = FIRST_ERA


class LeaseEndings(Struct, frozen=True):
    """Hold the leases of an instance that others ended, oldest first."""

    leases: tuple[int, ...] = ()


class GroupRecord(Struct, frozen=True):
    """Hold the state of a group that outlasts its owners."""

    group: GroupId
    # Only these instances may claim the group.
    candidates: tuple[ProxyId, ...] = ()
    # The latest owner; nobody may claim while bound by a promise to it.
    owner: ProxyId = ProxyId('')
    incarnation: Incarnation = Incarnation('')
    # Number of claims so far; it identifies the period of an ownership.
    claims: int = 0
    # The lease to which that claim bound the owner key; 0 if it was made by an
    # earlier version.
    lease: int = 0
    # The era of the store at the latest claim.
    era: Era = FIRST_ERA
    # The next owner of the group; others delay their claims.
    heir: ProxyId = ProxyId('')
    leader: PrimaryNote | None = None
    # Set before a promotion is ordered, cleared once its result is known.
    intent: ReplacementIntent | None = None
    # Addresses of targets that may hold acknowledged writes, including targets
    # that are no longer listed. Only kept where replicas acknowledge writes.
    copies: tuple[CopyPlace, ...] = ()


def encode_entry(entry: Struct) -> bytes:
    """Encode an entry for the store."""
    return encode(entry)


def read_entry(document: bytes, kind: type[Entry]) -> Entry:
    """Decode an entry; raise Undecodable."""
    return decode_document(document, kind)
