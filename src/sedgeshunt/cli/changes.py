"""Show what changes did and do."""

from collections.abc import Iterable
from typing import Annotated

from cyclopts import Parameter

from sedgeshunt.cli.console import Console, Table
from sedgeshunt.cli.context import CommandContext, Context
from sedgeshunt.configuration.changes import RecordedChange
from sedgeshunt.configuration.differences import ObjectEdit
from sedgeshunt.configuration.errors import ChangeNotFound
from sedgeshunt.configuration.history import ChangeHistory
from sedgeshunt.configuration.registry import AppliedChange
from sedgeshunt.identifiers import ChangeId

_LISTED_CHANGES = 20
_HEADERS = ('REVISION', 'WHEN', 'AUTHOR', 'CHANGE', 'OBJECTS', 'MESSAGE')


async def diff(*files: str, context: Context) -> None:
    """Show what applying operator files would change."""
    document = context.read_objects(files)
    async with context.open_registry() as registry:
        edits = await registry.diff(document.objects)
    text = describe_edits(edits) or 'no differences'
    context.console.show_text(text, edits)


async def history(
    *,
    change: Annotated[
        str | None,
        Parameter(help='Show this change with all its edits.'),
    ] = None,
    limit: Annotated[
        int,
        Parameter(help='Show this many changes at most.'),
    ] = _LISTED_CHANGES,
    context: Context,
) -> None:
    """Show who changed what, newest first."""
    async with context.open_platform() as platform:
        reader = ChangeHistory(platform)
        if change is not None:
            await _show_one(context, reader, ChangeId(change))
            return
        listed = (await reader.list_changes())[:limit]
    rows = [_list_cells(recorded) for recorded in listed]
    context.console.show(Table(_HEADERS, rows), listed)


def show_change(console: Console, applied: AppliedChange) -> None:
    """Show what a change did and how to follow it."""
    if applied.change is None:
        text = f'nothing to change at revision {applied.revision}'
    else:
        text = (
            f'{describe_edits(applied.edits)}\n'
            + f'change {applied.change} is revision {applied.revision}; '
            + 'run "sedgeshunt rollout --wait 10" to see it in force'
        )
    payload = {
        'revision': applied.revision,
        'change': applied.change,
        'edits': applied.edits,
    }
    console.show_text(text, payload)


async def _show_one(
    context: CommandContext,
    reader: ChangeHistory,
    change: ChangeId,
) -> None:
    lookup = await reader.find_change(change)
    if lookup.found is None:
        raise ChangeNotFound(change)
    context.console.show_text(_describe_change(lookup.found), lookup.found)


def describe_edits(edits: Iterable[ObjectEdit]) -> str:
    """Return the edits, one a line."""
    return '\n'.join(edit.describe() for edit in edits)


def _describe_change(recorded: RecordedChange) -> str:
    record = recorded.record
    lines = [
        f'change    {record.change}',
        f'revision  {recorded.revision}',
        f'author    {record.author}',
        f'when      {record.at}',
        f'message   {record.message}',
        *(edit.describe() for edit in record.edits),
        *(f'{name} (edit not kept)' for name in record.omitted),
    ]
    return '\n'.join(lines)


def _list_cells(recorded: RecordedChange) -> list[str]:
    record = recorded.record
    names = [*(str(edit.key) for edit in record.edits), *record.omitted]
    more = f' and {len(names) - 1} more' if len(names) > 1 else ''
    return [
        str(recorded.revision),
        record.at,
        record.author,
        record.change,
        f'{names[0]}{more}' if names else '',
        record.message,
    ]
