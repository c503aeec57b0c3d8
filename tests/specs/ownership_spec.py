"""Specify who owns a group: a lease, promises, and a claim."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

# Ticks for which a lease and a promise hold. Two make a difference between
# "just renewed" and "about to end"; more add states and no new order of steps.
LEASE = 2
# A candidate promises for longer while the store is away.
PROMISES = (1, 2)
LONGEST = 2
# No clock needs to be told apart beyond this age.
OLDEST = 3
# The first proxy owns the group and the second one may claim it.
OWNER = 0
CANDIDATE = 1


class Safeguard(Enum):
    """Name the safeguards that can be taken out."""

    COUNT_FROM_SENDING = 'a lease counts from when its renewal was sent'
    DATE_BY_ECHO = "a promise is dated by its owner's own clock"
    BOND = 'who promised waits before it claims'
    RESTART_BOND = 'a process that starts is bound as if it had promised'
    CONTINUITY = 'promises carry on only what still holds'
    KEEP_LONGER = 'a shorter promise does not shorten a longer one'
    END_FIRST = 'a reign ends before its end is told'
    KEY_ABSENT = 'the store gives the key away only when it is absent'


class Renewal(NamedTuple):
    """Hold a renewal under way: its age, and whether the store took it."""

    age: int
    is_taken: bool


class Promise(NamedTuple):
    """Hold a promise under way."""

    # The age of the owner's reading that it repeats.
    age: int
    length: int


class Proxy(NamedTuple):
    """Hold what one proxy believes, and the clocks that it goes by."""

    owns: bool = False
    # It has held the group without a gap since it claimed it.
    is_unbroken: bool = False
    lease: int = 0
    # What is left of the other's promise, by this proxy's clock.
    promised: int = 0
    # What is left of its own promise to the other.
    bond: int = 0
    is_withholding: bool = False
    is_frozen: bool = False
    renewal: Renewal | None = None
    # Age of the other's clock reading that it got last.
    stamp: int | None = None

    @property
    def is_held(self) -> bool:
        """Tell whether it counts itself as the owner."""
        if not (self.owns and self.is_unbroken):
            return False
        return self.lease > 0 or self.promised > 0


class State(NamedTuple):
    """Hold two proxies and the store."""

    proxies: tuple[Proxy, Proxy]
    # Who holds the key, and for how long by the store's clock.
    key: int | None
    key_left: int
    is_down: bool = False
    promise: Promise | None = None
    # The owner's word that its reign has ended is under way.
    is_told: bool = False
    # The candidate has claimed the group once.
    was_claimed: bool = False


Step = tuple[str, State]


def specify_ownership(removed: Safeguard | None = None) -> Specification:
    """Return an owner, a candidate and a store that may fail."""
    owner = Proxy(owns=True, is_unbroken=True, lease=LEASE)
    return Specification(
        'ownership',
        State._fields,
        State((owner, Proxy()), OWNER, LEASE),
        _OwnershipSteps(removed).list_steps,
        {
            'one owner at once': _has_one_owner,
            'no reign comes back once another followed': _ends_for_good,
        },
    )


def _has_one_owner(fields: dict[str, Any]) -> bool:
    return sum(proxy.is_held for proxy in fields['proxies']) < 2


def _ends_for_good(fields: dict[str, Any]) -> bool:
    # It would go on with the primary that the other has had replaced.
    owner: Proxy = fields['proxies'][OWNER]
    return not (fields['was_claimed'] and owner.is_held)


class _OwnershipSteps:
    """List what may happen next."""

    def __init__(self, removed: Safeguard | None) -> None:
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        """List all steps from a state."""
        steps = list(self._list_world_steps(state))
        for index, proxy in enumerate(state.proxies):
            if proxy.is_frozen:
                thawed = proxy._replace(is_frozen=False)
                steps.append((f'{index} thaws', put(state, index, thawed)))
                continue
            steps += self._list_freezes(state, index)
            steps += self._list_lease_steps(state, index)
            steps += self._list_claims(state, index)
            steps += self._list_releases(state, index)
            # The first proxy owns the group and the second one may claim it;
            # promises go one way only, and the first never claims again.
            if index == OWNER:
                steps += self._list_heard_promises(state)
            else:
                steps += self._list_promises(state)
        return steps

    def _list_world_steps(self, state: State) -> Iterator[Step]:
        yield 'time passes', self._tick(state, is_paused=False)
        if state.is_down:
            # While it is down, leases either go on or stand still.
            yield 'time passes, leases pause', self._tick(state, is_paused=True)
            yield 'the store is back', state._replace(is_down=False)
        else:
            yield 'the store goes down', state._replace(is_down=True)
        for index, proxy in enumerate(state.proxies):
            yield from self._list_store_steps(state, index, proxy)

    def _tick(self, state: State, *, is_paused: bool) -> State:
        left = state.key_left if is_paused else max(0, state.key_left - 1)
        owner, candidate = state.proxies
        return state._replace(
            proxies=(self._age(owner), self._age(candidate)),
            key=state.key if left else None,
            key_left=left,
            promise=_age_promise(state.promise),
        )

    def _age(self, proxy: Proxy) -> Proxy:
        lease = max(0, proxy.lease - 1)
        promised = max(0, proxy.promised - 1)
        is_over = not (lease or promised)
        breaks = is_over and self._removed is not Safeguard.CONTINUITY
        renewal = proxy.renewal
        if renewal is not None:
            age = min(OLDEST, renewal.age + 1)
            renewal = Renewal(age, renewal.is_taken)
        return proxy._replace(
            lease=lease,
            promised=promised,
            bond=max(0, proxy.bond - 1),
            stamp=_grow(proxy.stamp),
            renewal=renewal,
            is_unbroken=proxy.is_unbroken and not breaks,
        )

    def _list_freezes(self, state: State, index: int) -> Iterator[Step]:
        proxy = state.proxies[index]
        frozen = proxy._replace(is_frozen=True)
        yield f'{index} freezes', put(state, index, frozen)
        if index == CANDIDATE:
            is_bound = self._removed is not Safeguard.RESTART_BOND
            fresh = Proxy(bond=LONGEST if is_bound else 0)
            yield f'{index} starts anew', put(state, index, fresh)

    def _list_lease_steps(self, state: State, index: int) -> Iterator[Step]:
        proxy = state.proxies[index]
        renewal = proxy.renewal
        if renewal is None:
            sent = proxy._replace(renewal=Renewal(0, is_taken=False))
            yield f'{index} sends a renewal', put(state, index, sent)
            return
        if not renewal.is_taken:
            yield (
                f'{index} gives its renewal up',
                put(state, index, proxy._replace(renewal=None)),
            )
            return
        counts = self._removed is not Safeguard.COUNT_FROM_SENDING
        left = max(0, LEASE - renewal.age) if counts else LEASE
        # The store has renewed it: nobody else can have had the key.
        kept = proxy._replace(
            renewal=None,
            lease=max(proxy.lease, left),
            is_unbroken=proxy.is_unbroken or (proxy.owns and left > 0),
        )
        yield f'{index} hears that its lease goes on', put(state, index, kept)

    def _list_store_steps(
        self,
        state: State,
        index: int,
        proxy: Proxy,
    ) -> Iterator[Step]:
        renewal = proxy.renewal
        if state.is_down or renewal is None or renewal.is_taken:
            return
        if state.key == index:
            taken = proxy._replace(renewal=Renewal(renewal.age, is_taken=True))
            renewed = put(state, index, taken)._replace(key_left=LEASE)
            yield f'the lease of {index} is renewed', renewed

    def _list_promises(self, state: State) -> Iterator[Step]:
        owner, proxy = state.proxies
        if not owner.is_frozen and proxy.stamp != 0 and not proxy.owns:
            read = proxy._replace(stamp=0)
            yield 'a reading comes', put(state, CANDIDATE, read)
        if proxy.stamp is None or proxy.is_withholding or proxy.owns:
            return
        for length in PROMISES:
            keeps = self._removed is not Safeguard.KEEP_LONGER
            bond = max(proxy.bond, length) if keeps else length
            bound = put(state, CANDIDATE, proxy._replace(bond=bond))
            promise = Promise(proxy.stamp, length)
            yield (
                f'a promise for {length} is sent',
                bound._replace(promise=promise),
            )

    def _list_heard_promises(self, state: State) -> Iterator[Step]:
        proxy = state.proxies[OWNER]
        if state.promise is None:
            return
        dates = self._removed is not Safeguard.DATE_BY_ECHO
        age = state.promise.age if dates else 0
        if proxy.is_unbroken:
            left = state.promise.length - age
            promised = max(proxy.promised, left)
            proxy = proxy._replace(promised=promised)
        after = put(state, OWNER, proxy)
        yield 'a promise is heard', after._replace(promise=None)

    def _list_releases(self, state: State, index: int) -> Iterator[Step]:
        proxy = state.proxies[index]
        ends = self._removed is not Safeguard.END_FIRST
        if index == OWNER and proxy.owns and not state.is_told:
            ended = _give_up(proxy) if ends else proxy
            told = put(state, OWNER, ended)._replace(is_told=True)
            yield f'{index} ends its reign and says so', told
        if index == CANDIDATE and state.is_told and proxy.bond:
            free = put(state, CANDIDATE, proxy._replace(bond=0))
            yield f'{index} hears of the end', free

    def _list_claims(self, state: State, index: int) -> Iterator[Step]:
        proxy = state.proxies[index]
        if proxy.owns and not proxy.is_held:
            yield f'{index} gives up', put(state, index, _give_up(proxy))
            return
        if proxy.owns or index == OWNER:
            return
        if not proxy.is_withholding:
            firm = proxy._replace(is_withholding=True)
            yield f'{index} promises no more', put(state, index, firm)
            return
        is_bound = proxy.bond and self._removed is not Safeguard.BOND
        is_taken = state.key is not None
        if self._removed is Safeguard.KEY_ABSENT:
            is_taken = False
        if state.is_down or is_bound or is_taken:
            return
        claimed = proxy._replace(
            owns=True,
            is_unbroken=True,
            lease=LEASE,
            is_withholding=False,
        )
        after = put(state, index, claimed)
        yield (
            f'{index} claims',
            after._replace(key=index, key_left=LEASE, was_claimed=True),
        )


def put(state: State, index: int, proxy: Proxy) -> State:
    """Return the state with one proxy replaced."""
    proxies = list(state.proxies)
    proxies[index] = proxy
    return state._replace(proxies=(proxies[OWNER], proxies[CANDIDATE]))


def _give_up(proxy: Proxy) -> Proxy:
    return proxy._replace(owns=False, is_unbroken=False)


def _age_promise(promise: Promise | None) -> Promise | None:
    if promise is None:
        return None
    return promise._replace(age=min(OLDEST, promise.age + 1))


def _grow(age: int | None) -> int | None:
    if age is None:
        return None
    return min(OLDEST, age + 1)
