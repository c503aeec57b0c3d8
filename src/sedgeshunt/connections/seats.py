"""Claim one of the numbered seats that entitle a proxy to a full share."""

from asyncio import sleep, timeout
from collections.abc import Callable
from random import Random

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.identifiers import Monotonic, ProxyId, Revision, Seconds
from sedgeshunt.ports import Compare, KeyValueService, Put

PREFIX = '/sedgeshunt/seats/'
LEASE_TTL = Seconds(30)
RENEW_INTERVAL = Seconds(10)
# The holder gives up its share this long before its lease can expire.
LAPSE_MARGIN = Seconds(5)
RETRY_INTERVAL = Seconds(1)
CALL_TIMEOUT = Seconds(2)
RELEASE_TIMEOUT = Seconds(1)
FLEET_TRIES_PER_SECOND = 100


class SeatHolder:
    """Claim a seat, renew its lease and give up the share in time."""

    def __init__(
        self,
        platform: KeyValueService,
        proxy: ProxyId,
        decisions: DecisionLog,
        on_change: Callable[[], None],
    ) -> None:
        """Start without a seat."""
        self.seats = 0
        self.fleet = 1
        self.number: int | None = None
        self._platform = platform
        self._proxy = proxy
        self._decisions = decisions
        self._on_change = on_change
        self._lease: int | None = None
        self._ttl = LEASE_TTL
        self._valid_until = Monotonic(0)
        self._is_waiting = False
        self._random = Random(str(proxy))

    def is_seated(self) -> bool:
        """Return whether the seat is held at this moment."""
        # After a pause of this process, another proxy may already hold the
        # seat. The clock is read on each call so that no more connections are
        # opened then.
        return self.number is not None and read_clock() < self._valid_until

    async def run(self) -> None:
        """Claim and renew a seat until cancelled."""
        while True:
            was_seated = self.is_seated()
            requested_at = read_clock()
            try:
                async with timeout(CALL_TIMEOUT):
                    await self._renew(requested_at)
            except (PlatformUnavailable, AnswerLost) as error:
                self._note_outage(error.format_message(), was_seated=was_seated)
            except TimeoutError:
                self._note_outage('no answer in time', was_seated=was_seated)
            pause = self._find_pause()
            await sleep(pause * self._random.uniform(0.8, 1.2))

    async def release(self) -> None:
        """Release the seat at once, so that a successor need not wait."""
        lease = self._lease
        self._lease = None
        self.number = None
        if lease is None:
            return
        try:
            async with timeout(RELEASE_TIMEOUT):
                await self._platform.revoke_lease(lease)
        except (PlatformUnavailable, AnswerLost, TimeoutError):
            # The lease expires by itself; the successor waits until then.
            return

    def _find_pause(self) -> float:
        if self._is_waiting or self.is_seated():
            return RENEW_INTERVAL
        # After an outage, all proxies retry at the same time. Spreading their
        # tries keeps the service below its rate limits; only the share is late.
        return max(RETRY_INTERVAL, self.fleet / FLEET_TRIES_PER_SECOND)

    async def _renew(self, requested_at: Monotonic) -> None:
        if self._lease is None:
            granted = await self._platform.grant_lease(LEASE_TTL)
            self._lease = granted.id
            self._ttl = min(LEASE_TTL, granted.ttl)
        elif not await self._platform.keep_lease(self._lease):
            self._drop_seat('the lease lapsed')
            return
        self._extend_validity(requested_at)
        if self.number is None:
            await self._claim_free(self._lease)

    def _extend_validity(self, requested_at: Monotonic) -> None:
        # Counted from before the request, as the service may renew the lease
        # at any moment after it but never before.
        self._valid_until = Monotonic(requested_at + self._ttl - LAPSE_MARGIN)

    async def _claim_free(self, lease: int) -> None:
        self._is_waiting = False
        listing = await self._platform.list_prefix(PREFIX)
        taken = {pair.key: pair.value.decode() for pair in listing.pairs}
        for number in range(self.seats):
            key = f'{PREFIX}{number}'
            if key in taken:
                continue
            if await self._claim(key, lease):
                self.number = number
                self._record_decision(DecisionKind.SEAT_TAKEN, f'seat {number}')
                return
        # All seats are taken: asking each second would only add load to the
        # service.
        self._is_waiting = 0 < self.seats <= len(taken)

    async def _claim(self, key: str, lease: int) -> bool:
        value = str(self._proxy).encode()
        taken = await self._platform.commit(
            [Compare(key, Revision(0))],
            [Put(key, value, lease)],
        )
        return taken.succeeded

    def _drop_seat(self, reason: str) -> None:
        self._lease = None
        if self.number is None:
            return
        self.number = None
        self._record_decision(DecisionKind.SEAT_LOST, reason)

    def _note_outage(self, reason: str, *, was_seated: bool) -> None:
        # If the answer to a claim was lost, a seat may be bound to the lease
        # without being known here. Without a seat number the lease is not
        # renewed, so that such a seat becomes free when the lease expires.
        if self.number is None:
            self._lease = None
        if was_seated and not self.is_seated():
            self._drop_seat(reason)

    def _record_decision(self, kind: DecisionKind, reason: str) -> None:
        self._decisions.record(Decision(kind, reasons={'why': reason}))
        self._on_change()
