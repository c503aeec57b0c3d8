"""Turn heartbeats and the store's changes into frames and back."""

from collections.abc import Sequence
from typing import Any

from sedgeshunt.adapters.forwarding_frames import (
    WireBeat,
    WireBeatReply,
    WireChange,
    WireChanges,
    WireInstance,
    WireOwned,
)
from sedgeshunt.adapters.frame_values import (
    count_ms,
    make_place,
    read_ms,
    read_place,
    unpack_document,
)
from sedgeshunt.adapters.packing import pack
from sedgeshunt.forwarding.messages import (
    Heartbeat,
    HeartbeatReply,
    OwnedGroup,
)
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    Incarnation,
    OwnerToken,
    ProxyId,
    Revision,
    ZoneId,
)
from sedgeshunt.ports import WatchEvent
from sedgeshunt.registry.changes import StoreChanges
from sedgeshunt.registry.entries import InstanceEntry


def make_beat(beat: Heartbeat) -> Any:
    """Return a heartbeat as frames have it."""
    sender = beat.sender
    return WireBeat(
        sender=(
            None
            if sender is None
            else WireInstance(
                sender.name,
                sender.incarnation,
                sender.zone,
                sender.host,
                sender.port,
                sender.capacity,
            )
        ),
        promised_ms=count_ms(beat.promised) or None,
        # Peers of earlier builds take it as 0 if there is nothing to date.
        echo=beat.echo if beat.promised or beat.gives_part else None,
        version=beat.version,
        store_revision=beat.store_revision,
        gives_part=beat.gives_part or None,
        keeps_unchanged=beat.keeps_unchanged or None,
    )


def read_beat(raw: Any) -> Heartbeat:
    """Return the heartbeat of a frame."""
    return Heartbeat(
        None if raw.sender is None else _read_instance(raw.sender),
        read_ms(raw.promised_ms),
        Boottime(raw.echo or 0),
        raw.version,
        _read_revision(raw.store_revision),
        bool(raw.gives_part),
        bool(raw.keeps_unchanged),
    )


def _read_instance(raw: Any) -> InstanceEntry:
    return InstanceEntry(
        ProxyId(raw.name),
        Incarnation(raw.incarnation),
        ZoneId(raw.zone),
        raw.host,
        raw.port,
        raw.capacity,
    )


def _read_revision(raw: int | None) -> Revision | None:
    return None if raw is None else Revision(raw)


def make_beat_reply(reply: HeartbeatReply) -> Any:
    """Return a heartbeat's answer as frames have it."""
    document, is_packed = pack(reply.document)
    return WireBeatReply(
        stamp=reply.stamp,
        owned=None if reply.owned is None else _make_owned(reply.owned),
        relayed=None if reply.relayed is None else _make_owned(reply.relayed),
        store_revision=reply.store_revision,
        reaches_store=reply.reaches_store or None,
        released=dict(reply.released) or None,
        is_stopping=reply.is_stopping or None,
        document=document,
        is_packed=is_packed or None,
        keeps_unchanged=reply.keeps_unchanged or None,
    )


def read_beat_reply(raw: Any) -> HeartbeatReply:
    """Return a heartbeat's answer from a frame."""
    return HeartbeatReply(
        Boottime(raw.stamp),
        None if raw.owned is None else _read_owned(raw.owned),
        bool(raw.is_stopping),
        None if raw.relayed is None else _read_owned(raw.relayed),
        _read_revision(raw.store_revision),
        bool(raw.reaches_store),
        tuple(
            (GroupId(group), claim)
            for group, claim in (raw.released or {}).items()
        ),
        unpack_document(raw),
        bool(raw.keeps_unchanged),
    )


def _make_owned(owned: Sequence[OwnedGroup]) -> list[Any]:
    return [
        WireOwned(one.group, one.token, make_place(one.tip)) for one in owned
    ]


def _read_owned(raw: Sequence[Any] | None) -> tuple[OwnedGroup, ...]:
    return tuple(
        OwnedGroup(
            GroupId(one.group),
            OwnerToken(one.token),
            read_place(one.tip),
        )
        for one in raw or ()
    )


def make_changes(changes: StoreChanges) -> Any:
    """Return changes as frames have them."""
    return WireChanges(
        changes.after,
        changes.revision,
        [_make_change(one) for one in changes.events],
        changes.is_whole or None,
    )


def read_changes(raw: Any) -> StoreChanges:
    """Return the changes of a frame."""
    return StoreChanges(
        Revision(raw.after),
        Revision(raw.revision),
        tuple(
            WatchEvent(
                one.key,
                unpack_document(one),
                Revision(one.revision),
                Revision(one.created),
            )
            for one in raw.changes
        ),
        bool(raw.is_whole),
    )


def _make_change(event: WatchEvent) -> Any:
    document, is_packed = pack(event.value)
    return WireChange(
        event.key,
        document,
        event.revision,
        event.created,
        is_packed or None,
    )
