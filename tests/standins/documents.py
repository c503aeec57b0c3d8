"""Write and read what operator and databases keep in the store, as JSON."""

from msgspec import Struct
from msgspec.json import decode, encode

from sedgeshunt.configuration.objects import Group, Route, Target
from sedgeshunt.customers.directory import Customer, make_directory
from sedgeshunt.identifiers import TargetLife
from sedgeshunt.ports import KeyValue
from sedgeshunt.registry.directory import (
    DeclaredConfiguration,
    KnownTarget,
    PlatformDocuments,
)

CONFIGURATION_KEY = 'operator/declared'
TARGETS_PREFIX = 'targets/'


class DeclaredDocument(Struct):
    """Hold the operator's declarations."""

    version: int
    groups: list[Group]
    routes: list[Route]
    customers: list[Customer] | None = None


class TargetDocument(Struct):
    """Hold what a target says of itself."""

    target: Target
    slots: int
    leads: bool
    life: TargetLife = TargetLife(0)


class StandInDocuments(PlatformDocuments):
    """Read documents of the product's own objects."""

    configuration_key = CONFIGURATION_KEY
    targets_prefix = TARGETS_PREFIX

    def read_declared(self, pair: KeyValue) -> DeclaredConfiguration:
        """Read the operator's document."""
        read = decode(pair.value, type=DeclaredDocument)
        return DeclaredConfiguration(
            read.version,
            {group.name: group for group in read.groups},
            {route.traffic_class: route for route in read.routes},
            None if read.customers is None else make_directory(read.customers),
        )

    def read_target(self, pair: KeyValue) -> KnownTarget:
        """Read a target's document."""
        read = decode(pair.value, type=TargetDocument)
        return KnownTarget(read.target, read.slots, read.leads, read.life)


def make_document(document: Struct) -> bytes:
    """Return a document as the store keeps it."""
    return encode(document)
