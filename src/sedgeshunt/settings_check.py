"""Find every problem of a settings document at once."""

from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from pathlib import Path
from tomllib import loads
from typing import Any, get_args

from msgspec import NODEFAULT, Meta, Struct, ValidationError, convert
from msgspec.structs import FieldInfo, fields

from sedgeshunt.decoding import MALFORMED
from sedgeshunt.exceptions import SettingsInvalid

DecodeHook = Callable[[type[Any], Any], Any]


def read_document(path: Path) -> dict[str, object]:
    """Read the TOML file at `path`; raise SettingsInvalid."""
    try:
        return loads(path.read_text(encoding='utf-8'))
    except OSError as failure:
        problem = f'{failure.strerror}; give the path of a readable file'
        raise SettingsInvalid(str(path), [problem]) from failure
    except MALFORMED as failure:
        problem = f'not TOML: {failure}; mend the line it names'
        raise SettingsInvalid(str(path), [problem]) from failure


def find_problems(
    wanted: type[Struct],
    document: Mapping[str, object],
    decode: DecodeHook,
) -> list[str]:
    """List what is missing, unknown or malformed, each with its remedy."""
    return list(_check_table(wanted, document, '', decode))


def _check_table(
    wanted: type[Struct],
    table: Mapping[str, object],
    prefix: str,
    decode: DecodeHook,
) -> Iterator[str]:
    choices = _list_names(wanted)
    for stray in sorted(table.keys() - set(wanted.__struct_fields__)):
        yield f'{prefix}{stray} is unknown; remove it or use one of {choices}'
    for info in fields(wanted):
        path = f'{prefix}{info.name}'
        if info.name in table:
            given = table[info.name]
            yield from _check_setting(info.type, given, path, decode)
        elif _is_required(info):
            yield f'{path} is missing; give {_describe(info.type)}'


def _check_setting(
    wanted: Any,
    given: object,
    path: str,
    decode: DecodeHook,
) -> Iterator[str]:
    table = _find_table(wanted)
    if table is not None and isinstance(given, dict):
        yield from _check_table(table, given, f'{path}.', decode)
        return
    if table is not None and isinstance(given, list) and given:
        for place, member in enumerate(given):
            yield from _check_setting(table, member, f'{path}[{place}]', decode)
        return
    try:
        convert(given, wanted, dec_hook=decode)
    except ValidationError as failure:
        reason = str(failure).partition(' - at `$')[0]
        yield f'{path}: {reason}; give {_describe(wanted)}'


def _list_names(wanted: type[Struct]) -> str:
    return ', '.join(wanted.__struct_fields__)


def _is_required(info: FieldInfo) -> bool:
    return info.default is NODEFAULT and info.default_factory is NODEFAULT


def _find_table(wanted: Any) -> type[Struct] | None:
    # Look into X | None, list[X] and Annotated[X, ...] alike.
    if isinstance(wanted, type) and issubclass(wanted, Struct):
        return wanted
    found = (_find_table(part) for part in get_args(wanted))
    return next((one for one in found if one is not None), None)


def _describe(wanted: Any) -> str:
    if isinstance(wanted, Meta) and wanted.description:
        return wanted.description
    if isinstance(wanted, type) and issubclass(wanted, Enum):
        choices = ', '.join(str(one.value) for one in wanted)
        return f'one of {choices}'
    if isinstance(wanted, type) and issubclass(wanted, Struct):
        return f'a table with {_list_names(wanted)}'
    for part in reversed(get_args(wanted)):
        described = _describe(part)
        if described:
            return described
    return ''
