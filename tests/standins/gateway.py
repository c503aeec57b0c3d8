"""Read and write the documents of the etcd v3 JSON gateway."""

from base64 import b64decode, b64encode
from re import compile as compile_pattern
from typing import Any

from sedgeshunt.identifiers import Revision
from sedgeshunt.ports import Compare, Delete, KeyValue, Put, WatchEvent
from tests.standins.keyvalues import Matcher

# JSON as the gateway reads and writes it.
Document = dict[str, Any]
CAPITAL = compile_pattern('([A-Z])')
EVERYTHING_AFTER = '\0'


def convert_names(document: Any) -> Any:
    """Turn names such as requestPut, which are accepted, to request_put."""
    if isinstance(document, list):
        return [convert_names(part) for part in document]
    if not isinstance(document, dict):
        return document
    return {
        _convert_name(name): convert_names(part)
        for name, part in document.items()
    }


def _convert_name(name: str) -> str:
    if name.isupper():
        return name
    return CAPITAL.sub(lambda capital: f'_{capital[1].lower()}', name)


def _decode(text: str) -> str:
    return b64decode(text).decode()


def _encode(content: str | bytes) -> str:
    raw = content.encode() if isinstance(content, str) else content
    return b64encode(raw).decode()


def match_range(body: Document) -> Matcher:
    """Return a test of keys for a range as the gateway names it."""
    first = _decode(body['key'])
    end = _decode(body.get('range_end', ''))
    if not end:
        return lambda key: key == first
    if end == EVERYTHING_AFTER:
        return lambda key: key >= first
    return lambda key: first <= key < end


def read_compare(body: Document) -> Compare:
    """Read one comparison."""
    # A key that was never created has 0 in all three.
    names = ('mod_revision', 'create_revision', 'version')
    given = [body[name] for name in names if name in body]
    revision = Revision(int(given[0])) if given else Revision(0)
    return Compare(_decode(body['key']), revision)


def read_changes(operations: list[Document]) -> list[Put | Delete]:
    """Read the puts and deletes among the operations."""
    changes: list[Put | Delete] = []
    for operation in operations:
        if 'request_put' in operation:
            put = operation['request_put']
            key = _decode(put['key'])
            content = b64decode(put.get('value', ''))
            lease = int(put.get('lease', 0)) or None
            changes.append(Put(key, content, lease))
        if 'request_delete_range' in operation:
            key = _decode(operation['request_delete_range']['key'])
            changes.append(Delete(key))
    return changes


def write_pair(pair: KeyValue | WatchEvent) -> Document:
    """Write a pair as the gateway does."""
    content = {} if pair.value is None else {'value': _encode(pair.value)}
    return {
        'key': _encode(pair.key),
        'mod_revision': str(pair.revision),
    } | content


def write_event(event: WatchEvent) -> Document:
    """Write an event as the gateway does."""
    kind = {'type': 'DELETE'} if event.value is None else {}
    return kind | {'kv': write_pair(event)}
