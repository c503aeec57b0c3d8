"""Keep the lease of this instance in the platform's store."""

from abc import ABC, abstractmethod
from asyncio import Event, create_task, sleep, timeout
from contextlib import suppress

from msgspec import Struct

from sedgeshunt.clocks import read_boottime
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import (
    AnswerLost,
    LeaseLapsed,
    PlatformUnavailable,
)
from sedgeshunt.identifiers import Boottime, Era, Revision, Seconds
from sedgeshunt.ownership.evidence import Renewal
from sedgeshunt.ports import FIRST_ERA, Compare, Put
from sedgeshunt.registry.current_store import CurrentStore
from sedgeshunt.registry.entries import InstanceEntry, encode_entry
from sedgeshunt.registry.keys import make_instance_key

# Delay before a failed renewal is retried.
RETRY_DELAY = Seconds(0.1)
# After this time without evidence that the store answers, the lease is renewed
# at once, so that an instance with a long lease detects an outage as early as
# one with a short lease.
SILENCE_CHECK_DELAY = Seconds(0.3)
# An instance that is about to claim a group keeps a short lease for this time;
# by then the record of the group names it.
SHORT_LEASE_PERIOD = Seconds(5)
# Without load, a registration shows in the view of the store within this time.
LISTING_DELAY = Seconds(2)
# How long a starting process waits for the listing that shows which lease it
# needs.
STARTUP_WAIT = Seconds(0.3)
# After this time without a renewal the store counts as unreachable: two
# renewals of a short lease are due in it.
REACH_TIMEOUT = Seconds(0.8)
# After this time without an answer, a peer that still reports to reach the
# store shows that only this instance is cut off: in an outage the last answer
# to the peer came at most 0.3 s later, and its report is one heartbeat old.
CUT_OFF_TIMEOUT = Seconds(1.5)
# The store usually answers within milliseconds. A renewal that is relayed after
# this delay still arrives before the lease expires.
RELAY_DELAY = Seconds(0.2)
# A renewal of a short lease is late after this time: it is due after 0.3 s and
# takes some milliseconds.
LATE_RENEWAL_TIME = Seconds(0.4)
# An answer to a renewal is overdue after this time; it usually takes 4 ms.
ANSWER_TIMEOUT = Seconds(0.1)
# A registration is repeated if the store holds another entry than was known:
# once for the entry of an earlier process, once for that of an earlier era.
REGISTRATION_ATTEMPTS = 3
ABSENT = Revision(0)
# How much faster the clock of the store may run within the time of a lease.
CLOCK_DRIFT_MARGIN = Seconds(0.05)


class LeaseTiming(Struct, frozen=True):
    """Hold how long a lease lasts and how often it is renewed."""

    duration: Seconds
    renewal_interval: Seconds
    retry_delay: Seconds


# For owners of groups and candidates: the shortest lease that the store grants,
# as another instance takes over when it expires. It tolerates two failed
# renewals.
SHORT_LEASE = LeaseTiming(Seconds(1), Seconds(0.3), RETRY_DELAY)
# For all other instances: peers detect the loss of one by their links, and its
# entry only lists it as available. It tolerates two failed renewals. With 195
# instances the renewals cost the store 140 calls a second instead of 650.
LONG_LEASE = LeaseTiming(Seconds(9), Seconds(3), Seconds(0.5))


class StoreEvidence(ABC):
    """Provide what peers show about the store, and this instance's role."""

    @abstractmethod
    def is_store_reached(self) -> bool:
        """Return whether a peer shows at this moment that the store answers."""

    @abstractmethod
    def is_owner_or_candidate(self) -> bool:
        """Return whether this instance may claim a group, or owns one."""


class Registration(ABC):
    """Provide whether the store lists this instance."""

    @abstractmethod
    async def wait_listed(self, limit: Seconds) -> None:
        """Wait until the store has been listed, for `limit` at most."""

    @abstractmethod
    def is_missing(self) -> bool:
        """Return whether the store is known not to list this process."""


class LeaseRelay(ABC):
    """Renew a lease through a peer that reaches the store."""

    @abstractmethod
    async def keep_lease(self, lease: int, era: Era) -> bool:
        """Renew a lease of `era`; return whether a peer did so."""


