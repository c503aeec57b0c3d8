"""Show the objects that operators declared."""

from collections.abc import Iterable, Mapping
from typing import Annotated, Any

from cyclopts import Parameter
from msgspec import Struct, to_builtins

from sedgeshunt.cli.console import Table
from sedgeshunt.cli.context import CommandContext, Context
from sedgeshunt.configuration.documents import write_document
from sedgeshunt.configuration.edits import find_object
from sedgeshunt.configuration.errors import ObjectNotFound
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import (
    ConfigurationObject,
    ObjectKind,
)
from sedgeshunt.configuration.store import (
    StoredConfiguration,
    read_store,
)
from sedgeshunt.identifiers import Revision

_SHOWN_CHANGES = 5
_HEADERS = ('KIND', 'NAME', 'FIELDS', 'LABELS', 'REVISION')
_NAMED_FIELDS = ('name', 'labels')


class ObjectView(Struct):
    """Hold an object with the revision that last changed it."""

    kind: ObjectKind
    revision: Revision
    fields: dict[str, Any]


async def get(
    kind: ObjectKind | None = None,
    name: str | None = None,
    *,
    toml: Annotated[
        bool,
        Parameter(help='Write an operator file that can be applied again.'),
    ] = False,
    context: Context,
) -> None:
    """List objects, of one kind or name if given."""
    async with context.open_platform() as platform:
        stored = await read_store(platform)
    found = _select(stored, kind, name)
    if toml:
        context.console.write(write_document(found, stored.snapshot.revision))
        return
    _show(context, stored, found)


def find_stored(
    stored: StoredConfiguration,
    key: ObjectKey,
) -> ConfigurationObject:
    """Return the object; raise ObjectNotFound."""
    found = find_object(stored.snapshot, key)
    if found is None:
        raise ObjectNotFound(key)
    return found


def view_object(
    stored: StoredConfiguration,
    declared: ConfigurationObject,
) -> ObjectView:
    """Return the object with its revision."""
    key = ObjectKey.of(declared)
    fields = to_builtins(declared)
    return ObjectView(key.kind, stored.read_revision(key), fields)


def join_pairs(pairs: Mapping[str, Any]) -> str:
    """Return the pairs as one line."""
    return ' '.join(f'{name}={content}' for name, content in pairs.items())


def _show(
    context: CommandContext,
    stored: StoredConfiguration,
    found: Iterable[ConfigurationObject],
) -> None:
    views = [view_object(stored, declared) for declared in found]
    rows = [_list_cells(view) for view in views]
    context.console.show(Table(_HEADERS, rows), views)
    for key, reason in stored.unreadable.items():
        context.console.tell(f'{key} cannot be read ({reason}); apply it anew')


def _select(
    stored: StoredConfiguration,
    kind: ObjectKind | None,
    name: str | None,
) -> list[ConfigurationObject]:
    if kind is not None and name is not None:
        return [find_stored(stored, ObjectKey(kind, name))]
    return [
        declared
        for declared in stored.snapshot.list_objects()
        if kind in {None, ObjectKey.of(declared).kind}
    ]


def _list_cells(view: ObjectView) -> tuple[str, ...]:
    fields = {
        name: content
        for name, content in view.fields.items()
        if name not in _NAMED_FIELDS and content != ''
    }
    return (
        view.kind.value,
        view.fields['name'],
        join_pairs(fields),
        join_pairs(view.fields['labels']),
        str(view.revision),
    )
