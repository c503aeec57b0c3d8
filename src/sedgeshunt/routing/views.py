"""Define the interfaces of a group's view and a target's load."""

from typing import Protocol

from sedgeshunt.groups.points import Point
from sedgeshunt.groups.status import TargetStatus
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId


class FreshnessView(Protocol):
    """The known state of a group's targets."""

    def get_status(self, target: TargetId) -> TargetStatus | None:
        """Return the latest answer of `target`."""

    def get_primary(self) -> TargetId | None:
        """Return the responsive primary of the newest term."""

    def is_responsive(self, target: TargetId, now: Monotonic) -> bool:
        """Return whether `target` is connected and not suspected."""

    def covers(self, target: TargetId, point: Point) -> bool:
        """Return whether the log of `target` includes `point`."""

    def measure_age(self, target: TargetId, now: Monotonic) -> Seconds | None:
        """Return the maximum age of the target's data, None if unproven."""


class WatchableView(FreshnessView, Protocol):
    """A view that also signals changes."""

    async def wait_change(self, deadline: Monotonic) -> bool:
        """Return whether the view changed by the deadline."""


class Load(Protocol):
    """The load of one target."""

    def expected_wait(self, now: Monotonic) -> Seconds:
        """Return how long a new statement would be queued."""
