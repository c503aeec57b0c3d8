"""Change the objects that operators declare."""

from collections.abc import Mapping
from typing import Annotated

from cyclopts import Parameter

from sedgeshunt.cli.changes import show_change
from sedgeshunt.cli.context import Context
from sedgeshunt.cli.errors import UsageError
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import ObjectKind
from sedgeshunt.identifiers import Revision

Message = Annotated[
    str,
    Parameter(name=['--message', '-m'], help='Say why, for the history.'),
]
Author = Annotated[
    str | None,
    Parameter(help='Name recorded with the change; the user by default.'),
]
Expect = Annotated[
    int | None,
    Parameter(help='Refuse if an object changed past this revision.'),
]


async def apply(
    *files: str,
    message: Message = '',
    author: Author = None,
    expect: Expect = None,
    context: Context,
) -> None:
    """Create or replace the objects of operator files in one change."""
    document = context.read_objects(files)
    expected = document.base if expect is None else Revision(expect)
    async with context.open_registry(author) as registry:
        applied = await registry.apply(document.objects, message, expected)
    show_change(context.console, applied)


async def delete(
    kind: ObjectKind,
    /,
    *names: str,
    message: Message = '',
    author: Author = None,
    expect: Expect = None,
    context: Context,
) -> None:
    """Remove objects in one change."""
    if not names:
        raise UsageError('no name is given; name the objects to remove')
    keys = [ObjectKey(kind, name) for name in names]
    async with context.open_registry(author) as registry:
        applied = await registry.delete(keys, message, _read_expected(expect))
    show_change(context.console, applied)


async def label(
    kind: ObjectKind,
    name: str,
    /,
    *changes: str,
    message: Message = '',
    author: Author = None,
    expect: Expect = None,
    context: Context,
) -> None:
    """Set labels by KEY=VALUE and remove them by KEY-."""
    labels = read_label_changes(changes)
    key = ObjectKey(kind, name)
    async with context.open_registry(author) as registry:
        applied = await registry.set_labels(
            key,
            labels,
            message,
            _read_expected(expect),
        )
    show_change(context.console, applied)


def read_label_changes(changes: tuple[str, ...]) -> Mapping[str, str | None]:
    """Read KEY=VALUE and KEY- arguments; raise UsageError."""
    labels: dict[str, str | None] = {}
    for change in changes:
        key, is_set, text = change.partition('=')
        if is_set:
            labels[key] = text
        elif change.endswith('-'):
            labels[change[:-1]] = None
        else:
            raise UsageError(
                f'"{change}" changes no label; write KEY=VALUE to set one '
                + 'and KEY- to remove one',
            )
    if not labels:
        raise UsageError('no label is given; write KEY=VALUE or KEY-')
    return labels


def _read_expected(expect: int | None) -> Revision | None:
    return None if expect is None else Revision(expect)
