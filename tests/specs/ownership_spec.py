"""Specify the ownership of a group by lease, promises and claims."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

# Ticks for which a lease and a promise are valid. Two ticks distinguish a new
# one from one about to expire; more add states but no new order of steps.
LEASE = 2
# A candidate makes longer promises while the store is down.
PROMISES = (1, 2)
LONGEST = 2
# Ages above this one make no difference.
OLDEST = 3
# The first proxy owns the group and the second one may claim it.
OWNER = 0
CANDIDATE = 1


class Safeguard(Enum):
    """Name the safeguards that can be removed."""

    COUNT_FROM_SENDING = 'a lease counts from when its renewal was sent'
    DATE_BY_ECHO = "a promise is dated by its owner's own clock"
    PROMISE_END = 'a candidate waits for the end of its promise'
    RESTART_PROMISE = 'a process that starts is bound as if it had promised'
    CONTINUITY = 'promises extend only a valid ownership'
    KEEP_LONGER = 'a shorter promise does not shorten a longer one'
    END_FIRST = 'an ownership ends before it is released'
    KEY_ABSENT = 'a claim succeeds only if the key is absent'


class Renewal(NamedTuple):
    """Hold a pending renewal: its age, and whether the store accepted it."""

    age: int
    is_accepted: bool


class Promise(NamedTuple):
    """Hold a promise in transit."""

    # The age of the clock reading of the owner that it carries.
    age: int
    length: int


class Proxy(NamedTuple):
    """Hold the state of one proxy, with times by its own clock."""

    owns: bool = False
    # Its ownership has been valid without a gap since the claim.
    is_unbroken: bool = False
    lease: int = 0
    # Time left of the promise that it received.
    promised: int = 0
    # Time left of the promise that it made.
    bound_for: int = 0
    is_withholding: bool = False
    is_frozen: bool = False
    renewal: Renewal | None = None
    # Age of the latest clock reading received from the other proxy.
    stamp: int | None = None

    @property
    def is_held(self) -> bool:
        """Return whether it considers itself the owner."""
        if not (self.owns and self.is_unbroken):
            return False
        return self.lease > 0 or self.promised > 0


class State(NamedTuple):
    """Hold two proxies and the store."""

    proxies: tuple[Proxy, Proxy]
    # Whose key is stored, and for how long by the clock of the store.
    key: int | None
    key_left: int
    is_down: bool = False
    promise: Promise | None = None
    # The owner has announced that it released the group.
    is_announced: bool = False
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
            'no ownership is resumed after a later one': _is_never_resumed,
        },
    )


def _has_one_owner(fields: dict[str, Any]) -> bool:
    return sum(proxy.is_held for proxy in fields['proxies']) < 2


def _is_never_resumed(fields: dict[str, Any]) -> bool:
    # The owner would use a primary that its successor has replaced.
    owner: Proxy = fields['proxies'][OWNER]
    return not (fields['was_claimed'] and owner.is_held)


class _OwnershipSteps:
    """List the possible steps."""

    def __init__(self, removed: Safeguard | None) -> None:
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        """List all steps from a state."""
        steps = list(self._list_environment_steps(state))
        for index, proxy in enumerate(state.proxies):
            if proxy.is_frozen:
                resumed = proxy._replace(is_frozen=False)
                steps.append((f'{index} resumes', put(state, index, resumed)))
                continue
            steps += self._list_freezes(state, index)
            steps += self._list_lease_steps(state, index)
            steps += self._list_claims(state, index)
            steps += self._list_releases(state, index)
            # The first proxy owns the group and the second one may claim it, so
            # only the second makes promises, and the first never claims again.
            if index == OWNER:
                steps += self._list_received_promises(state)
            else:
                steps += self._list_promises(state)
        return steps

    def _list_environment_steps(self, state: State) -> Iterator[Step]:
        yield 'time passes', self._tick(state, is_paused=False)
        if state.is_down:
            # During an outage, leases either expire or are paused.
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
            renewal = Renewal(age, renewal.is_accepted)
        return proxy._replace(
            lease=lease,
            promised=promised,
            bound_for=max(0, proxy.bound_for - 1),
            stamp=_grow(proxy.stamp),
            renewal=renewal,
            is_unbroken=proxy.is_unbroken and not breaks,
        )

    def _list_freezes(self, state: State, index: int) -> Iterator[Step]:
        proxy = state.proxies[index]
        frozen = proxy._replace(is_frozen=True)
        yield f'{index} freezes', put(state, index, frozen)
        if index == CANDIDATE:
            is_bound = self._removed is not Safeguard.RESTART_PROMISE
            fresh = Proxy(bound_for=LONGEST if is_bound else 0)
            yield f'{index} restarts', put(state, index, fresh)

    def _list_lease_steps(self, state: State, index: int) -> Iterator[Step]:
        proxy = state.proxies[index]
        renewal = proxy.renewal
        if renewal is None:
            sent = proxy._replace(renewal=Renewal(0, is_accepted=False))
            yield f'{index} sends a renewal', put(state, index, sent)
            return
        if not renewal.is_accepted:
            yield (
                f'{index} abandons its renewal',
                put(state, index, proxy._replace(renewal=None)),
            )
            return
        counts = self._removed is not Safeguard.COUNT_FROM_SENDING
        left = max(0, LEASE - renewal.age) if counts else LEASE
        # The store renewed the lease, so nobody else can have had the key.
        kept = proxy._replace(
            renewal=None,
            lease=max(proxy.lease, left),
            is_unbroken=proxy.is_unbroken or (proxy.owns and left > 0),
        )
        yield (
            f'{index} receives the answer to its renewal',
            put(state, index, kept),
        )

    def _list_store_steps(
        self,
        state: State,
        index: int,
        proxy: Proxy,
    ) -> Iterator[Step]:
        renewal = proxy.renewal
        if state.is_down or renewal is None or renewal.is_accepted:
            return
        if state.key == index:
            taken = proxy._replace(
                renewal=Renewal(renewal.age, is_accepted=True)
            )
            renewed = put(state, index, taken)._replace(key_left=LEASE)
            yield f'the lease of {index} is renewed', renewed

    def _list_promises(self, state: State) -> Iterator[Step]:
        owner, proxy = state.proxies
        if not owner.is_frozen and proxy.stamp != 0 and not proxy.owns:
            read = proxy._replace(stamp=0)
            yield 'a clock reading arrives', put(state, CANDIDATE, read)
        if proxy.stamp is None or proxy.is_withholding or proxy.owns:
            return
        for length in PROMISES:
            keeps = self._removed is not Safeguard.KEEP_LONGER
            bound_for = max(proxy.bound_for, length) if keeps else length
            bound = put(state, CANDIDATE, proxy._replace(bound_for=bound_for))
            promise = Promise(proxy.stamp, length)
            yield (
                f'a promise for {length} is sent',
                bound._replace(promise=promise),
            )

    def _list_received_promises(self, state: State) -> Iterator[Step]:
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
        yield 'a promise arrives', after._replace(promise=None)

    def _list_releases(self, state: State, index: int) -> Iterator[Step]:
        proxy = state.proxies[index]
        ends = self._removed is not Safeguard.END_FIRST
        if index == OWNER and proxy.owns and not state.is_announced:
            ended = _give_up(proxy) if ends else proxy
            released = put(state, OWNER, ended)._replace(is_announced=True)
            yield f'{index} releases the group', released
        if index == CANDIDATE and state.is_announced and proxy.bound_for:
            free = put(state, CANDIDATE, proxy._replace(bound_for=0))
            yield f'{index} learns of the release', free

    def _list_claims(self, state: State, index: int) -> Iterator[Step]:
        proxy = state.proxies[index]
        if proxy.owns and not proxy.is_held:
            yield (
                f'{index} ends its ownership',
                put(state, index, _give_up(proxy)),
            )
            return
        if proxy.owns or index == OWNER:
            return
        if not proxy.is_withholding:
            firm = proxy._replace(is_withholding=True)
            yield f'{index} withholds promises', put(state, index, firm)
            return
        is_bound = (
            proxy.bound_for and self._removed is not Safeguard.PROMISE_END
        )
        is_accepted = state.key is not None
        if self._removed is Safeguard.KEY_ABSENT:
            is_accepted = False
        if state.is_down or is_bound or is_accepted:
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
