"""Specify the configuration in force across restores of the store."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

LAST_VERSION = 3
LAST_ERA = 2
PROXIES = (0, 1)


class Safeguard(Enum):
    """Name the safeguards that can be removed."""

    STORED_VERSION = "the store's document is compared by its version"
    COPIED_VERSION = "a peer's copy is compared by its version"


class Proxy(NamedTuple):
    """Hold the version that one proxy has in force, and its revision."""

    version: int = 0
    revision: int = 0


class State(NamedTuple):
    """Hold the operator's newest version, the stored one and two proxies."""

    written: int = 0
    stored: int = 0
    revision: int = 0
    era: int = 0
    proxies: tuple[Proxy, Proxy] = (Proxy(), Proxy())
    went_back: bool = False


Step = tuple[str, State]


def specify_versions(removed: Safeguard | None = None) -> Specification:
    """Return an operator, a store that may be restored, and two proxies."""
    return Specification(
        'versions',
        State._fields,
        State(),
        _VersionSteps(removed).list_steps,
        {'no older version comes into force': _never_goes_back},
    )


def is_newest_everywhere(fields: dict[str, Any]) -> bool:
    """Return whether all proxies have the last version in force."""
    return all(proxy.version == LAST_VERSION for proxy in fields['proxies'])


def _never_goes_back(fields: dict[str, Any]) -> bool:
    return not fields['went_back']


class _VersionSteps:
    """List the possible steps."""

    def __init__(self, removed: Safeguard | None) -> None:
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        """List all steps from a state."""
        steps = list(_list_store_steps(state))
        for index in PROXIES:
            proxy, peer = state.proxies[index], state.proxies[1 - index]
            stored = Proxy(state.stored, state.revision)
            if self._is_newer(Safeguard.STORED_VERSION, stored, proxy):
                label = (
                    f'{index} applies version {stored.version} from the store'
                )
                steps.append((label, _put(state, index, stored)))
            if self._is_newer(Safeguard.COPIED_VERSION, peer, proxy):
                label = f'{index} applies version {peer.version} from its peer'
                steps.append((label, _put(state, index, peer)))
        return steps

    def _is_newer(
        self,
        safeguard: Safeguard,
        offered: Proxy,
        known: Proxy,
    ) -> bool:
        if self._removed is safeguard:
            return offered.revision > known.revision
        return offered.version > known.version


def _list_store_steps(state: State) -> Iterator[Step]:
    # Revisions rise within an era, and are reused in the next one.
    again = state._replace(stored=state.written, revision=state.revision + 1)
    if state.stored < state.written:
        yield 'the operator writes again', again
    elif state.written < LAST_VERSION:
        newer = state.written + 1
        yield (
            f'the operator writes {newer}',
            again._replace(written=newer, stored=newer),
        )
    if state.era < LAST_ERA:
        for stored in range(state.stored):
            revision = min(stored, state.revision)
            yield (
                f'the store is restored to version {stored}',
                state._replace(
                    stored=stored,
                    revision=revision,
                    era=state.era + 1,
                ),
            )


def _put(state: State, index: int, proxy: Proxy) -> State:
    proxies = list(state.proxies)
    went_back = proxy.version < proxies[index].version
    proxies[index] = proxy
    return state._replace(
        proxies=(proxies[0], proxies[1]),
        went_back=state.went_back or went_back,
    )
