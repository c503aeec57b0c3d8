"""Make entries as another client of the store may write them."""

from json import dumps
from random import Random

MAX_VALUE_BYTES = 1_048_576
_FIELDS = (
    'service',
    'address',
    'zone',
    'state',
    'capacity_slots',
    'born',
    'odd',
)
_VALUES: tuple[object, ...] = (
    None,
    True,
    -1,
    0,
    10**18,
    0.5,
    '',
    'songbook',
    'draining',
    '10.0.0.1:80',
    'host:80',
    [],
    {},
)


def make_nested(
    field: str,
    opening: str,
    closing: str,
    depth: int,
    *,
    is_whole: bool,
) -> bytes:
    """Return a document with a value nested `depth` times, or its start."""
    parts = ['{"', field, '":', opening * depth]
    if is_whole:
        parts.extend(('0', closing * depth, '}'))
    return ''.join(parts).encode()


def draw_entry(random: Random) -> bytes:
    """Draw an entry with any depth, length and types of its fields."""
    kind = random.choice(('nested', 'long', 'fields', 'bytes'))
    if kind == 'nested':
        opening, closing = random.choice((('[', ']'), ('{"a":', '}')))
        most = MAX_VALUE_BYTES // (2 * len(opening))
        return make_nested(
            random.choice(_FIELDS),
            opening,
            closing,
            int(10 ** random.uniform(0, 5)) % most,
            is_whole=random.choice((True, False)),
        )
    if kind == 'bytes':
        return random.randbytes(random.randrange(100))
    fields = {
        name: random.choice(_VALUES) for name in _FIELDS if random.randrange(5)
    }
    if kind == 'long':
        fields[random.choice(_FIELDS)] = 'x' * random.randrange(900_000)
    return dumps(fields).encode()
