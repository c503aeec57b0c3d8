"""Derive a snapshot from the previous one and a set of edits."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import (
    ConfigurationObject,
    ObjectKind,
    Target,
)
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.identifiers import GroupId, Revision, TargetId

# With more edited targets than this the index is rebuilt as a whole.
MAX_INCREMENTAL_EDITS = 64

# None removes the object.
Edits = Mapping[ObjectKey, ConfigurationObject | None]

_SNAPSHOT_FIELDS = {
    ObjectKind.GROUP: 'groups',
    ObjectKind.TARGET: 'targets',
    ObjectKind.PROXY: 'proxies',
    ObjectKind.ROUTE: 'routes',
    ObjectKind.OBJECTIVE: 'objectives',
}


def find_object(
    snapshot: Snapshot,
    key: ObjectKey,
) -> ConfigurationObject | None:
    """Return the object under `key`, or None if there is none."""
    return list_kind(snapshot, key.kind).get(key.name)


def list_kind(
    snapshot: Snapshot,
    kind: ObjectKind,
) -> Mapping[str, ConfigurationObject]:
    """Return the objects of one kind by name."""
    objects: Mapping[str, ConfigurationObject] = getattr(
        snapshot,
        _SNAPSHOT_FIELDS[kind],
    )
    return objects


def change_snapshot(
    before: Snapshot,
    revision: Revision,
    edits: Edits,
) -> Snapshot:
    """Return a new snapshot; `before` is not modified."""
    changed: dict[str, Any] = {
        name: _change_kind(before, kind, edits)
        for kind, name in _SNAPSHOT_FIELDS.items()
        if any(key.kind is kind for key in edits)
    }
    after = replace(before, revision=revision, **changed)
    edited = {key.name for key in edits if key.kind is ObjectKind.TARGET}
    # Presets the cached property, which would sort all targets again; with
    # thousands of changes a day those pauses would delay callers. A whole
    # listing is sorted again, since updating the index edit by edit takes
    # quadratic time, half a second for a few thousand targets.
    if len(edited) <= MAX_INCREMENTAL_EDITS:
        after.__dict__['members'] = _change_members(before, after, edited)
    return after


def _change_kind(
    before: Snapshot,
    kind: ObjectKind,
    edits: Edits,
) -> dict[str, ConfigurationObject]:
    changed = dict(list_kind(before, kind))
    for key, declared in edits.items():
        if key.kind is not kind:
            continue
        changed.pop(key.name, None)
        if declared is not None:
            changed[key.name] = declared
    return changed


def _change_members(
    before: Snapshot,
    after: Snapshot,
    edited: set[str],
) -> dict[GroupId, tuple[Target, ...]]:
    members = {
        group: _list_members(before, after, edited, group)
        for group in _list_groups((before, after), edited)
    }
    return {**before.members, **members}


def _list_members(
    before: Snapshot,
    after: Snapshot,
    edited: set[str],
    group: GroupId,
) -> tuple[Target, ...]:
    listed = [
        target
        for target in before.members.get(group, ())
        if target.name not in edited
    ]
    listed.extend(_find_targets(after, edited, group))
    return tuple(sorted(listed, key=lambda target: target.name))


def _list_groups(
    snapshots: Iterable[Snapshot],
    names: Iterable[str],
) -> set[GroupId]:
    groups: set[GroupId] = set()
    for snapshot in snapshots:
        found = (snapshot.targets.get(TargetId(name)) for name in names)
        groups.update(target.group for target in found if target)
    return groups


def _find_targets(
    snapshot: Snapshot,
    names: Iterable[str],
    group: GroupId,
) -> list[Target]:
    found = (snapshot.targets.get(TargetId(name)) for name in names)
    return [target for target in found if target and target.group == group]
