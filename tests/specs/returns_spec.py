"""Specify the ownership of a group across restores of the store."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

# Ticks for which a lease and a promise are valid, and for which proxies other
# than an owner wait after they learn of a restore.
LEASE = 2
PROMISE = 2
WAIT = 2
LAST_ERA = 2
# Either proxy may own the group; only the second makes promises.
OWNER = 0
CANDIDATE = 1
PROXIES = (OWNER, CANDIDATE)


class Safeguard(Enum):
    """Name the safeguards that can be removed."""

    LEASE_ERA = 'a lease of an older era is not renewed'
    RESTORE_WAIT = 'a claim after a restore waits for older leases'
    PROMISE_END = 'a claim after a restore waits for all promises'
    OWN_KEY = 'an own key is no proof in a store that lost a claim'
    HELD = 'only an owner that is still valid claims at once'


class Proxy(NamedTuple):
    """Hold the state of one proxy."""

    era: int = 0
    owns: bool = False
    # The era of its claim and of its lease.
    claimed_in: int = 0
    # Time left of its lease and of the promise that it received, by its own
    # clock.
    lease: int = 0
    promised: int = 0
    # Time left of the promise that it made.
    bound_for: int = 0
    # Time left of its wait after a restore.
    wait: int = 0

    @property
    def is_held(self) -> bool:
        """Return whether it considers itself the owner."""
        return self.owns and (self.lease > 0 or self.promised > 0)


class Keys(NamedTuple):
    """Hold what the store contains for a group."""

    # Whose key is stored, -1 for none, and for how long by its lease.
    holder: int = -1
    left: int = 0
    # The era of the latest claim.
    claimed_in: int = 0


class State(NamedTuple):
    """Hold two proxies, the store, and the snapshot for its next restore."""

    proxies: tuple[Proxy, Proxy]
    store: Keys
    snapshot: Keys
    era: int = 0


Step = tuple[str, State]


def specify_returns(removed: Safeguard | None = None) -> Specification:
    """Return an owner whose claim the snapshot lacks, and a candidate."""
    owner = Proxy(owns=True, lease=LEASE)
    return Specification(
        'returns',
        State._fields,
        State(
            (owner, Proxy()),
            Keys(OWNER, LEASE),
            Keys(CANDIDATE, LEASE),
        ),
        _ReturnSteps(removed).list_steps,
        {'one owner at once': _has_one_owner},
    )


def _has_one_owner(fields: dict[str, Any]) -> bool:
    return sum(proxy.is_held for proxy in fields['proxies']) < 2


class _ReturnSteps:
    """List the possible steps."""

    def __init__(self, removed: Safeguard | None) -> None:
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        """List all steps from a state."""
        steps = list(_list_store_steps(state))
        for index in PROXIES:
            steps += self._list_lease_steps(state, index)
            steps += self._list_ends(state, index)
            steps += self._list_claims(state, index)
        steps += _list_promises(state)
        return steps

    def _list_lease_steps(self, state: State, index: int) -> Iterator[Step]:
        proxy = state.proxies[index]
        if proxy.era < state.era:
            informed = proxy._replace(era=state.era, wait=WAIT)
            yield f'{index} learns the era', _put(state, index, informed)
        if not proxy.owns:
            return
        renewed = _put(state, index, proxy._replace(lease=LEASE))
        if proxy.claimed_in < state.era:
            # The store may renew another lease that has the same id.
            if self._removed is Safeguard.LEASE_ERA:
                yield f'{index} renews a lease of an older era', renewed
        elif state.store.holder == index:
            keys = state.store._replace(left=LEASE)
            yield f'{index} renews its lease', renewed._replace(store=keys)

    def _list_ends(self, state: State, index: int) -> Iterator[Step]:
        proxy = state.proxies[index]
        if not proxy.owns:
            return
        ended = proxy._replace(owns=False, lease=0, promised=0)
        if not proxy.is_held and self._removed is not Safeguard.HELD:
            yield f'{index} ends its ownership', _put(state, index, ended)
            return
        is_other = state.store.holder not in {-1, index}
        is_newest = state.store.claimed_in == state.era == proxy.era
        if is_other and is_newest:
            yield f'{index} sees another owner', _put(state, index, ended)

    def _list_claims(self, state: State, index: int) -> Iterator[Step]:
        proxy = state.proxies[index]
        # Comparisons with revisions of another era always fail.
        if proxy.era != state.era:
            return
        if proxy.owns:
            may_claim = self._can_continue(state, index)
        else:
            may_claim = self._can_follow(state, index)
        if may_claim:
            claimed = proxy._replace(
                owns=True,
                claimed_in=state.era,
                lease=LEASE,
                wait=0,
            )
            yield (
                f'{index} claims',
                _put(state, index, claimed)._replace(
                    store=Keys(index, LEASE, state.era),
                ),
            )

    def _can_continue(self, state: State, index: int) -> bool:
        """Return whether an owner may write its key again."""
        if state.store.holder == index and state.store.claimed_in == state.era:
            return False
        is_kept = self._removed is Safeguard.HELD
        if not (state.proxies[index].is_held or is_kept):
            return False
        return state.store.holder == -1 or state.store.claimed_in < state.era

    def _can_follow(self, state: State, index: int) -> bool:
        """Return whether a proxy that is no owner may claim."""
        proxy = state.proxies[index]
        if state.store.holder not in {-1, index}:
            return False
        if state.store.claimed_in < state.era:
            if state.store.holder == index:
                if self._removed is Safeguard.OWN_KEY:
                    return True
            if proxy.wait and self._removed is not Safeguard.RESTORE_WAIT:
                return False
        return not proxy.bound_for or self._removed is Safeguard.PROMISE_END


def _list_store_steps(state: State) -> Iterator[Step]:
    store = state.store
    left = max(0, store.left - 1)
    aged = store._replace(left=left, holder=store.holder if left else -1)
    owner, candidate = state.proxies
    yield (
        'time passes',
        state._replace(proxies=(_age(owner), _age(candidate)), store=aged),
    )
    yield 'a snapshot is taken', state._replace(snapshot=store)
    if state.era < LAST_ERA:
        left = LEASE if state.snapshot.holder >= 0 else 0
        yield (
            'the store is restored',
            state._replace(
                store=state.snapshot._replace(left=left),
                era=state.era + 1,
            ),
        )


def _list_promises(state: State) -> Iterator[Step]:
    owner, candidate = state.proxies
    if candidate.owns or not owner.is_held:
        return
    promised = _put(state, CANDIDATE, candidate._replace(bound_for=PROMISE))
    yield (
        'a promise is made',
        _put(promised, OWNER, owner._replace(promised=PROMISE)),
    )


def _age(proxy: Proxy) -> Proxy:
    return proxy._replace(
        lease=max(0, proxy.lease - 1),
        promised=max(0, proxy.promised - 1),
        bound_for=max(0, proxy.bound_for - 1),
        wait=max(0, proxy.wait - 1),
    )


def _put(state: State, index: int, proxy: Proxy) -> State:
    proxies = list(state.proxies)
    proxies[index] = proxy
    return state._replace(proxies=(proxies[OWNER], proxies[CANDIDATE]))
