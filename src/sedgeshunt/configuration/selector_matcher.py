"""Match the selectors of routes and proxies to objects."""

from collections.abc import Iterable
from typing import TypeVar

from result import Err

from sedgeshunt.configuration.labels import list_labels, read_selector
from sedgeshunt.configuration.objects import Group, Proxy, Route, Target
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.identifiers import GroupId

_Labelled = TypeVar('_Labelled', Group, Target)


class SelectorMatcher:
    """Match selectors to the groups and targets of declared snapshot."""

    def __init__(self, snapshot: Snapshot) -> None:
        """Read from `snapshot`."""
        self._snapshot = snapshot

    def list_route_groups(self, route: Route) -> list[GroupId]:
        """List the groups that a route covers, by name."""
        return self._list_groups(route.groups)

    def list_route_targets(self, route: Route) -> list[Target]:
        """List the targets that a route reaches, by group and name."""
        return [
            target
            for group in self.list_route_groups(route)
            for target in _select(
                self._snapshot.list_targets(group),
                route.targets,
            )
        ]

    def list_proxy_groups(self, proxy: Proxy) -> list[GroupId]:
        """List the groups that a proxy serves, by name."""
        return self._list_groups(proxy.groups)

    def list_group_proxies(self, group: GroupId) -> list[Proxy]:
        """List the proxies that serve a group, by name."""
        declared = self._snapshot.groups.get(group)
        if declared is None:
            return []
        return [
            proxy
            for _, proxy in sorted(self._snapshot.proxies.items())
            if _select([declared], proxy.groups)
        ]

    def _list_groups(self, selector: str) -> list[GroupId]:
        groups = self._snapshot.groups
        ordered = [groups[name] for name in sorted(groups)]
        return [group.name for group in _select(ordered, selector)]


def _select(
    labelled: Iterable[_Labelled],
    selector: str,
) -> list[_Labelled]:
    # An invalid selector matches nothing: a missing target is noticed at once,
    # an unintended declared only after its data was read.
    read = read_selector(selector)
    if isinstance(read, Err):
        return []
    return [
        declared
        for declared in labelled
        if read.ok_value.matches(list_labels(declared))
    ]
