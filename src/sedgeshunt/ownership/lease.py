"""Hold this instance's lease in the platform's store."""

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
from sedgeshunt.identifiers import Boottime, Era, Seconds
from sedgeshunt.ports import Put
from sedgeshunt.registry.current_store import CurrentStore
from sedgeshunt.registry.entries import InstanceEntry, encode_entry
from sedgeshunt.registry.keys import make_instance_key

# A renewal that failed is tried again after so long.
RETRY_AFTER = Seconds(0.1)
# Without any sign of the store for so long it is asked at once, so that its
# silence shows as soon as to those who renew a short lease.
ASK_AFTER = Seconds(0.3)
# An instance that has just been asked to claim a group keeps a short lease for
# so long; by then the group's record names it.
SHORT_FOR = Seconds(5)
# What was registered shows in the view of the store within this time, in calm.
SHOWN_AFTER = Seconds(2)
# How long a start waits to know which lease is needed: one listing.
KNOWN_WITHIN = Seconds(0.3)
# Without a renewal for so long the store counts as out of reach: two of them
# are due in this time.
REACH_LIMIT = Seconds(0.8)
# Silent for so long, the store is out of reach of this instance alone if a peer
# still counts as reaching it: in an outage the peer's last answer came at most
# 0.3 s later, and its word is a heartbeat old.
ALONE_AFTER = Seconds(1.5)
# The store answers in some milliseconds. A relayed renewal that starts now,
# after a pause and a call, still comes within the lease.
RELAY_AFTER = Seconds(0.2)
# A short renewal later than this is late: it is due after 0.3 s and takes some
# milliseconds.
LATE_AFTER = Seconds(0.4)
# A renewal without an answer for so long is overdue: it takes 4 ms.
OVERDUE_AFTER = Seconds(0.1)
# The store's clock may run this much ahead over the time of a lease.
DRIFT_MARGIN = Seconds(0.05)


class LeaseTerms(Struct, frozen=True):
    """Say how long a lease lasts and how often it is renewed."""

    time: Seconds
    renew_every: Seconds
    retry_after: Seconds


# For who owns a group or may claim one: the time without a renewal after which
# another may take over is the store's shortest. Two renewals may fail in it.
SHORT_TERMS = LeaseTerms(Seconds(1), Seconds(0.3), RETRY_AFTER)
# For all others: peers see by their links that one is gone, and its entry only
# counts it among those who could do something. Two renewals may fail in it.
# With 195 instances renewals are 140 calls a second of the store, not 650.
LONG_TERMS = LeaseTerms(Seconds(9), Seconds(3), Seconds(0.5))


class StoreEvidence(ABC):
    """Know of the store by others."""

    @abstractmethod
    def is_store_reached(self) -> bool:
        """Tell whether a peer shows at this moment that the store answers."""

    @abstractmethod
    def is_owner_or_candidate(self) -> bool:
        """Tell whether this instance may claim a group, or owns one."""


class Registration(ABC):
    """Know whether the store lists this instance."""

    @abstractmethod
    async def wait_listed(self, limit: Seconds) -> None:
        """Wait until it is known what the store holds, or `limit` is over."""

    @abstractmethod
    def is_missing(self) -> bool:
        """Tell whether the store surely does not list this process."""


class LeaseRelay(ABC):
    """Have a peer that the store answers renew a lease."""

    @abstractmethod
    async def keep_lease(self, lease: int, era: Era) -> bool:
        """Tell whether a peer has renewed a lease of the store's era."""


