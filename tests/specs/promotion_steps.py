"""List the steps of databases, proxies and the network."""

from collections.abc import Iterator

from tests.specs.promotion_choice import choose
from tests.specs.promotion_copies import copy_late, copy_next
from tests.specs.promotion_evidence import Tracker
from tests.specs.promotion_state import (
    DATABASES,
    FIRST_TERM,
    IDLE,
    NOBODY,
    RIVALS,
    UNKNOWN_END,
    Database,
    End,
    Round,
    Safeguard,
    Scope,
    State,
    Write,
    find_leading_term,
    is_primary,
    read_end,
)

Step = tuple[str, State]
# The log end in a status of any database read at the start.
EARLY_END = (FIRST_TERM, 1)


class PromotionSteps:
    """List the steps that are possible in a state."""

    # A lost message is a step that never happens, and a delayed one a step
    # that happens later: requests remain possible after their sender timed
    # out, and answers are used at any time after they were read. A frozen or
    # crashed process takes no steps.

    def __init__(self, scope: Scope) -> None:
        """Set the bounds and safeguards of the steps."""
        self._scope = scope
        self._tracker = Tracker(scope)
        self._terms = range(FIRST_TERM + 1, scope.last_term + 1)

    def list_steps(self, state: State) -> list[Step]:
        """Return all next states with the labels of the steps."""
        steps: list[Step] = []
        for index in DATABASES:
            steps.extend(self._list_writes(state, index))
            steps.extend(self._list_copies(state, index))
            steps.extend(self._list_fences(state, index))
            steps.extend(self._list_follows(state, index))
        steps.extend(self._list_promotions(state))
        if self._scope.lacks(Safeguard.OWN_FENCES):
            steps.extend(self._list_counted(state))
        return [(label, self._complete(after)) for label, after in steps]

    def _complete(self, state: State) -> State:
        # The proxies are interchangeable, so their order doesn't matter.
        rounds = sorted(_shorten(latest, state) for latest in state.rounds)
        return State(
            state.databases,
            tuple(rounds),
            state.leaders,
            self._tracker.track(state.databases, state.writes),
        )

    def _list_writes(self, state: State, index: int) -> Iterator[Step]:
        number = len(state.writes) + 1
        if number > self._scope.writes or not is_primary(state, index):
            return
        known = state.databases[index]
        log = (*known.log, (known.fence, number))
        write = Write(read_end(log), 0, 0, NOBODY, 0)
        after = _change(state, index, known._replace(log=log))
        yield (
            f'write {number} runs on {index}',
            after._replace(writes=(*state.writes, write)),
        )

    def _list_copies(self, state: State, index: int) -> Iterator[Step]:
        known = state.databases[index]
        if known.source == NOBODY:
            return
        source = state.databases[known.source].log
        log = known.log
        if known.is_fenced:
            log = copy_late(known, source)
        elif find_leading_term(state, known.source) >= known.fence:
            log = copy_next(known.log, source)
        if log != known.log:
            after = _change(state, index, known._replace(log=log))
            yield f'{index} copies from {known.source}', after

    def _list_fences(self, state: State, index: int) -> Iterator[Step]:
        known = state.databases[index]
        keeps_source = self._scope.late_records
        for term in self._terms:
            if not self._accepts(known, term):
                continue
            source = known.source if keeps_source else NOBODY
            fenced = Database(term, source, is_fenced=True, log=known.log)
            after = _change(state, index, fenced)
            yield from self._answer_fence(after, term, index)

    def _answer_fence(
        self,
        state: State,
        term: int,
        index: int,
    ) -> Iterator[Step]:
        label = f'{index} is fenced for {term}'
        is_awaited = False
        for proxy, latest in enumerate(state.rounds):
            is_open = latest.term == term and bool(latest.ends)
            is_awaited = is_awaited or is_open
            if is_open or latest.term < term:
                won = self._add_fence(latest, term, index, state)
                yield label, _change_round(state, proxy, won)
        # A choice may ignore any answer, which is the same as its loss.
        if not is_awaited:
            yield f'{label}, answer lost', state

    def _accepts(self, known: Database, term: int) -> bool:
        if known.fence < term:
            return True
        is_lax = self._scope.lacks(Safeguard.ACCEPT_ONCE)
        return is_lax and known.fence == term and known.is_fenced

    def _add_fence(
        self,
        latest: Round,
        term: int,
        index: int,
        state: State,
    ) -> Round:
        ends = latest.ends if latest.term == term else _forget_ends()
        end = read_end(state.databases[index].log)
        if self._scope.lacks(Safeguard.FENCE_FIRST):
            end = EARLY_END
        return Round(term, _put(ends, index, end))

    def _list_counted(self, state: State) -> Iterator[Step]:
        for proxy, latest in enumerate(state.rounds):
            for index, end in enumerate(latest.ends):
                known = state.databases[index]
                is_fenced = known.is_fenced and known.fence == latest.term
                if is_fenced and end == UNKNOWN_END:
                    ends = _put(latest.ends, index, read_end(known.log))
                    counted = Round(latest.term, ends)
                    label = f'a rival counts the fence that {index} shows'
                    yield label, _change_round(state, proxy, counted)

    def _list_promotions(self, state: State) -> Iterator[Step]:
        for proxy, latest in enumerate(state.rounds):
            term = latest.term
            for index in choose(self._scope, latest.ends):
                known = state.databases[index]
                if not known.is_fenced or known.fence != term:
                    continue
                log = (*known.log, (term, 0))
                primary = Database(term, NOBODY, is_fenced=False, log=log)
                after = _change(state, index, primary)
                if not self._scope.lacks(Safeguard.ONE_PROMOTION):
                    after = _change_round(after, proxy, Round(term, ()))
                label = f'{index} is promoted in {term}'
                yield label, _note_leader(after, term, index)

    def _list_follows(self, state: State, index: int) -> Iterator[Step]:
        known = state.databases[index]
        for term, leader in zip(self._terms, state.leaders, strict=True):
            if leader in {NOBODY, RIVALS, index} or known.fence > term:
                continue
            follower = Database(
                term,
                leader,
                is_fenced=False,
                log=known.log,
            )
            if follower != known:
                after = _change(state, index, follower)
                yield f'{index} follows {leader} in {term}', after


def _shorten(latest: Round, state: State) -> Round:
    # A round that can neither fence nor promote any more is over, and so is
    # one whose proxy couldn't start another round in its term.
    for known in state.databases:
        if known.fence < latest.term:
            return latest
        can_lead = known.fence == latest.term and known.is_fenced
        if latest.ends and can_lead:
            return latest
    return IDLE


def _forget_ends() -> tuple[End, ...]:
    return (UNKNOWN_END,) * len(DATABASES)


def _put(ends: tuple[End, ...], index: int, end: End) -> tuple[End, ...]:
    return (*ends[:index], end, *ends[index + 1 :])


def _change(state: State, index: int, database: Database) -> State:
    databases = state.databases
    return State(
        (*databases[:index], database, *databases[index + 1 :]),
        state.rounds,
        state.leaders,
        state.writes,
    )


def _change_round(state: State, proxy: int, latest: Round) -> State:
    rounds = list(state.rounds)
    rounds[proxy] = latest
    return state._replace(rounds=tuple(rounds))


def _note_leader(state: State, term: int, index: int) -> State:
    leaders = list(state.leaders)
    position = term - FIRST_TERM - 1
    is_first = leaders[position] == NOBODY
    leaders[position] = index if is_first else RIVALS
    return state._replace(leaders=tuple(leaders))
