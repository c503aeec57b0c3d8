"""Answer what a caller asks about its own session."""

from collections.abc import Sequence

from mysql_mimic.types import ColumnType
from result import Err, Ok, Result

from sedgeshunt.adapters.handshake import SERVER_VERSION
from sedgeshunt.adapters.refusals import UNKNOWN_VARIABLE
from sedgeshunt.adapters.session_state import SessionState
from sedgeshunt.adapters.session_statements import Item, parse_items
from sedgeshunt.adapters.session_variables import read_variable
from sedgeshunt.requests.attributes import PREFIX
from sedgeshunt.requests.outcome import Answer, Column, Rejected

Cell = str | int | None

TOKEN_NAME = f'{PREFIX}session_token'

# Warnings are kept by a target's connection, which serves other callers too.
NO_WARNINGS = Answer(
    columns=(
        Column('Level', ColumnType.VAR_STRING),
        Column('Code', ColumnType.LONGLONG),
        Column('Message', ColumnType.VAR_STRING),
    ),
)


def answer_selection(
    body: str,
    state: SessionState,
    token: str,
) -> Result[Answer, Rejected] | None:
    """Answer what follows SELECT; None if a target has to be asked."""
    items = parse_items(body)
    cells = [_read_item(item, state, token) for item in items]
    unknown = _list_unknown(items, cells)
    if not unknown:
        return Ok(_make_answer(items, cells))
    if all(item.variable for item in items):
        return None
    reason = f'{unknown[0]} has to be selected in a statement of its own'
    return Err(UNKNOWN_VARIABLE.reject(reason))


def _list_unknown(items: Sequence[Item], cells: Sequence[Cell]) -> list[str]:
    return [
        item.label
        for item, cell in zip(items, cells, strict=True)
        if cell is None and item.variable
    ]


def _read_item(item: Item, state: SessionState, token: str) -> Cell:
    if item.variable:
        return read_variable(item.variable, autocommit=state.autocommit)
    if item.own:
        own = token if item.own == TOKEN_NAME else ''
        return own or state.own_texts.get(item.own)
    functions: dict[str, Cell] = {
        'connection_id': state.number,
        'current_user': state.user,
        'database': state.group,
        'last_insert_id': state.last_insert_id,
        'schema': state.group,
        'user': state.user,
        'version': SERVER_VERSION,
    }
    return functions.get(item.function)


def _make_answer(items: Sequence[Item], cells: Sequence[Cell]) -> Answer:
    columns = [
        Column(
            item.label,
            ColumnType.LONGLONG
            if isinstance(cell, int)
            else ColumnType.VAR_STRING,
        )
        for item, cell in zip(items, cells, strict=True)
    ]
    return Answer(columns=columns, rows=(tuple(cells),))
