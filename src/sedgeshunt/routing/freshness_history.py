"""Prove how old a replica's log may be, without asking the replica."""

from collections import deque

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Boottime, Seconds

# Log ends noted at most this often; more would prove hardly more.
SAMPLE_EVERY = Seconds(0.05)
# Longest age that a route may ask for with any use; older ones are dropped.
LONGEST_AGE = Seconds(10)


class FreshnessHistory:
    """Remember which log end covered all commits before which moment."""

    # A log end that the primary showed, to a question asked at a moment,
    # covers every commit that was acknowledged before. A replica that has it
    # is therefore no older than that moment. The oldest one that still proves
    # an age is the one that most replicas have.

    def __init__(self) -> None:
        """Prove nothing yet."""
        self._samples: deque[tuple[Boottime, Point]] = deque()

    @property
    def newest(self) -> Point | None:
        """Return the newest log end known."""
        return self._samples[-1][1] if self._samples else None

    def record(self, asked_at: Boottime, tip: Point) -> None:
        """Take in a log end and when the question for it was asked."""
        samples = self._samples
        if samples and samples[-1][1].term > tip.term:
            return
        # After a change of primary the former one's last commits may have
        # been dropped, and no replica would ever have them.
        if samples and samples[-1][1].term < tip.term:
            samples.clear()
        if samples and asked_at < samples[-1][0] + SAMPLE_EVERY:
            return
        if samples and tip < samples[-1][1]:
            return
        samples.append((asked_at, tip))
        while samples[0][0] < asked_at - LONGEST_AGE:
            samples.popleft()

    def find_covering(
        self,
        since: Boottime,
        after: Point | None = None,
    ) -> Point | None:
        """Return a log end that covers all commits before `since`.

        It covers the session's commit `after` too. None: nothing is proved.
        """
        newest = self.newest
        if newest is None:
            return None
        covering = next(
            (tip for asked_at, tip in self._samples if asked_at >= since),
            None,
        )
        if covering is None or after is None:
            return covering
        # The newest primary's log holds what was kept of earlier terms.
        if after.term < newest.term:
            return covering
        return max(covering, after)
