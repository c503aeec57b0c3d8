"""Compare objects field by field before and after a change."""

from collections.abc import Mapping
from enum import Enum

from msgspec import Struct, to_builtins
from msgspec.json import encode

from sedgeshunt.configuration.edits import Edits, find_object
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import ConfigurationObject, ObjectKind
from sedgeshunt.configuration.snapshot import Snapshot

FieldValue = str | int | float | bool | None

_LABELS = 'labels'


class EditAction(Enum):
    """List the ways in which a change affects an object."""

    CREATED = 'created'
    CHANGED = 'changed'
    DELETED = 'deleted'


class FieldEdit(Struct, frozen=True):
    """Hold a field's value before and after; None means absent."""

    field: str
    before: FieldValue
    after: FieldValue

    def describe(self) -> str:
        """Return the edit as `field: before -> after`."""
        return f'{self.field}: {_format(self.before)} -> {_format(self.after)}'


class ObjectEdit(Struct, frozen=True):
    """Hold the edits of one change to one object."""

    kind: ObjectKind
    name: str
    action: EditAction
    fields: tuple[FieldEdit, ...] = ()

    @property
    def key(self) -> ObjectKey:
        """Return the object's key."""
        return ObjectKey(self.kind, self.name)

    def describe(self) -> str:
        """Return the edit in one line."""
        fields = ', '.join(edit.describe() for edit in self.fields)
        head = f'{self.key} {self.action.value}'
        return f'{head} ({fields})' if fields else head


def compare_edits(before: Snapshot, edits: Edits) -> list[ObjectEdit]:
    """Describe `edits` to `before`, without unchanged objects."""
    described = []
    for key, declared in edits.items():
        edit = compare_objects(key, find_object(before, key), declared)
        if edit is not None:
            described.append(edit)
    return described


def compare_objects(
    key: ObjectKey,
    before: ConfigurationObject | None,
    after: ConfigurationObject | None,
) -> ObjectEdit | None:
    """Describe how an object changes; return None if it does not."""
    if before == after:
        return None
    old, new = _flatten(before), _flatten(after)
    names = [*old, *(name for name in new if name not in old)]
    fields = tuple(
        FieldEdit(name, old.get(name), new.get(name))
        for name in names
        if old.get(name) != new.get(name)
    )
    return ObjectEdit(key.kind, key.name, _choose_action(before, after), fields)


def _choose_action(
    before: ConfigurationObject | None,
    after: ConfigurationObject | None,
) -> EditAction:
    if before is None:
        return EditAction.CREATED
    if after is None:
        return EditAction.DELETED
    return EditAction.CHANGED


def _flatten(declared: ConfigurationObject | None) -> dict[str, FieldValue]:
    if declared is None:
        return {}
    table: Mapping[str, FieldValue] = to_builtins(declared)
    flat = {name: value for name, value in table.items() if name != _LABELS}
    for key, value in declared.labels.items():
        flat[f'{_LABELS}.{key}'] = value
    return flat


def _format(value: FieldValue) -> str:
    if value is None:
        return 'unset'
    return encode(value).decode()
