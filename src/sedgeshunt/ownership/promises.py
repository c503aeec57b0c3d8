"""Track the promises of candidates, which extend an ownership."""

from collections.abc import Iterable

from sedgeshunt.clocks import PROCESS_STARTED_AT, read_boottime
from sedgeshunt.identifiers import Boottime, GroupId, ProxyId, Seconds

# How long a promise binds its sender. Its receiver counts it from the previous
# heartbeat, 0.2 s earlier, and it is renewed 0.2 s later; the rest tolerates
# the loss of one heartbeat.
PROMISE_TIME = Seconds(0.7)
# A candidate that the store doesn't answer can't claim anyway. If it fails
# then, as by a cut of its zone, the longer promise lets the owner go on to the
# end of a usual store outage of five seconds.
OUTAGE_PROMISE_TIME = Seconds(4)


class PromisesMade:
    """Record to which owners this instance promised not to claim."""

    # A promise states that its sender won't claim any group of the receiver
    # for a time. Promises are kept in memory only, so a process that starts is
    # bound to every owner for the longest time that a promise can last.

    def __init__(self, started_at: Boottime = PROCESS_STARTED_AT) -> None:
        """Be bound by promises that the previous process may have made."""
        self._started_at = started_at
        self._bound_until: dict[ProxyId, Boottime] = {}
        # For which groups promises to an owner are withheld.
        self._withheld: dict[ProxyId, set[GroupId]] = {}

    def make(self, owner: ProxyId, span: Seconds) -> Seconds:
        """Make a promise and return its time, 0 if it is withheld."""
        if self._withheld.get(owner):
            return Seconds(0)
        until = Boottime(read_boottime() + span)
        known = self._bound_until.get(owner, Boottime(0))
        self._bound_until[owner] = max(known, until)
        return span

    def list_owners(self) -> frozenset[ProxyId]:
        """List all owners to which a promise was ever made."""
        return frozenset(self._bound_until)

    def withhold(self, owner: ProxyId, group: GroupId) -> None:
        """Stop promises to `owner` before a claim of `group`."""
        self._withheld.setdefault(owner, set()).add(group)

    def allow(self, owner: ProxyId, group: GroupId) -> None:
        """Resume promises to `owner`, unless another group withholds them."""
        self._withheld.get(owner, set()).discard(group)

    def measure_remaining(self, owner: ProxyId) -> Seconds:
        """Return how long promises to `owner` still bind this instance."""
        since_start = self._started_at + OUTAGE_PROMISE_TIME
        until = max(since_start, self._bound_until.get(owner, Boottime(0)))
        return Seconds(max(0, until - read_boottime()))


class PromisesReceived:
    """Record the promises of candidates by this instance's own clock."""

    def __init__(self) -> None:
        """Start without any promise."""
        self._expiries: dict[ProxyId, Boottime] = {}

    def record(
        self,
        candidate: ProxyId,
        made_after: Boottime,
        span: Seconds,
    ) -> None:
        """Record a promise for `span` that was made after `made_after`."""
        # `made_after` is the last clock reading of this instance that the
        # candidate received: clocks of two instances can't be compared, and a
        # delayed message is still dated correctly. A reading that is ahead of
        # the clock is from before a restart of this instance.
        is_dated = 0 < made_after <= read_boottime()
        known = self._expiries.get(candidate, Boottime(0))
        end = made_after + span if is_dated else 0
        self._expiries[candidate] = Boottime(max(known, end))

    def find_expiry(self, candidates: Iterable[ProxyId]) -> Boottime:
        """Return until when no one of `candidates` will claim."""
        ends = (
            self._expiries.get(candidate, Boottime(0))
            for candidate in candidates
        )
        return min(ends, default=Boottime(0))
