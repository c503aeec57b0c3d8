"""Read and write the documents of the etcd v3 JSON gateway."""

from base64 import b64decode, b64encode
from collections.abc import Mapping, Sequence
from typing import Any

from sedgeshunt.identifiers import Revision
from sedgeshunt.ports import (
    Compare,
    Delete,
    KeyValue,
    Listing,
    Put,
    WatchEvent,
)

# JSON as the gateway speaks it: numbers of 64 bits are texts, and whatever
# has its default value is left out.
Document = Mapping[str, Any]

DELETED = 'DELETE'


def make_range(prefix: str) -> dict[str, Any]:
    """Name all keys under a prefix."""
    return {'key': _encode(prefix), 'range_end': _encode(_end_of(prefix))}


def make_transaction(
    compares: Sequence[Compare],
    changes: Sequence[Put | Delete],
) -> Document:
    """Ask for all changes if all comparisons hold."""
    return {
        'compare': [_make_compare(compare) for compare in compares],
        'success': [_make_change(change) for change in changes],
    }


def make_watch(prefix: str, after: Revision) -> Document:
    """Ask for all changes under a prefix past a revision."""
    request = make_range(prefix) | {'start_revision': str(after + 1)}
    return {'create_request': request}


def read_revision(document: Document) -> Revision:
    """Read the revision that an answer was given at."""
    return Revision(int(document['header']['revision']))


def read_listing(document: Document) -> Listing:
    """Read all pairs of a range."""
    pairs = [
        KeyValue(
            _decode(pair['key']).decode(),
            _decode(pair.get('value', '')),
            Revision(int(pair['mod_revision'])),
        )
        for pair in document.get('kvs', ())
    ]
    return Listing(read_revision(document), pairs)


def read_events(document: Document) -> Sequence[WatchEvent]:
    """Read the changes of one line of a watch."""
    return [_read_event(event) for event in document.get('events', ())]


def _read_event(event: Document) -> WatchEvent:
    pair = event['kv']
    is_deleted = event.get('type') == DELETED
    return WatchEvent(
        _decode(pair['key']).decode(),
        None if is_deleted else _decode(pair.get('value', '')),
        Revision(int(pair['mod_revision'])),
    )


def _make_compare(compare: Compare) -> Document:
    return {
        'key': _encode(compare.key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(compare.revision),
    }


def _make_change(change: Put | Delete) -> Document:
    if isinstance(change, Delete):
        return {'request_delete_range': {'key': _encode(change.key)}}
    put = {'key': _encode(change.key), 'value': _encode(change.value)}
    if change.lease is not None:
        put['lease'] = str(change.lease)
    return {'request_put': put}


def _end_of(prefix: str) -> bytes:
    # The first key after all that start with the prefix.
    encoded = prefix.encode()
    return encoded[:-1] + bytes((encoded[-1] + 1,))


def _encode(content: str | bytes) -> str:
    raw = content.encode() if isinstance(content, str) else content
    return b64encode(raw).decode()


def _decode(text: str) -> bytes:
    return b64decode(text)
