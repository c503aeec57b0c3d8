"""Choose how often the members of a group are asked."""

from dataclasses import dataclass
from enum import Enum

from sedgeshunt.identifiers import Seconds


@dataclass(frozen=True, slots=True)
class PollTiming:
    """Hold how long a poll may wait and how far polls are apart."""

    wait: Seconds
    # A busy primary changes with each write; without this spacing its
    # proxies would spend their time on asking.
    spacing: Seconds


class PollUrgency(Enum):
    """Name what the callers need of the next answers."""

    # Nobody waits: what changes is told by the long poll at once.
    NONE = PollTiming(Seconds(0.05), Seconds(0.01))
    # The primary may be gone: a fence must not queue behind a long poll.
    PRIMARY = PollTiming(Seconds(0.01), Seconds(0.01))
    # Reads needed fresh answers of late, the next will come soon.
    RECENT = PollTiming(Seconds(0.01), Seconds(0.01))
    WRITES = PollTiming(Seconds(0.02), Seconds(0.004))
    # A read waits for an answer asked for after its session opened.
    FRESH = PollTiming(Seconds(0), Seconds(0.002))
