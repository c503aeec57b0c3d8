"""Describe what proxies write into the store."""

from typing import TypeVar

from msgspec import Struct, ValidationError
from msgspec.json import decode, encode

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

_Entry = TypeVar('_Entry', bound=Struct)


class InstanceEntry(Struct, frozen=True):
    """Tell how an instance is reached."""

    name: ProxyId
    incarnation: Incarnation
    zone: ZoneId
    host: str
    port: int
    # Relative speed, from the settings: larger ones own more groups.
    capacity: float = 1

    @property
    def address(self) -> Address:
        """Return where its peers come in."""
        return Address(self.host, self.port)


class OwnerEntry(Struct, frozen=True):
    """Tell which instance owns a group."""

    owner: ProxyId
    incarnation: Incarnation


class ReplacementIntent(Struct, frozen=True):
    """Tell which target was about to be promoted, and by whose token."""

    target: TargetId
    token: OwnerToken


class PrimaryNote(Struct, frozen=True):
    """Tell which target leads, and in which term at least."""

    target: TargetId
    term: Term
    # The life in which it led.
    life: TargetLife = TargetLife(0)
    # The store's era in which it was surely known to lead.
    era: Era = FIRST_ERA


class GroupRecord(Struct, frozen=True):
    """Hold what outlasts each owner of a group."""

    group: GroupId
    # Only these instances may claim the group.
    candidates: tuple[ProxyId, ...] = ()
    # The latest owner; who claims has to be free of promises to it.
    owner: ProxyId = ProxyId('')
    incarnation: Incarnation = Incarnation('')
    # Counts the claims; the owner's reign is known by it.
    claims: int = 0
    # The store's era of the latest claim.
    era: Era = FIRST_ERA
    # The one instance that should claim next; others give it some time.
    heir: ProxyId = ProxyId('')
    leader: PrimaryNote | None = None
    # Set before a promotion is ordered, cleared once its end is known.
    intent: ReplacementIntent | None = None
    # Addresses of targets that may hold acknowledged writes. Kept only where
    # replicas acknowledge writes; those that are not listed count too.
    copies: tuple[CopyPlace, ...] = ()


def encode_entry(entry: Struct) -> bytes:
    """Return an entry as the store keeps it."""
    return encode(entry)


def read_entry(document: bytes, kind: type[_Entry]) -> _Entry | None:
    """Return the entry of a document, None when it can't be read."""
    try:
        return decode(document, type=kind)
    except (ValidationError, ValueError):
        return None
