"""Hold this instance's lease in the platform's store."""

from abc import ABC, abstractmethod
from asyncio import create_task, sleep

from sedgeshunt.clocks import read_boottime
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import (
    AnswerLost,
    LeaseLapsed,
    PlatformUnavailable,
)
from sedgeshunt.identifiers import Boottime, Seconds
from sedgeshunt.ports import KeyValueService, Put
from sedgeshunt.registry.entries import InstanceEntry, encode_entry
from sedgeshunt.registry.keys import make_instance_key

# Time without a renewal after which another instance may take over: the
# store's shortest lease. Two renewals may fail in it.
LEASE_TIME = Seconds(1)
RENEW_EVERY = Seconds(0.3)
# A renewal that failed is tried again after so long.
RETRY_AFTER = Seconds(0.1)
# Without a renewal for so long the store counts as out of reach: two of them
# are due in this time.
REACH_LIMIT = Seconds(0.8)
# Silent for so long, the store is out of reach of this instance alone if a peer
# still counts as reaching it: in an outage the peer's last renewal came at most
# RENEW_EVERY later, and its word is a heartbeat old.
ALONE_AFTER = Seconds(1.5)
# The store answers in some milliseconds. A relayed renewal that starts now,
# after a pause and a call, still comes within the lease.
RELAY_AFTER = Seconds(0.2)
# A renewal later than this is late: it is due after RENEW_EVERY and takes some
# milliseconds.
LATE_AFTER = Seconds(0.4)
# A renewal without an answer for so long is overdue: it takes 4 ms.
OVERDUE_AFTER = Seconds(0.1)
# The store's clock may run this much ahead over the time of a lease.
DRIFT_MARGIN = Seconds(0.05)


class LeaseRelay(ABC):
    """Have a peer that the store answers renew a lease."""

    @abstractmethod
    async def keep_lease(self, lease: int) -> bool:
        """Tell whether a peer has renewed `lease`."""


class InstanceLease:
    """Renew the one lease to which all of an instance's keys are bound."""

    def __init__(
        self,
        store: KeyValueService,
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
        # How long the latest renewal took.
        self._answer_time = Seconds(0)
        # Since when a renewal has been under way.
        self._asked_at: Boottime | None = None
        self.is_released = False
        self._relay: LeaseRelay | None = None

    def reaches_store(self) -> bool:
        """Tell whether the store has answered of late."""
        return self.measure_silence() < REACH_LIMIT

    def measure_silence(self) -> Seconds:
        """Return for how long the store has not answered a renewal."""
        return Seconds(read_boottime() - self._renewed_at)

    def is_overdue(self) -> bool:
        """Tell whether an answer of the store has not come when it was due."""
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

    def is_refused_alone(self) -> bool:
        """Tell whether peers that count as reaching the store truly do."""
        return self.measure_silence() > ALONE_AFTER

    def bind(self, relay: LeaseRelay) -> None:
        """Use `relay` where the store does not answer."""
        self._relay = relay

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
        while True:
            began_at = read_boottime()
            self._asked_at = began_at
            try:
                await self._renew()
            except (PlatformUnavailable, AnswerLost, LeaseLapsed):
                # A peer has seen to it: the store, which refuses this instance
                # or is overloaded, need not be asked again sooner than usual.
                is_kept = await self._renew_by_relay()
                await sleep(RENEW_EVERY if is_kept else RETRY_AFTER)
            else:
                self._asked_at = None
                # A store that takes long to answer takes none of the time
                # between two renewals away.
                spent = read_boottime() - began_at
                await sleep(max(RETRY_AFTER, RENEW_EVERY - spent))

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
        if self.id is None:
            self.id = await self._store.grant_lease(LEASE_TIME)
            await self._register(self.id)
        elif not await self._keep(self.id):
            self._note_lapse()
            return
        self._note_renewal(asked_at)
        self._renewed_at = read_boottime()
        self._answer_time = Seconds(self._renewed_at - asked_at)

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
        is_kept = await self._relay.keep_lease(self.id)
        if is_kept:
            self._note_renewal(asked_at)
        return is_kept

    def _note_renewal(self, asked_at: Boottime) -> None:
        end = asked_at + LEASE_TIME - DRIFT_MARGIN
        self._held_until = Boottime(max(self._held_until, end))

    async def _register(self, lease: int) -> None:
        key = make_instance_key(self._entry.name)
        await self._store.commit(
            (),
            (Put(key, encode_entry(self._entry), lease),),
        )

    def _note_lapse(self) -> None:
        self._decisions.record(
            Decision(DecisionKind.LEASE_LOST, reasons={'lease': str(self.id)}),
        )
        self.id = None
        self._held_until = Boottime(0)
