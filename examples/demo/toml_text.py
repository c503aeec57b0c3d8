"""Write TOML; the standard library only reads it."""

from collections.abc import Mapping
from json import dumps


def write_toml(document: Mapping[str, object]) -> str:
    """Return `document` as TOML, one line for each of its names."""
    lines = [
        f'{name} = {_write_part(part)}\n' for name, part in document.items()
    ]
    return ''.join(lines)


def _write_part(part: object) -> str:
    if isinstance(part, Mapping):
        pairs = [
            f'{dumps(name)} = {_write_part(inner)}'
            for name, inner in part.items()
        ]
        return f'{{ {", ".join(pairs)} }}'
    if isinstance(part, list):
        return f'[{", ".join(map(_write_part, part))}]'
    # Texts, numbers and truth values look alike in JSON and TOML.
    return dumps(part)
