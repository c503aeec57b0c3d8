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
    LEASE_ENDED = 'a claim succeeds only after the end of the lease'
    WAIT_AFTER_MARK = 'a candidate waits after the end of a marked lease'
    MARK_FIRST = 'a lease is marked before it is ended'
    KEEP_MARK = 'a lease stays marked after another claim under it'
    ONE_LEASE = 'what is known of a lease does not apply to the next one'
    OWN_LEASE = 'only the lease of its key extends an ownership'


# Without these, a candidate does not notice a claim that followed.
UNCOMPARED = (Safeguard.KEY_ABSENT, Safeguard.ONE_LEASE)


class Design(Enum):
    """Name what a candidate takes as proof that the owner's lease ended."""

    # The absence of the key.
    ABSENT_KEY = 'absent key'
    # The absence of the key for the time of a lease; a renewal counts only if
    # the key was there.
    DELAY = 'delay'
    # The end of the lease in the store; a candidate ends it if the key went
    # first.
    ENDED_LEASE = 'ended lease'


# What the proxies do.
CURRENT = Design.ENDED_LEASE


class Scope(NamedTuple):
    """Choose what is searched."""

    design: Design = Design.ENDED_LEASE
    removed: Safeguard | None = None
    # The store may end a lease early, which it does not do by its documents.
    ends_early: bool = False


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
    renewal: Renewal | None = None
    # Age of the latest clock reading received from the other proxy.
    stamp: int | None = None
    # For how long it has known that the recorded lease has ended (or, in the
    # design with a delay, that the key is absent).
    known_for: int | None = None

    @property
    def is_held(self) -> bool:
        """Return whether it considers itself the owner."""
        if not (self.owns and self.is_unbroken):
            return False
        return self.lease > 0 or self.promised > 0


class State(NamedTuple):
    """Hold two proxies and the store."""

    proxies: tuple[Proxy, Proxy]
    # Whose key is stored.
    key: int | None
    # Time left of the owner's newest lease by the clock of the store.
    lease_left: int
    # Whether the record of the group names that lease, or an earlier one.
    is_named: bool = True
    # Somebody is about to end the lease, and has marked it before.
    is_ending: bool = False
    is_marked: bool = False
    is_down: bool = False
    promise: Promise | None = None
    # The owner has announced that it released the group.
    is_announced: bool = False
    # The candidate has claimed the group once.
    was_claimed: bool = False


Step = tuple[str, State]


