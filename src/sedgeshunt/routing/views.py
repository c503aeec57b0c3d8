"""Define what routing asks of a group's view and of a target's load."""

from typing import Protocol

from sedgeshunt.groups.points import Point
from sedgeshunt.groups.status import TargetStatus
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId


class FreshnessView(Protocol):
    """Tell what is known of a group's targets."""

    def get_status(self, target: TargetId) -> TargetStatus | None:
        """Return the latest answer of `target`."""

    def get_primary(self) -> TargetId | None:
        """Return who leads in the newest term."""

    def is_responsive(self, target: TargetId, now: Monotonic) -> bool:
        """Tell whether `target` answers, as far as is known."""

    def covers(self, target: TargetId, point: Point) -> bool:
        """Tell whether the target's log includes `point`."""

    def measure_age(self, target: TargetId, now: Monotonic) -> Seconds | None:
        """Return how old the target's data is at most, None if unproven."""


class WatchableView(FreshnessView, Protocol):
    """Tell also when something was learnt."""

    async def wait_change(self, deadline: Monotonic) -> bool:
        """Tell whether anything was learnt by the deadline."""


class Load(Protocol):
    """Tell how busy one target is."""

    def expected_wait(self, now: Monotonic) -> Seconds:
        """Return how long a statement would wait for its turn."""
