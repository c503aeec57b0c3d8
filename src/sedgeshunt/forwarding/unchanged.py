"""Leave out of heartbeats and replies what the other side knows already."""

from typing import TypeVar

from msgspec.structs import replace

from sedgeshunt.forwarding.messages import Heartbeat, HeartbeatReply, OwnedGroup
from sedgeshunt.registry.entries import InstanceEntry

_Value = TypeVar('_Value')


class SentHeartbeats:
    """Shorten the heartbeats that are sent on one connection."""

    # A peer of an earlier build needs all fields, so each side tells by its
    # first message on a connection whether it takes shortened ones.

    def __init__(self) -> None:
        """Start with a connection on which nothing was sent."""
        self._last: Heartbeat | None = None
        self._is_understood = False

    def note_reply(self, reply: HeartbeatReply) -> None:
        """Record whether the peer takes shortened heartbeats."""
        self._is_understood = self._is_understood or reply.keeps_unchanged

    def shorten(self, beat: Heartbeat) -> Heartbeat:
        """Return a heartbeat without what the peer knows."""
        last = self._last
        self._last = beat
        if last is None:
            return replace(beat, keeps_unchanged=True)
        if not self._is_understood:
            return replace(beat, sender=None)
        return replace(
            beat,
            sender=None,
            version=_shorten(beat.version, last.version),
            store_revision=_shorten(beat.store_revision, last.store_revision),
        )


class AnsweredHeartbeats:
    """Complete the heartbeats of one connection and shorten the replies."""

    def __init__(self) -> None:
        """Start with a connection on which nothing was received."""
        self._sender: InstanceEntry | None = None
        self._version: int | None = None
        self._is_understood = False
        self._last: HeartbeatReply | None = None

    def complete(self, beat: Heartbeat) -> Heartbeat | None:
        """Return a heartbeat with its sender, None while that is unknown."""
        self._sender = beat.sender or self._sender
        if self._sender is None:
            return None
        if beat.version is not None:
            self._version = beat.version
        self._is_understood = self._is_understood or beat.keeps_unchanged
        return replace(beat, sender=self._sender, version=self._version)

    def shorten(self, reply: HeartbeatReply) -> HeartbeatReply:
        """Return a reply without what the peer knows."""
        last = self._last
        self._last = reply
        if last is None:
            return replace(reply, keeps_unchanged=True)
        relayed = _shorten(reply.relayed, last.relayed)
        if not self._is_understood:
            return replace(reply, relayed=relayed)
        return replace(
            reply,
            relayed=relayed,
            owned=_shorten(reply.owned, last.owned),
            store_revision=_shorten(reply.store_revision, last.store_revision),
        )


def complete_reply(
    reply: HeartbeatReply,
    owned: tuple[OwnedGroup, ...],
) -> HeartbeatReply:
    """Return a reply with the owned groups of the previous one if unchanged."""
    return reply if reply.owned is not None else replace(reply, owned=owned)


def _shorten(value: _Value, last: _Value) -> _Value | None:
    return None if value == last else value