def specify_ownership(scope: Scope) -> Specification:
    """Return an owner, a candidate and a store that may fail."""
    owner = Proxy(owns=True, is_unbroken=True, lease=LEASE)
    return Specification(
        'ownership',
        State._fields,
        State((owner, Proxy()), OWNER, LEASE),
        _OwnershipSteps(scope).list_steps,
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

    def __init__(self, scope: Scope) -> None:
        self._design = scope.design
        self._removed = scope.removed
        self._ends_early = scope.ends_early

    def list_steps(self, state: State) -> list[Step]:
        """List all steps from a state."""
        steps = list(self._list_environment_steps(state))
        # A process that is suspended takes no step while time passes.
        for index in (OWNER, CANDIDATE):
            steps += self._list_claims(state, index)
            steps += self._list_releases(state, index)
            # The first proxy owns the group and the second one may claim it, so
            # only the second makes promises, and the first never claims again.
            if index == OWNER:
                steps += self._list_lease_steps(state)
                steps += self._list_new_lease_steps(state)
                steps += self._list_received_promises(state)
            else:
                steps += self._list_restarts(state)
                steps += self._list_promises(state)
                steps += self._list_findings(state)
        return steps

    def _list_environment_steps(self, state: State) -> Iterator[Step]:
        yield 'time passes', self._tick(state, is_paused=False)
        if state.is_down:
            # During an outage, leases either expire or are paused.
            yield 'time passes, leases pause', self._tick(state, is_paused=True)
            yield 'the store is back', state._replace(is_down=False)
        else:
            yield 'the store goes down', state._replace(is_down=True)
            yield from self._list_renewals(state)
        if state.key == OWNER:
            yield 'the key is taken', state._replace(key=None)
        yield from self._list_endings(state)

    def _tick(self, state: State, *, is_paused: bool) -> State:
        left = state.lease_left if is_paused else max(0, state.lease_left - 1)
        owner, candidate = state.proxies
        aged = state._replace(
            proxies=(self._age(owner), self._age(candidate)),
            lease_left=left,
            promise=_age_promise(state.promise),
        )
        return aged if left else _end_lease(aged)

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
            known_for=_grow(proxy.known_for, LEASE),
            renewal=renewal,
            is_unbroken=proxy.is_unbroken and not breaks,
        )

    def _list_restarts(self, state: State) -> Iterator[Step]:
        is_bound = self._removed is not Safeguard.RESTART_PROMISE
        fresh = Proxy(bound_for=LONGEST if is_bound else 0)
        yield f'{CANDIDATE} restarts', put(state, CANDIDATE, fresh)

    # Only the first proxy renews its lease: it never claims again, so nothing
    # depends on how long the second one owns the group.
    def _list_lease_steps(self, state: State) -> Iterator[Step]:
        proxy = state.proxies[OWNER]
        renewal = proxy.renewal
        if renewal is None:
            sent = proxy._replace(renewal=Renewal(0, is_accepted=False))
            yield 'a renewal is sent', put(state, OWNER, sent)
            return
        answered = proxy._replace(renewal=None)
        if not renewal.is_accepted:
            yield 'a renewal is abandoned', put(state, OWNER, answered)
            return
        if state.is_named or self._removed is Safeguard.OWN_LEASE:
            counts = self._removed is not Safeguard.COUNT_FROM_SENDING
            left = max(0, LEASE - renewal.age) if counts else LEASE
            # The lease has not ended before, so nobody else can have claimed.
            answered = answered._replace(
                lease=max(proxy.lease, left),
                is_unbroken=proxy.is_unbroken or (proxy.owns and left > 0),
            )
        yield 'the answer to a renewal arrives', put(state, OWNER, answered)

    def _list_new_lease_steps(self, state: State) -> Iterator[Step]:
        proxy = state.proxies[OWNER]
        if state.is_down or not proxy.owns:
            return
        if not state.lease_left and proxy.renewal is None:
            granted = state._replace(lease_left=LEASE, is_named=False)
            yield 'a new lease is granted', granted
        is_unchanged = state.key is None and not state.was_claimed
        if proxy.is_held and state.lease_left and is_unchanged:
            yield 'the owner writes its key again', self._claim_again(state)

    def _claim_again(self, state: State) -> State:
        known_for = state.proxies[CANDIDATE].known_for
        is_marked = state.is_marked and state.is_named
        if self._removed is Safeguard.KEEP_MARK:
            is_marked = False
        if self._removed not in UNCOMPARED:
            known_for = None
        candidate = state.proxies[CANDIDATE]._replace(known_for=known_for)
        return put(state, CANDIDATE, candidate)._replace(
            key=OWNER,
            is_named=True,
            is_marked=is_marked,
            is_ending=state.is_ending and state.is_named,
        )

    def _list_renewals(self, state: State) -> Iterator[Step]:
        proxy = state.proxies[OWNER]
        renewal = proxy.renewal
        if renewal is None or renewal.is_accepted or not state.lease_left:
            return
        if self._design is Design.DELAY and state.key != OWNER:
            return
        accepted = renewal._replace(is_accepted=True)
        renewed = put(state, OWNER, proxy._replace(renewal=accepted))
        yield 'the lease is renewed', renewed._replace(lease_left=LEASE)

    def _list_endings(self, state: State) -> Iterator[Step]:
        """List the ends of the lease by a candidate of any group."""
        if not (state.lease_left and state.is_named):
            return
        if self._ends_early:
            yield 'the lease ends early', _end_lease(state)
        if self._design is not Design.ENDED_LEASE:
            return
        if not (state.is_down or state.is_ending):
            marks = self._removed is not Safeguard.MARK_FIRST
            marked = state._replace(is_ending=True, is_marked=marks)
            yield 'the lease is marked', marked
        # A call that was given up may be carried out late.
        if state.is_ending:
            yield 'the marked lease is ended', _end_lease(state)

    def _list_findings(self, state: State) -> Iterator[Step]:
        proxy = state.proxies[CANDIDATE]
        if state.is_down or proxy.owns or proxy.known_for is not None:
            return
        if self._design is Design.ENDED_LEASE:
            is_found = not (state.lease_left and state.is_named)
        else:
            is_found = state.key is None
        if is_found and self._design is not Design.ABSENT_KEY:
            found = proxy._replace(known_for=0)
            yield 'the lease is found ended', put(state, CANDIDATE, found)

    def _list_promises(self, state: State) -> Iterator[Step]:
        proxy = state.proxies[CANDIDATE]
        if proxy.stamp != 0 and not proxy.owns:
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
        is_refused = state.key is not None
        if self._removed is Safeguard.KEY_ABSENT:
            is_refused = False
        if state.is_down or is_bound or is_refused:
            return
        if not self._is_proved(state):
            return
        claimed = proxy._replace(
            owns=True,
            is_unbroken=True,
            lease=LEASE,
            is_withholding=False,
            known_for=None,
        )
        after = put(state, index, claimed)
        yield (
            f'{index} claims',
            after._replace(key=index, was_claimed=True),
        )

    def _is_proved(self, state: State) -> bool:
        """Return whether a candidate takes the owner's lease as ended."""
        known_for = state.proxies[CANDIDATE].known_for
        if self._design is Design.ABSENT_KEY:
            return True
        if state.is_announced or self._removed is Safeguard.LEASE_ENDED:
            return True
        if known_for is None:
            return False
        if self._design is Design.DELAY:
            return known_for >= LEASE
        waits = self._removed is not Safeguard.WAIT_AFTER_MARK
        return known_for >= LEASE or not (waits and state.is_marked)


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


def _end_lease(state: State) -> State:
    key = None if state.key == OWNER else state.key
    return state._replace(lease_left=0, key=key)


def _grow(age: int | None, most: int = OLDEST) -> int | None:
    if age is None:
        return None
    return min(most, age + 1)
