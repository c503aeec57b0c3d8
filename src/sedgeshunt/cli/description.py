"""Show one object with all that concerns it."""

from collections.abc import Iterable, Iterator

from msgspec import Struct

from sedgeshunt.cli.context import Context
from sedgeshunt.cli.listing import (
    ObjectView,
    find_stored,
    join_pairs,
    view_object,
)
from sedgeshunt.configuration.changes import RecordedChange
from sedgeshunt.configuration.history import ChangeHistory
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import (
    ConfigurationObject,
    Group,
    ObjectKind,
    Proxy,
    Route,
    Target,
)
from sedgeshunt.configuration.selector_matcher import SelectorMatcher
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.configuration.store import ABSENT, read_store
from sedgeshunt.ports import KeyValueService

_SHOWN_CHANGES = 5


class Description(Struct):
    """Hold an object, what it relates to and who changed it."""

    view: ObjectView
    related: dict[str, list[str]]
    changes: list[RecordedChange]


async def describe(
    kind: ObjectKind,
    name: str,
    /,
    *,
    context: Context,
) -> None:
    """Show one object, what it relates to and who changed it."""
    async with context.open_platform() as platform:
        described = await _describe(platform, ObjectKey(kind, name))
    context.console.show_text('\n'.join(_list_lines(described)), described)


async def _describe(
    platform: KeyValueService,
    key: ObjectKey,
) -> Description:
    stored = await read_store(platform)
    declared = find_stored(stored, key)
    changes = await ChangeHistory(platform).list_changes_to([key], ABSENT)
    return Description(
        view_object(stored, declared),
        _list_related(stored.snapshot, declared),
        changes[:_SHOWN_CHANGES],
    )


def _list_related(
    snapshot: Snapshot,
    declared: ConfigurationObject,
) -> dict[str, list[str]]:
    reach = SelectorMatcher(snapshot)
    match declared:
        case Group():
            proxies = reach.list_group_proxies(declared.name)
            return {
                'targets': _list_names(snapshot.list_targets(declared.name)),
                'proxies': _list_names(proxies),
            }
        case Route():
            targets = reach.list_route_targets(declared)
            return {'targets': _list_names(targets)}
        case Proxy():
            return {'groups': list(map(str, reach.list_proxy_groups(declared)))}
        case Target():
            routes = (
                route
                for route in snapshot.routes.values()
                if declared in reach.list_route_targets(route)
            )
            return {'routes': _list_names(routes)}
    return {}


def _list_names(objects: Iterable[ConfigurationObject]) -> list[str]:
    return [declared.name for declared in objects]


def _list_lines(described: Description) -> Iterator[str]:
    yield f'kind: {described.view.kind.value}'
    yield f'revision: {described.view.revision}'
    for name, content in described.view.fields.items():
        shown = join_pairs(content) if isinstance(content, dict) else content
        yield f'{name}: {shown}'
    for relation, names in described.related.items():
        yield f'{relation}: {" ".join(names) or "none"}'
    yield from map(_describe_change, described.changes)


def _describe_change(recorded: RecordedChange) -> str:
    record = recorded.record
    return (
        f'changed at {record.at} by {record.author}, '
        + f'change {record.change}: {record.message}'
    )
