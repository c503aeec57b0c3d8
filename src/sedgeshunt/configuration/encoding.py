"""Encode objects and snapshots as JSON and decode them."""

from collections.abc import Iterable, Mapping
from typing import Any

from msgspec import ValidationError, convert
from msgspec.json import encode
from msgspec.structs import fields
from result import Err, Ok, Result

from sedgeshunt.configuration.edits import change_snapshot
from sedgeshunt.configuration.keys import OBJECT_TYPES, ObjectKey
from sedgeshunt.configuration.objects import ConfigurationObject, ObjectKind
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.decoding import Undecodable, decode_document
from sedgeshunt.identifiers import Revision

_REVISION = 'revision'
_FIELD_NAMES = {
    kind: frozenset(known.name for known in fields(kind_type))
    for kind, kind_type in OBJECT_TYPES.items()
}


def encode_object(declared: ConfigurationObject) -> bytes:
    """Return the object as JSON."""
    return encode(declared)


def decode_object(
    key: ObjectKey,
    value: bytes,
) -> Result[ConfigurationObject, str]:
    """Decode the object stored under `key`."""
    try:
        table = decode_document(value, dict[str, Any])
    except Undecodable as failure:
        return Err(f'not a JSON object: {failure.reason}')
    built = _build_object(key.kind, table)
    if isinstance(built, Ok) and built.ok_value.name != key.name:
        return Err(f'its name field is {built.ok_value.name}, unlike its key')
    return built


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the whole snapshot as one JSON document."""
    document: dict[str, object] = {_REVISION: snapshot.revision}
    for kind in ObjectKind:
        document[kind.value] = []
    for declared in snapshot.list_objects():
        listed = document[ObjectKey.of(declared).kind.value]
        if isinstance(listed, list):
            listed.append(declared)
    return encode(document)


def decode_snapshot(document: bytes) -> Result[Snapshot, str]:
    """Decode a snapshot; one invalid object rejects the whole document."""
    try:
        tables = decode_document(document, dict[str, Any])
        revision = Revision(convert(tables.get(_REVISION), int))
        objects = _build_objects(tables)
    except Undecodable as failure:
        return Err(f'not a configuration document: {failure.reason}')
    except ValidationError as failure:
        return Err(f'not a configuration document: {failure}')
    return Ok(build_snapshot(revision, objects))


def build_snapshot(
    revision: Revision,
    objects: Iterable[ConfigurationObject],
) -> Snapshot:
    """Return a snapshot that holds exactly `objects`."""
    edits: dict[ObjectKey, ConfigurationObject | None] = {
        ObjectKey.of(declared): declared for declared in objects
    }
    return change_snapshot(Snapshot(), revision, edits)


def _build_objects(tables: Mapping[str, Any]) -> list[ConfigurationObject]:
    objects = []
    for kind in ObjectKind:
        for table in convert(tables.get(kind.value, []), list[dict[str, Any]]):
            match _build_object(kind, table):
                case Ok(declared):
                    objects.append(declared)
                case Err(reason):
                    raise ValidationError(f'{kind.value}: {reason}')
    return objects


def _build_object(
    kind: ObjectKind,
    table: Mapping[str, Any],
) -> Result[ConfigurationObject, str]:
    # During an upgrade a newer client may write fields that this version does
    # not know. Rejecting them would stop older proxies from applying changes,
    # so they are ignored here; operator files reject unknown fields.
    known = _FIELD_NAMES[kind]
    kept = {name: value for name, value in table.items() if name in known}
    try:
        return Ok(convert(kept, OBJECT_TYPES[kind]))
    except ValidationError as failure:
        return Err(str(failure))