class InstanceLease:
    """Renew the lease to which all keys of this instance are bound."""

    def __init__(
        self,
        store: CurrentStore,
        entry: InstanceEntry,
        decisions: DecisionLog,
    ) -> None:
        """Hold no lease before run()."""
        self.id: int | None = None
        # The era of the store in which the lease was granted.
        self._era = FIRST_ERA
        self._entry = entry
        self._store = store
        self._decisions = decisions
        self._held_until = Boottime(0)
        self._renewed_at = Boottime(0)
        # The renewal by which the lease is held.
        self.renewal = Renewal()
        # Renewals made by peers since the start.
        self.relayed_renewals = 0
        # When a peer last showed that the store answers.
        self._evidence_at = Boottime(0)
        self._timing = LONG_LEASE
        self._duration = LONG_LEASE.duration
        self._short_until = Boottime(0)
        self._registered_at = Boottime(0)
        # The revision of the entry of this instance, as far as known.
        self._entry_revision = ABSENT
        self._renew_now = Event()
        # How long the latest renewal took.
        self._answer_time = Seconds(0)
        # When the pending renewal was started.
        self._renewal_started_at: Boottime | None = None
        self.is_released = False
        self._relay: LeaseRelay | None = None
        self._evidence: StoreEvidence | None = None
        self._registration: Registration | None = None
        store.listen(self._abandon_lease)

    def reaches_store(self) -> bool:
        """Return whether the store has answered recently."""
        return self.measure_silence() < REACH_TIMEOUT

    def measure_silence(self) -> Seconds:
        """Return the time since the last evidence that the store answers."""
        now = read_boottime()
        if self._is_store_reached_by_peer():
            self._evidence_at = now
        return Seconds(now - max(self._renewed_at, self._evidence_at))

    def has_own_answer(self) -> bool:
        """Return whether the store has answered this instance recently."""
        # Peers rely on this report. Evidence from another peer, which may have
        # lost the store meanwhile, must not be passed on.
        own_silence = read_boottime() - self._renewed_at
        return own_silence < LATE_RENEWAL_TIME and not self.is_overdue()

    def has_stale_evidence(self) -> bool:
        """Return whether the latest evidence came from a peer and has ended."""
        if self._is_store_reached_by_peer():
            return False
        return self._evidence_at > self._renewed_at

    def is_overdue(self) -> bool:
        """Return whether an answer of the store is overdue."""
        if self._is_store_reached_by_peer():
            return False
        if not self.is_fresh():
            return True
        sent_at = self._renewal_started_at
        return sent_at is not None and (
            read_boottime() - sent_at > ANSWER_TIMEOUT
        )

    def has_prompt_store(self, since: Boottime) -> bool:
        """Return whether a request sent after `since` was answered quickly."""
        sent_at = self._renewed_at - self._answer_time
        is_new = sent_at >= since and self.is_fresh()
        return is_new and self._answer_time < ANSWER_TIMEOUT

    def is_cut_off_from_store(self) -> bool:
        """Return whether the store is unreachable to this instance only.

        Valid only while a peer reports to reach the store.
        """
        return self.measure_silence() > CUT_OFF_TIMEOUT

    def bind(
        self,
        relay: LeaseRelay,
        evidence: StoreEvidence,
        registration: Registration,
    ) -> None:
        """Use `relay` when the store does not answer."""
        self._relay = relay
        self._evidence = evidence
        self._registration = registration

    def is_short(self) -> bool:
        """Return whether the lease is a short one, as owners need."""
        return self._timing is SHORT_LEASE

    def shorten(self) -> None:
        """Request a short lease, to be taken once the store answers."""
        self._short_until = Boottime(read_boottime() + SHORT_LEASE_PERIOD)
        self.wake_if_needed()

    def wake_if_needed(self) -> None:
        """Renew the lease at once if the state of the store is unclear."""
        is_silent = self.measure_silence() > SILENCE_CHECK_DELAY
        is_unclear = is_silent or self.has_stale_evidence() or self.id is None
        if is_unclear or self._needs_short_lease() != self.is_short():
            self._renew_now.set()

    def find_expiry(self, lease: int, era: Era) -> Boottime:
        """Return until when a lease is valid at least; 0 if it has ended.

        A store that was restored in `era` may have granted its id again.
        """
        is_held = lease == self.id and era == self._era
        return self._held_until if is_held else Boottime(0)

    def is_held(self) -> bool:
        """Return whether the lease is valid at this moment."""
        return self.id is not None and read_boottime() < self._held_until

    def is_fresh(self) -> bool:
        """Return whether the latest renewal came in time."""
        return self.measure_silence() < LATE_RENEWAL_TIME

    async def run(self) -> None:
        """Keep a lease until cancelled."""
        if self._registration is not None:
            await self._registration.wait_listed(STARTUP_WAIT)
        while True:
            began_at = read_boottime()
            self._renewal_started_at = began_at
            try:
                await self._renew()
            except (PlatformUnavailable, AnswerLost, LeaseLapsed):
                # If a peer has renewed the lease, the next attempt can wait for
                # the usual interval: the store refuses this instance or is
                # overloaded.
                is_kept = await self._renew_by_relay()
                timing = self._timing
                await sleep(
                    timing.renewal_interval if is_kept else timing.retry_delay
                )
            else:
                self._renewal_started_at = None
                # The interval is counted from the start of the renewal, so a
                # slow store doesn't delay the next one.
                spent = read_boottime() - began_at
                await self._wait_for_renewal(
                    Seconds(self._timing.renewal_interval - spent)
                )

    async def release(self) -> None:
        """Revoke the lease and delete all keys that are bound to it."""
        self.is_released = True
        lease = self.id
        self.id = None
        if lease is not None:
            await self._store.revoke_lease(lease)

    async def _renew(self) -> None:
        if self.is_released:
            return
        # Counted from before the call, as the store counts from its arrival.
        sent_at = read_boottime()
        is_short = self._needs_short_lease()
        if self.id is None or is_short != self.is_short():
            await self._take_lease(SHORT_LEASE if is_short else LONG_LEASE)
        elif not await self._renew_in_store(self.id):
            if self.id is not None:
                self._record_lapse()
            await self._take_lease(self._timing)
        elif self._is_registration_missing():
            # The answer to the registration was lost, or it was committed late
            # under a lease that has expired since.
            await self._register(self.id, self._era)
        self._record_renewal(sent_at)
        self._renewed_at = read_boottime()
        self._answer_time = Seconds(self._renewed_at - sent_at)

    async def _take_lease(self, timing: LeaseTiming) -> None:
        """Register under a new lease; the previous one expires by itself."""
        granted = await self._store.grant_lease(timing.duration)
        era = self._store.era
        await self._register(granted.id, era)
        self.id = granted.id
        self._era = era
        self._timing = timing
        self._duration = min(timing.duration, granted.ttl)
        # The validity of the previous lease doesn't apply to this one.
        self._held_until = Boottime(0)

    def _needs_short_lease(self) -> bool:
        if read_boottime() < self._short_until:
            return True
        return self._evidence is None or self._evidence.is_owner_or_candidate()

    def _is_store_reached_by_peer(self) -> bool:
        return self._evidence is not None and self._evidence.is_store_reached()

    def _is_registration_missing(self) -> bool:
        if self._registration is None or not self._registration.is_missing():
            return False
        return read_boottime() - self._registered_at > LISTING_DELAY

    async def _wait_for_renewal(self, span: Seconds) -> None:
        """Wait until the next renewal is due or requested."""
        await sleep(RETRY_DELAY)
        self._renew_now.clear()
        self.wake_if_needed()
        with suppress(TimeoutError):
            async with timeout(max(0, span - RETRY_DELAY)):
                await self._renew_now.wait()

    async def _renew_in_store(self, lease: int) -> bool:
        """Renew in the store, and through a peer too if that takes long."""
        # A call that hangs until its timeout would outlast the lease. So would
        # relays by one peer after the other while the store is slow for all:
        # therefore its direct answer cancels the relay.
        call = create_task(self._store.keep_lease(lease))
        relayed = create_task(self._renew_by_relay_later(RELAY_DELAY))
        try:
            return await call
        finally:
            call.cancel()
            relayed.cancel()

    async def _renew_by_relay_later(self, pause: Seconds) -> None:
        await sleep(pause)
        await self._renew_by_relay()

    async def _renew_by_relay(self) -> bool:
        """Renew through a peer, as the store may refuse this instance only."""
        if self.id is None or self._relay is None:
            return False
        sent_at = read_boottime()
        lease = self.id
        is_kept = await self._relay.keep_lease(lease, self._store.era)
        is_kept = is_kept and lease == self.id
        if is_kept:
            self.relayed_renewals += 1
            self._record_renewal(sent_at, is_relayed=True)
        return is_kept

    def _record_renewal(
        self,
        sent_at: Boottime,
        *,
        is_relayed: bool = False,
    ) -> None:
        end = sent_at + self._duration - CLOCK_DRIFT_MARGIN
        if end > self._held_until:
            self.renewal = Renewal(sent_at, is_relayed)
        self._held_until = Boottime(max(self._held_until, end))

    async def _register(self, lease: int, era: Era) -> None:
        key = make_instance_key(self._entry.name)
        change = Put(key, encode_entry(self._entry), lease)
        for _ in range(REGISTRATION_ATTEMPTS):
            if era != self._store.era:
                raise LeaseLapsed
            # A registration may be carried out after its caller has gone. The
            # condition keeps it from replacing that of a later process.
            condition = Compare(key, self._entry_revision)
            committed = await self._store.commit((condition,), (change,))
            if committed.succeeded:
                self._entry_revision = committed.revision
                self._registered_at = read_boottime()
                return
            revisions = (pair.revision for pair in committed.current)
            self._entry_revision = max(revisions, default=ABSENT)
        raise PlatformUnavailable(f'the entry {key} keeps changing')

    def _abandon_lease(self) -> None:
        """Take a new lease at once, as the id may have been granted again."""
        if self.id is not None:
            self._record_lapse()
        self._renew_now.set()

    def _record_lapse(self) -> None:
        self._decisions.record(
            Decision(DecisionKind.LEASE_LOST, reasons={'lease': str(self.id)}),
        )
        # The entry has been deleted with the lease.
        self._entry_revision = ABSENT
        self.id = None
        self._held_until = Boottime(0)
