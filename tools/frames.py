"""Write the classes of the frames between proxies from their schema."""

import subprocess  # the formatter runs on what is written
import sys
from collections.abc import Iterator
from pathlib import Path
from types import MappingProxyType
from typing import Any

from thriftpy2 import load
from thriftpy2.thrift import TType

ADAPTERS = Path(__file__).resolve().parent.parent / 'src/sedgeshunt/adapters'
SCHEMA = ADAPTERS / 'forwarding.thrift'
CLASSES = ADAPTERS / 'forwarding_frames.py'
# The product's own types for the same messages have the plain names.
PREFIX = 'Wire'
HEAD = '''"""Hold the messages of the schema; written by `make frames`."""

# The schema is parsed when it changes, not at each start of a proxy: callers
# find no connection until a proxy has started.

from typing import Any

from thrift.protocol.TBase import TBase
from thrift.Thrift import TType
'''

CLASS_HEAD = '''class {name}(TBase):
    """Hold a message of the kind {kind}."""

    __slots__ = ('''
INIT_HEAD = """    )

    def __init__(
        self,"""
INIT_BODY = '''    ) -> None:
        """Leave out what is not given."""'''
# How the library marks the arguments of simple fields.
SIMPLE_ARGUMENTS = MappingProxyType(
    {
        TType.STRING: repr('UTF8'),
        TType.BINARY: repr('BINARY'),
    }
)


def write_classes() -> str:
    """Return the module's text."""
    schema = load(str(SCHEMA), module_name='forwarding_thrift')
    kinds = schema.__thrift_meta__['structs']
    return _format('\n\n'.join([HEAD, *map(_write_class, kinds)]))


def _format(text: str) -> str:
    formatter = Path(sys.executable).parent / 'ruff'
    done = subprocess.run(
        [str(formatter), 'format', '--stdin-filename', str(CLASSES), '-'],
        input=text,
        capture_output=True,
        check=True,
        text=True,
    )
    return done.stdout


def _name_class(kind: Any) -> str:
    return f'{PREFIX}{kind.__name__}'


def _write_class(kind: Any) -> str:
    lines = '\n'.join(_list_lines(kind))
    return f'{lines}\n'


def _list_lines(kind: Any) -> Iterator[str]:
    fields = kind.thrift_spec
    names = [fields[number][1] for number in sorted(fields)]
    yield CLASS_HEAD.format(name=_name_class(kind), kind=kind.__name__)
    yield from (f'        {name!r},' for name in names)
    yield INIT_HEAD
    yield from (f'        {name}: Any = None,' for name in names)
    yield INIT_BODY
    yield from (f'        self.{name} = {name}' for name in names)
    yield f'\n\n{_name_class(kind)}.thrift_spec = ('
    for number in range(max(fields) + 1):
        has_field = number in fields
        text = _write_field(number, fields[number]) if has_field else 'None'
        yield f'    {text},'
    yield ')'


def _write_field(number: int, field: Any) -> str:
    wire_type, name, *rest = field
    # What the elements are stands before the mark of what must be there.
    arguments = _write_arguments(wire_type, rest[0] if rest[1:] else None)
    kind = _name_type(wire_type)
    return f'({number}, {kind}, {name!r}, {arguments}, None)'


def _write_arguments(wire_type: int, inner: Any) -> str:
    if wire_type == TType.STRUCT:
        name = _name_class(inner)
        return f'[{name}, {name}.thrift_spec]'
    if wire_type == TType.LIST:
        return f'({_write_element(inner)}, False)'
    if wire_type == TType.MAP:
        key, kept = inner
        return f'({_write_element(key)}, {_write_element(kept)}, False)'
    return SIMPLE_ARGUMENTS.get(wire_type, 'None')


def _write_element(element: Any) -> str:
    wire_type, inner = (
        element if isinstance(element, tuple) else (element, None)
    )
    return f'{_name_type(wire_type)}, {_write_arguments(wire_type, inner)}'


def _name_type(wire_type: int) -> str:
    if wire_type == TType.BINARY:
        return 'TType.STRING'
    named = (
        name for name, number in vars(TType).items() if number == wire_type
    )
    return f'TType.{next(named)}'


def main() -> None:
    """Write the module, or tell with `--check` whether it is current."""
    text = write_classes()
    if '--check' not in sys.argv:
        CLASSES.write_text(text)
    elif CLASSES.read_text() != text:
        sys.exit('forwarding_frames.py is older than its schema: make frames')


if __name__ == '__main__':
    main()
