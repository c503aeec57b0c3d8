"""Define the store keys of the configuration."""

from re import compile as compile_pattern
from typing import NamedTuple, Self

from sedgeshunt.configuration.objects import (
    ConfigurationObject,
    Group,
    Objective,
    ObjectKind,
    Proxy,
    Route,
    Target,
)

OBJECTS_PREFIX = '/sedgeshunt/objects/'
CHANGES_PREFIX = '/sedgeshunt/changes/'
# Holds the newest change's id. Every change compares and writes it, so its
# revision is that of the configuration, even after an object was deleted.
HEAD_KEY = f'{OBJECTS_PREFIX}head'
# Holds the ids of the retained changes, oldest first.
KEPT_CHANGES_KEY = '/sedgeshunt/kept-changes'

OBJECT_TYPES: dict[ObjectKind, type[ConfigurationObject]] = {
    ObjectKind.GROUP: Group,
    ObjectKind.TARGET: Target,
    ObjectKind.PROXY: Proxy,
    ObjectKind.ROUTE: Route,
    ObjectKind.OBJECTIVE: Objective,
}
_KINDS = {kind_type: kind for kind, kind_type in OBJECT_TYPES.items()}
_NAME = compile_pattern('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')


class ObjectKey(NamedTuple):
    """Identify one object."""

    kind: ObjectKind
    name: str

    def __str__(self) -> str:
        """Return the key as operators write it."""
        return f'{self.kind.value}/{self.name}'

    @property
    def path(self) -> str:
        """Return the key in the key-value service."""
        return f'{OBJECTS_PREFIX}{self.kind.value}/{self.name}'

    @classmethod
    def of(cls, declared: ConfigurationObject) -> Self:
        """Return the key of an object."""
        return cls(_KINDS[type(declared)], declared.name)


def read_path(path: str) -> ObjectKey | None:
    """Return the object's key, or None if `path` is not an object's."""
    kind, _, name = path.removeprefix(OBJECTS_PREFIX).partition('/')
    if not name:
        return None
    try:
        return ObjectKey(ObjectKind(kind), name)
    except ValueError:
        return None


def name_change(change: str) -> str:
    """Return the key under which a change is recorded."""
    return f'{CHANGES_PREFIX}{change}'


def is_name(text: str) -> bool:
    """Return whether `text` can name an object or a traffic class."""
    return _NAME.fullmatch(text) is not None