class InstanceLease:
    """Renew the one lease to which all of an instance's keys are bound."""

    def __init__(
        self,
        store: CurrentStore,
        entry: InstanceEntry,
        decisions: DecisionLog,
    ) -> None:
        """Take no lease before run()."""
        self.id: int | None = None
        self._entry = entry
        self._store = store
        self._decisions = decisions
        self._held_until = Boottime(0)
        self._renewed_at = Boottime(0)
        # When a peer last showed that the store answers.
        self._witnessed_at = Boottime(0)
        self._terms = LONG_TERMS
        self._short_until = Boottime(0)
        self._registered_at = Boottime(0)
        self._awake = Event()
        # How long the latest renewal took.
        self._answer_time = Seconds(0)
        # Since when a renewal has been under way.
        self._asked_at: Boottime | None = None
        self.is_released = False
        self._relay: LeaseRelay | None = None
        self._witness: StoreEvidence | None = None
        self._registration: Registration | None = None
        store.listen(self._give_up)

    def reaches_store(self) -> bool:
        """Tell whether the store has answered of late."""
        return self.measure_silence() < REACH_LIMIT

    def measure_silence(self) -> Seconds:
        """Return for how long nothing has shown that the store answers."""
        now = read_boottime()
        if self._hears_store():
            self._witnessed_at = now
        return Seconds(now - max(self._renewed_at, self._witnessed_at))

    def has_own_answer(self) -> bool:
        """Tell whether the store itself has answered of late."""
        # Peers that are told so rely on it: who knows it from another, which
        # may have lost the store meanwhile, must not pass it on.
        own_silence = read_boottime() - self._renewed_at
        return own_silence < LATE_AFTER and not self.is_overdue()

    def has_stale_evidence(self) -> bool:
        """Tell whether the last sign of the store was a peer's, and is over."""
        if self._hears_store():
            return False
        return self._witnessed_at > self._renewed_at

    def is_overdue(self) -> bool:
        """Tell whether an answer of the store has not come when it was due."""
        if self._hears_store():
            return False
        if not self.is_fresh():
            return True
        asked_at = self._asked_at
        return asked_at is not None and (
            read_boottime() - asked_at > OVERDUE_AFTER
        )

    def has_prompt_store(self, since: Boottime) -> bool:
        """Tell whether the store answers quickly, and has since a moment."""
        asked_at = self._renewed_at - self._answer_time
        is_new = asked_at >= since and self.is_fresh()
        return is_new and self._answer_time < OVERDUE_AFTER

    def is_cut_off_from_store(self) -> bool:
        """Tell whether peers that count as reaching the store truly do."""
        return self.measure_silence() > ALONE_AFTER

    def bind(
        self,
        relay: LeaseRelay,
        witness: StoreEvidence,
        registration: Registration,
    ) -> None:
        """Use `relay` where the store does not answer."""
        self._relay = relay
        self._witness = witness
        self._registration = registration

    def is_short(self) -> bool:
        """Tell whether the lease ends soon after its holder, as owners need."""
        return self._terms is SHORT_TERMS

    def shorten(self) -> None:
        """Take a short lease as soon as the store answers."""
        self._short_until = Boottime(read_boottime() + SHORT_FOR)
        self.wake_if_needed()

    def wake_if_needed(self) -> None:
        """Have the store asked at once where that is needed."""
        is_silent = self.measure_silence() > ASK_AFTER
        is_asked = is_silent or self.has_stale_evidence() or self.id is None
        if is_asked or self._wants_short() != self.is_short():
            self._awake.set()

    def read_end(self, lease: int) -> Boottime:
        """Return until when `lease` is surely held; 0 if it ended."""
        return self._held_until if lease == self.id else Boottime(0)

    def is_held(self) -> bool:
        """Tell whether the lease is surely held at this moment."""
        return self.id is not None and read_boottime() < self._held_until

    def is_fresh(self) -> bool:
        """Tell whether the latest renewal came when it was due."""
        return self.measure_silence() < LATE_AFTER

    async def run(self) -> None:
        """Hold a lease until cancelled."""
        if self._registration is not None:
            await self._registration.wait_listed(KNOWN_WITHIN)
        while True:
            began_at = read_boottime()
            self._asked_at = began_at
            try:
                await self._renew()
            except (PlatformUnavailable, AnswerLost, LeaseLapsed):
                # A peer has seen to it: the store, which refuses this instance
                # or is overloaded, need not be asked again sooner than usual.
                is_kept = await self._renew_by_relay()
                terms = self._terms
                await sleep(terms.renew_every if is_kept else terms.retry_after)
            else:
                self._asked_at = None
                # A store that takes long to answer takes none of the time
                # between two renewals away.
                spent = read_boottime() - began_at
                await self._rest(Seconds(self._terms.renew_every - spent))

    async def release(self) -> None:
        """End the lease and all keys that are bound to it."""
        self.is_released = True
        lease = self.id
        self.id = None
        if lease is not None:
            await self._store.revoke_lease(lease)

    async def _renew(self) -> None:
        if self.is_released:
            return
        # Counted from before the call: the store counts from its arrival.
        asked_at = read_boottime()
        is_short = self._wants_short()
        if self.id is None or is_short != self.is_short():
            await self._take_lease(SHORT_TERMS if is_short else LONG_TERMS)
        elif not await self._keep(self.id):
            if self.id is not None:
                self._note_lapse()
            await self._take_lease(self._terms)
        elif self._is_missing():
            # The answer to its registration was lost, or came true late and
            # under a lease that has ended since.
            await self._register(self.id)
        self._note_renewal(asked_at)
        self._renewed_at = read_boottime()
        self._answer_time = Seconds(self._renewed_at - asked_at)

    async def _take_lease(self, terms: LeaseTerms) -> None:
        """Register under a new lease; the one before ends by itself."""
        lease = await self._store.grant_lease(terms.time)
        await self._register(lease)
        self.id = lease
        self._terms = terms
        # What holds by the lease before does not hold by this one.
        self._held_until = Boottime(0)

    def _wants_short(self) -> bool:
        if read_boottime() < self._short_until:
            return True
        return self._witness is None or self._witness.is_owner_or_candidate()

    def _hears_store(self) -> bool:
        return self._witness is not None and self._witness.is_store_reached()

    def _is_missing(self) -> bool:
        if self._registration is None or not self._registration.is_missing():
            return False
        return read_boottime() - self._registered_at > SHOWN_AFTER

    async def _rest(self, span: Seconds) -> None:
        """Wait until the next renewal is due, or is needed sooner."""
        await sleep(RETRY_AFTER)
        self._awake.clear()
        self.wake_if_needed()
        with suppress(TimeoutError):
            async with timeout(max(0, span - RETRY_AFTER)):
                await self._awake.wait()

    async def _keep(self, lease: int) -> bool:
        """Renew in the store, and by a peer too when this takes long."""
        # A call that hangs until its limit would outlast the lease. So would
        # one peer after the other before a store that is slow for all: its
        # own answer, which comes meanwhile, ends the wait for theirs.
        call = create_task(self._store.keep_lease(lease))
        relayed = create_task(self._renew_late(RELAY_AFTER))
        try:
            return await call
        finally:
            call.cancel()
            relayed.cancel()

    async def _renew_late(self, pause: Seconds) -> None:
        await sleep(pause)
        await self._renew_by_relay()

    async def _renew_by_relay(self) -> bool:
        """Have a peer renew the lease: the store may refuse this one only."""
        if self.id is None or self._relay is None:
            return False
        asked_at = read_boottime()
        lease = self.id
        is_kept = await self._relay.keep_lease(lease, self._store.era)
        is_kept = is_kept and lease == self.id
        if is_kept:
            self._note_renewal(asked_at)
        return is_kept

    def _note_renewal(self, asked_at: Boottime) -> None:
        end = asked_at + self._terms.time - DRIFT_MARGIN
        self._held_until = Boottime(max(self._held_until, end))

    async def _register(self, lease: int) -> None:
        key = make_instance_key(self._entry.name)
        await self._store.commit(
            (),
            (Put(key, encode_entry(self._entry), lease),),
        )
        self._registered_at = read_boottime()

    def _give_up(self) -> None:
        """Take a new lease at once: the present id may be another's now."""
        if self.id is not None:
            self._note_lapse()
        self._awake.set()

    def _note_lapse(self) -> None:
        self._decisions.record(
            Decision(DecisionKind.LEASE_LOST, reasons={'lease': str(self.id)}),
        )
        self.id = None
        self._held_until = Boottime(0)
