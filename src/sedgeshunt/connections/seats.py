"""Hold one of the numbered seats that entitle a proxy to a full share."""

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
RENEW_EVERY = Seconds(10)
# The holder gives up its share this long before its lease can lapse.
LAPSE_MARGIN = Seconds(5)
RETRY_EVERY = Seconds(1)
CALL_TIMEOUT = Seconds(2)
RELEASE_TIMEOUT = Seconds(1)
TRIES_A_SECOND = 100


class SeatHolder:
    """Take a seat, keep its lease and give the share up in time."""

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
        self._valid_until = Monotonic(0)
        self._is_waiting = False
        self._random = Random(str(proxy))

    def is_seated(self) -> bool:
        """Tell whether the seat still holds at this moment."""
        # A paused holder wakes while a rival already has its seat; the
        # reading is taken at the moment of use, so it opens nothing more.
        return self.number is not None and read_clock() < self._valid_until

    async def run(self) -> None:
        """Take and renew a seat until cancelled."""
        while True:
            was_seated = self.is_seated()
            asked_at = read_clock()
            try:
                async with timeout(CALL_TIMEOUT):
                    await self._step(asked_at)
            except (PlatformUnavailable, AnswerLost) as error:
                self._note_outage(error.format_message(), was_seated=was_seated)
            except TimeoutError:
                self._note_outage('no answer in time', was_seated=was_seated)
            pause = self._find_pause()
            await sleep(pause * self._random.uniform(0.8, 1.2))

    async def release(self) -> None:
        """Give the seat back at once, so that a successor need not wait."""
        lease = self._lease
        self._lease = None
        self.number = None
        if lease is None:
            return
        try:
            async with timeout(RELEASE_TIMEOUT):
                await self._platform.revoke_lease(lease)
        except (PlatformUnavailable, AnswerLost, TimeoutError):
            # The lease lapses by itself; the successor waits a little.
            return

    def _find_pause(self) -> float:
        if self._is_waiting or self.is_seated():
            return RENEW_EVERY
        # After an outage the whole fleet asks at once; spread out, its tries
        # stay within the service's rates, and only the share waits.
        return max(RETRY_EVERY, self.fleet / TRIES_A_SECOND)

    async def _step(self, asked_at: Monotonic) -> None:
        if self._lease is None:
            self._lease = await self._platform.grant_lease(LEASE_TTL)
        elif not await self._platform.keep_lease(self._lease):
            self._lose('the lease lapsed')
            return
        self._extend(asked_at)
        if self.number is None:
            await self._take(self._lease)

    def _extend(self, asked_at: Monotonic) -> None:
        # Counted from before the call: the service may have renewed at any
        # moment after it, never before.
        self._valid_until = Monotonic(asked_at + LEASE_TTL - LAPSE_MARGIN)

    async def _take(self, lease: int) -> None:
        self._is_waiting = False
        listing = await self._platform.list_prefix(PREFIX)
        taken = {pair.key: pair.value.decode() for pair in listing.pairs}
        for number in range(self.seats):
            key = f'{PREFIX}{number}'
            if key in taken:
                continue
            if await self._claim(key, lease):
                self.number = number
                self._tell(DecisionKind.SEAT_TAKEN, f'seat {number}')
                return
        # All are taken: asking each second would change nothing but the
        # service's load.
        self._is_waiting = 0 < self.seats <= len(taken)

    async def _claim(self, key: str, lease: int) -> bool:
        value = str(self._proxy).encode()
        taken = await self._platform.commit(
            [Compare(key, Revision(0))],
            [Put(key, value, lease)],
        )
        return taken.succeeded

    def _lose(self, reason: str) -> None:
        self._lease = None
        if self.number is None:
            return
        self.number = None
        self._tell(DecisionKind.SEAT_LOST, reason)

    def _note_outage(self, reason: str, *, was_seated: bool) -> None:
        # An answer lost to a claim leaves a seat bound to our lease that we
        # do not know of. Without a number the lease is dropped, so that the
        # seat frees itself rather than staying taken by nobody.
        if self.number is None:
            self._lease = None
        if was_seated and not self.is_seated():
            self._lose(reason)

    def _tell(self, kind: DecisionKind, reason: str) -> None:
        self._decisions.record(Decision(kind, reasons={'why': reason}))
        self._on_change()
