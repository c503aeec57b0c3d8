"""Validate the fields of one object in an operator file."""

from collections.abc import Mapping

from msgspec import ValidationError, convert
from msgspec.structs import FieldInfo, fields

from sedgeshunt.configuration.keys import OBJECT_TYPES, is_name
from sedgeshunt.configuration.objects import ObjectKind


def list_field_problems(
    kind: ObjectKind,
    table: Mapping[str, object],
) -> list[str]:
    """List every invalid field of a table, with its remedy."""
    known = {info.name: info for info in fields(OBJECT_TYPES[kind])}
    problems = [
        f'field "{name}" is unknown; use one of {", ".join(known)}'
        for name in table
        if name not in known
    ]
    for info in known.values():
        problem = _check_field(info, table)
        if problem is not None:
            problems.append(problem)
    name = table.get('name')
    if isinstance(name, str) and not is_name(name):
        problems.append(
            'the name may hold letters, digits, ".", "_" and "-", '
            + 'at most 63, and starts with a letter or digit',
        )
    return problems


def _check_field(info: FieldInfo, table: Mapping[str, object]) -> str | None:
    if info.name not in table:
        if info.required:
            return f'field "{info.name}" is missing; add it'
        return None
    try:
        convert(table[info.name], info.type)
    except ValidationError as failure:
        return f'field "{info.name}" is wrong: {failure}'
    return None
