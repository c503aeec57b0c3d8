"""Read and write operator files in TOML."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain, repeat
from re import MULTILINE
from re import compile as compile_pattern
from tomllib import loads
from typing import Any

from msgspec import NODEFAULT, convert, to_builtins
from msgspec.json import encode
from msgspec.structs import FieldInfo, fields
from result import Err, Ok, Result

from sedgeshunt.configuration.fields import list_field_problems
from sedgeshunt.configuration.keys import OBJECT_TYPES, ObjectKey
from sedgeshunt.configuration.objects import ConfigurationObject, ObjectKind
from sedgeshunt.decoding import MALFORMED
from sedgeshunt.identifiers import Revision

_REVISION = 'revision'
_KINDS = {kind.value: kind for kind in ObjectKind}
_SECTIONS = ', '.join(f'[[{kind.value}]]' for kind in ObjectKind)
_HEADER = compile_pattern(r'^\s*\[\[\s*(\w+)\s*\]\]', MULTILINE)
_BARE_KEY = compile_pattern('[A-Za-z0-9_-]+')


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """Hold the text of one operator file."""

    source: str
    text: str


@dataclass(frozen=True, slots=True)
class Document:
    """Hold the objects of operator files."""

    objects: tuple[ConfigurationObject, ...] = ()
    # The revision at which the objects were read from the store, if any.
    base: Revision | None = None


def read_documents(
    files: Sequence[OperatorFile],
) -> Result[Document, tuple[str, ...]]:
    """Read all files; the error value lists every problem found."""
    reader = _DocumentReader()
    for file in files:
        reader.read_file(file)
    if reader.problems:
        return Err(tuple(reader.problems))
    base = min(reader.bases) if reader.bases else None
    return Ok(Document(tuple(reader.objects.values()), base))


def write_document(
    objects: Iterable[ConfigurationObject],
    base: Revision | None = None,
) -> str:
    """Return the objects as an operator file."""
    lines = [] if base is None else [f'{_REVISION} = {base}', '']
    for declared in objects:
        lines.append(f'[[{ObjectKey.of(declared).kind.value}]]')
        lines.extend(_write_fields(declared))
        lines.append('')
    return '\n'.join(lines)


class _DocumentReader:
    """Collect objects and problems over several files."""

    def __init__(self) -> None:
        self.objects: dict[ObjectKey, ConfigurationObject] = {}
        self.bases: list[Revision] = []
        self.problems: list[str] = []
        self._locations: dict[ObjectKey, str] = {}

    def read_file(self, file: OperatorFile) -> None:
        try:
            document = loads(file.text)
        except MALFORMED as failure:
            self.problems.append(f'{file.source}: invalid TOML: {failure}')
            return
        for name, content in document.items():
            self._read_section(file, name, content)

    def _read_section(
        self,
        file: OperatorFile,
        name: str,
        content: object,
    ) -> None:
        if name == _REVISION:
            self._read_base(file, content)
            return
        kind = _KINDS.get(name)
        if kind is None:
            self.problems.append(
                f'{file.source}: "{name}" is unknown; use one of {_SECTIONS}',
            )
            return
        if not isinstance(content, list):
            self.problems.append(
                f'{file.source}: write [[{name}]] with two brackets',
            )
            return
        locations = _list_locations(file, name)
        for table, location in zip(content, locations, strict=False):
            self._read_table(kind, table, location)

    def _read_base(self, file: OperatorFile, content: object) -> None:
        if isinstance(content, int):
            self.bases.append(Revision(content))
            return
        self.problems.append(
            f'{file.source}: {_REVISION} must be the whole number that '
            + '"sedgeshunt get --toml" wrote; restore or remove it',
        )

    def _read_table(
        self,
        kind: ObjectKind,
        table: object,
        location: str,
    ) -> None:
        if not isinstance(table, dict):
            self.problems.append(f'{location}: write [[{kind.value}]] tables')
            return
        name = str(table.get('name', ''))
        subject = f'{location}: {kind.value}/{name or "?"}'
        problems = list_field_problems(kind, table)
        if problems:
            self.problems.extend(f'{subject}: {text}' for text in problems)
            return
        key = ObjectKey(kind, name)
        if key in self._locations:
            self.problems.append(
                f'{subject}: declared already at {self._locations[key]}; '
                + 'keep one of the two',
            )
            return
        self._locations[key] = location
        self.objects[key] = convert(table, OBJECT_TYPES[kind])


def _list_locations(file: OperatorFile, name: str) -> Iterator[str]:
    lines = (
        file.text.count('\n', 0, found.start(1)) + 1
        for found in _HEADER.finditer(file.text)
        if found[1] == name
    )
    locations = (f'{file.source}:{line}' for line in lines)
    # An inline array of tables has no header line for each table.
    return chain(locations, repeat(file.source))


def _write_fields(declared: ConfigurationObject) -> list[str]:
    table: Mapping[str, Any] = to_builtins(declared)
    return [
        f'{info.name} = {_write_value(table[info.name])}'
        for info in fields(declared)
        if table[info.name] != _read_default(info)
    ]


def _read_default(info: FieldInfo) -> object:
    if info.default_factory is NODEFAULT:
        return info.default
    return info.default_factory()


def _write_value(content: object) -> str:
    if isinstance(content, dict):
        pairs = (
            f'{_write_key(key)} = {_write_value(inner)}'
            for key, inner in content.items()
        )
        return f'{{ {", ".join(pairs)} }}'
    # JSON strings, numbers and booleans are valid TOML, except for U+007F.
    return encode(content).decode().replace('\x7f', r'\u007f')


def _write_key(key: str) -> str:
    return key if _BARE_KEY.fullmatch(key) else f'"{key}"'
