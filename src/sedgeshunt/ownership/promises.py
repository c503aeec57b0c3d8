"""Keep what candidates promise an owner while the store is away."""

from collections.abc import Iterable

from sedgeshunt.clocks import PROCESS_STARTED_AT, read_boottime
from sedgeshunt.identifiers import Boottime, GroupId, ProxyId, Seconds

# How long a promise binds its maker, counted from when it is sent. It is dated
# by the heartbeat before, 0.2 s earlier, and renewed 0.2 s later; the rest lets
# one heartbeat be lost.
PROMISE_TIME = Seconds(0.7)
# While the store does not answer a candidate, it can't claim anyway. A longer
# promise then carries an owner over the loss of that candidate, as by a cut of
# its zone, to the end of a usual outage of five seconds.
OUTAGE_PROMISE_TIME = Seconds(4)


class PromisesMade:
    """Remember to which owners this instance promised not to claim."""

    # A promise says: "for so long from now I will not claim a group that you
    # own". A process that starts has forgotten the promises of the one before
    # it, so it is bound to everybody for as long as any promise holds.

    def __init__(self, started_at: Boottime = PROCESS_STARTED_AT) -> None:
        """Be bound by what the process before may have promised."""
        self._started_at = started_at
        self._bound_until: dict[ProxyId, Boottime] = {}
        # For which groups promises are withheld from an owner.
        self._withheld: dict[ProxyId, set[GroupId]] = {}

    def make(self, owner: ProxyId, span: Seconds) -> Seconds:
        """Promise `owner` for `span`, 0 if this instance is about to claim."""
        if self._withheld.get(owner):
            return Seconds(0)
        until = Boottime(read_boottime() + span)
        known = self._bound_until.get(owner, Boottime(0))
        self._bound_until[owner] = max(known, until)
        return span

    def list_owners(self) -> frozenset[ProxyId]:
        """List all to whom a promise was ever made."""
        return frozenset(self._bound_until)

    def withhold(self, owner: ProxyId, group: GroupId) -> None:
        """Promise `owner` nothing more, as `group` may be claimed."""
        self._withheld.setdefault(owner, set()).add(group)

    def allow(self, owner: ProxyId, group: GroupId) -> None:
        """Promise `owner` again, unless another group may be claimed."""
        self._withheld.get(owner, set()).discard(group)

    def measure_remaining(self, owner: ProxyId) -> Seconds:
        """Return how long this instance is still bound to `owner`."""
        since_start = self._started_at + OUTAGE_PROMISE_TIME
        until = max(since_start, self._bound_until.get(owner, Boottime(0)))
        return Seconds(max(0, until - read_boottime()))


class PromisesReceived:
    """Remember what candidates promised this instance, by its own clock."""

    def __init__(self) -> None:
        """Hold none."""
        self._end: dict[ProxyId, Boottime] = {}

    def record(
        self,
        candidate: ProxyId,
        made_after: Boottime,
        span: Seconds,
    ) -> None:
        """Take in a promise for `span` that was made after a reading."""
        # The candidate repeats the last reading that it got from here: its
        # own clock can't be compared, and a late message is dated rightly.
        known = self._end.get(candidate, Boottime(0))
        end = made_after + span if made_after else 0
        self._end[candidate] = Boottime(max(known, end))

    def read_end(self, candidates: Iterable[ProxyId]) -> Boottime:
        """Return until when none of `candidates` will claim."""
        ends = (
            self._end.get(candidate, Boottime(0)) for candidate in candidates
        )
        return min(ends, default=Boottime(0))
