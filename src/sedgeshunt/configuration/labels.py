"""Select objects by their labels."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from re import compile as compile_pattern

from result import Err, Ok, Result

from sedgeshunt.configuration.objects import ConfigurationObject

# Derived from the object's fields; selectors can match them as labels.
COMPUTED_LABELS = ('name', 'zone', 'group')

_KEY = '[A-Za-z0-9][A-Za-z0-9._/-]{0,62}'
_VALUE = '[A-Za-z0-9._-]{0,63}'
_KEY_PATTERN = compile_pattern(_KEY)
_VALUE_PATTERN = compile_pattern(_VALUE)
_SET = compile_pattern(rf'({_KEY})\s+(in|notin)\s*\(([^()]*)\)')
_PAIR = compile_pattern(rf'({_KEY})\s*(!=|==|=)\s*({_VALUE})')
_PRESENCE = compile_pattern(rf'(!?)\s*({_KEY})')
# Commas inside brackets belong to a set of values.
_SEPARATOR = compile_pattern(r',(?![^()]*\))')
_CACHED_SELECTORS = 4096


@dataclass(frozen=True, slots=True)
class Requirement:
    """Constrain one label; values of None require only its presence."""

    key: str
    values: frozenset[str] | None
    negated: bool = False

    def is_met(self, labels: Mapping[str, str]) -> bool:
        """Return whether `labels` match; a missing label equals no value."""
        if self.values is None:
            return (self.key in labels) != self.negated
        return (labels.get(self.key) in self.values) != self.negated


@dataclass(frozen=True, slots=True)
class Selector:
    """Combine requirements; an empty selector matches everything."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether `labels` meet every requirement."""
        return all(
            requirement.is_met(labels) for requirement in self.requirements
        )


def list_labels(declared: ConfigurationObject) -> dict[str, str]:
    """Return an object's labels together with the computed ones."""
    labels = dict(declared.labels)
    for key in COMPUTED_LABELS:
        computed = getattr(declared, key, None)
        if computed is not None:
            labels[key] = str(computed)
    return labels


def is_label_key(text: str) -> bool:
    """Return whether `text` can be a label's key."""
    return _KEY_PATTERN.fullmatch(text) is not None


def is_label_value(text: str) -> bool:
    """Return whether `text` can be a label's value."""
    return _VALUE_PATTERN.fullmatch(text) is not None


@lru_cache(maxsize=_CACHED_SELECTORS)
def read_selector(text: str) -> Result[Selector, str]:
    """Read a selector such as `zone=a,tier in (fast,slow),!legacy`."""
    if not text.strip():
        return Ok(Selector())
    requirements = []
    for part in _SEPARATOR.split(text):
        requirement = _read_requirement(part.strip())
        if requirement is None:
            return Err(
                f'"{part.strip()}" is not a requirement; write key=value, '
                + 'key!=value, key in (a,b), key notin (a,b), key or !key',
            )
        requirements.append(requirement)
    return Ok(Selector(tuple(requirements)))


def _read_requirement(part: str) -> Requirement | None:
    if found := _SET.fullmatch(part):
        values = [value.strip() for value in found[3].split(',')]
        if not all(value and is_label_value(value) for value in values):
            return None
        return Requirement(found[1], frozenset(values), found[2] == 'notin')
    if found := _PAIR.fullmatch(part):
        return Requirement(found[1], frozenset((found[3],)), found[2] == '!=')
    if found := _PRESENCE.fullmatch(part):
        return Requirement(found[2], None, negated=bool(found[1]))
    return None
