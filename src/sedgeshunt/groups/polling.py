"""Define how often the members of a group are polled."""

from dataclasses import dataclass
from enum import Enum

from sedgeshunt.identifiers import Seconds


@dataclass(frozen=True, slots=True)
class PollTiming:
    """Long-poll time of a poll and minimum time between two polls."""

    wait: Seconds
    # The status of a busy primary changes with each write, which ends long
    # polls at once. The spacing limits the polling rate.
    spacing: Seconds


class PollUrgency(Enum):
    """How soon the next answers are needed, with the poll timing."""

    # No task waits; the long poll returns as soon as the status changes.
    NONE = PollTiming(Seconds(0.05), Seconds(0.01))
    # The primary may have failed; a fence must not wait for a long poll.
    PRIMARY = PollTiming(Seconds(0.01), Seconds(0.01))
    # Reads needed fresh answers recently and are likely to again.
    RECENT = PollTiming(Seconds(0.01), Seconds(0.01))
    WRITES = PollTiming(Seconds(0.02), Seconds(0.004))
    # A read waits for an answer requested after its session was opened.
    FRESH = PollTiming(Seconds(0), Seconds(0.002))
