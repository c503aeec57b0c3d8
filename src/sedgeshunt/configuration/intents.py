"""Define requested changes, independent of the stored state."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from msgspec.structs import replace

from sedgeshunt.configuration.edits import Edits, find_object
from sedgeshunt.configuration.errors import ObjectNotFound
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import ConfigurationObject
from sedgeshunt.configuration.snapshot import Snapshot


class Intent(ABC):
    """Describe a requested change, planned again on each stored state."""

    @property
    @abstractmethod
    def keys(self) -> Sequence[ObjectKey]:
        """Return the keys of all objects that it concerns."""

    @abstractmethod
    def plan(self, snapshot: Snapshot) -> Edits:
        """Return the edits that it needs; raise ObjectNotFound."""


@dataclass(frozen=True, slots=True)
class ApplyObjects(Intent):
    """Create or replace objects."""

    objects: Sequence[ConfigurationObject]

    @property
    def keys(self) -> Sequence[ObjectKey]:
        """Return the objects' keys."""
        return [ObjectKey.of(declared) for declared in self.objects]

    def plan(self, snapshot: Snapshot) -> Edits:
        """Return an edit for each object that differs."""
        wanted = {ObjectKey.of(declared): declared for declared in self.objects}
        return {
            key: declared
            for key, declared in wanted.items()
            if find_object(snapshot, key) != declared
        }


@dataclass(frozen=True, slots=True)
class SetLabels(Intent):
    """Set labels of one object; a value of None removes the label."""

    key: ObjectKey
    labels: Mapping[str, str | None]

    @property
    def keys(self) -> Sequence[ObjectKey]:
        """Return the one object's key."""
        return (self.key,)

    def plan(self, snapshot: Snapshot) -> Edits:
        """Return an edit if a label differs; raise ObjectNotFound."""
        declared = find_object(snapshot, self.key)
        if declared is None:
            raise ObjectNotFound(self.key)
        merged: dict[str, str | None] = {**declared.labels, **self.labels}
        labels = {key: text for key, text in merged.items() if text is not None}
        if labels == declared.labels:
            return {}
        return {self.key: replace(declared, labels=labels)}


@dataclass(frozen=True, slots=True)
class DeleteObjects(Intent):
    """Remove objects."""

    removed: Sequence[ObjectKey]

    @property
    def keys(self) -> Sequence[ObjectKey]:
        """Return the objects' keys."""
        return self.removed

    def plan(self, snapshot: Snapshot) -> Edits:
        """Return an edit for each object; raise ObjectNotFound."""
        for key in self.removed:
            if find_object(snapshot, key) is None:
                raise ObjectNotFound(key)
        return dict.fromkeys(self.removed)
