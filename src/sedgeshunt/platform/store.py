"""Access the platform's metadata store over HTTP."""

from base64 import b64decode, b64encode
from collections.abc import AsyncIterator, Sequence
from random import uniform
from typing import Annotated, Any, NoReturn, TypeVar
from urllib.parse import urlencode

from msgspec import Meta, Struct

from sedgeshunt.adapters.json_client import (
    CallFailed,
    JsonClient,
    JsonReply,
    ServiceAway,
)
from sedgeshunt.decoding import Undecodable, convert_document
from sedgeshunt.exceptions import (
    AnswerLost,
    LeaseLapsed,
    PlatformUnavailable,
)
from sedgeshunt.identifiers import Era, Revision, Seconds
from sedgeshunt.ports import (
    FIRST_ERA,
    Address,
    CommitResult,
    Compare,
    Delete,
    GrantedLease,
    KeyValue,
    KeyValueService,
    Listing,
    Put,
    WatchCompacted,
    WatchEvent,
)
from sedgeshunt.revisions import COUNT_MASK, make_revision, read_count

# The store usually answers in 4 ms, and in 350 ms when it is slowest.
CALL_TIMEOUT = Seconds(0.8)
LIST_TIMEOUT = Seconds(2)
# Each poll of a watch costs one call, hence the long wait. TCP keepalive
# detects a broken connection much earlier.
WATCH_WAIT = Seconds(20)
# Lower bound of the random factor that spreads the polls of all proxies.
MIN_WAIT_SHARE = 0.7
# Time beyond the wait in which the answer must arrive.
WATCH_MARGIN = Seconds(2)

OK = 200
NOT_FOUND = 404
GONE = 410
CONFLICT = 412
MILLISECONDS = 1000
STALE = '1'
ERA_HEADER = 'store-era'
MAX_ERA_DIGITS = 6


# Counts of changes leave room for the era beside them.
_Count = Annotated[int, Meta(ge=0, le=COUNT_MASK)]


class _Item(Struct):
    key: str
    revision: _Count
    value: str | None = None
    created: _Count = 0
    deleted: bool = False


class _Page(Struct):
    items: list[_Item]
    has_more: bool
    at_revision: _Count


class _Events(Struct):
    events: list[_Item]
    at_revision: _Count


class _Conflict(Struct):
    items: list[_Item]


class _Commit(Struct):
    revision: _Count


class _Lease(Struct):
    lease_id: int
    ttl_ms: Annotated[int, Meta(ge=0)]


_Document = TypeVar('_Document', bound=Struct)


class MetadataStore(KeyValueService):
    """Read, write and watch items of the store, and manage its leases."""

    def __init__(self, address: Address) -> None:
        """Set the address; the first call opens the connection."""
        self._client = JsonClient([address], keeps_connections=True)
        self._era = FIRST_ERA

    @property
    def era(self) -> Era:
        """Return the newest era that an answer contained."""
        return self._era

    def move(self, address: Address) -> None:
        """Use another address from the next call on."""
        self._client.move(address)

    async def list_prefix(
        self,
        prefix: str,
        *,
        may_be_old: bool = False,
    ) -> Listing:
        """Read all pairs under `prefix`; raise PlatformUnavailable.

        A stale read (`may_be_old`) costs a tenth of a normal one, and doesn't
        count against the rate limit that all proxies share.
        """
        query = {'prefix': prefix}
        if may_be_old:
            query['is_stale'] = STALE
        pages = [page async for page in self._read_pages(query)]
        # The pages aren't one snapshot. A watch from the oldest revision
        # includes the changes made between the pages.
        return Listing(
            min(page.revision for page in pages),
            [pair for page in pages for pair in page.pairs],
        )

    async def commit(
        self,
        compares: Sequence[Compare],
        changes: Sequence[Put | Delete],
    ) -> CommitResult:
        """Apply all changes or none.

        Raise PlatformUnavailable, LeaseLapsed, or AnswerLost if the changes
        may have been applied.
        """
        body = {
            'expected': [
                {'key': one.key, 'revision': read_count(one.revision)}
                for one in compares
            ],
            'write': [
                _make_put(one) for one in changes if isinstance(one, Put)
            ],
            'remove': [one.key for one in changes if isinstance(one, Delete)],
        }
        try:
            reply = await self._exchange('POST', '/kv-txn', body)
        except ServiceAway as away:
            raise PlatformUnavailable(str(away)) from away
        except CallFailed as failure:
            # The store may have applied it, or may apply it seconds later.
            raise AnswerLost(changes[0].key) from failure
        try:
            return _read_commit(reply)
        except Undecodable as failure:
            raise AnswerLost(changes[0].key) from failure

    async def watch(
        self,
        prefix: str,
        after: Revision,
    ) -> AsyncIterator[Sequence[WatchEvent]]:
        """Yield changes past `after` until PlatformUnavailable is raised.

        Raise WatchCompacted if the changes past `after` were discarded.
        """
        seen = after
        while True:
            wait = Seconds(WATCH_WAIT * uniform(MIN_WAIT_SHARE, 1))
            query = {
                'prefix': prefix,
                'after': read_count(seen),
                'wait_timeout_ms': int(wait * MILLISECONDS),
            }
            reply = await self._read(
                '/kv-watch', query, Seconds(wait + WATCH_MARGIN)
            )
            listed = _read_document(reply, _Events)
            seen = max(seen, _make_revision(reply, listed.at_revision))
            yield [_make_event(event, reply) for event in listed.events]

    async def grant_lease(self, ttl: Seconds) -> GrantedLease:
        """Create a lease; raise PlatformUnavailable."""
        body = {'ttl_ms': int(ttl * MILLISECONDS)}
        reply = await self._call('POST', '/kv-lease', body)
        _check_status(reply)
        granted = _read_document(reply, _Lease)
        ttl = Seconds(granted.ttl_ms / MILLISECONDS)
        return GrantedLease(granted.lease_id, ttl)

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        reply = await self._call('POST', f'/kv-keep/{lease}')
        if reply.status == NOT_FOUND:
            return False
        _check_status(reply)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys bound to it."""
        reply = await self._call('DELETE', f'/kv-lease-end/{lease}')
        if reply.status != NOT_FOUND:
            _check_status(reply)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _read_pages(
        self,
        query: dict[str, Any],
    ) -> AsyncIterator[Listing]:
        has_more = True
        while has_more:
            reply = await self._read('/kv-range', query, LIST_TIMEOUT)
            document = _read_document(reply, _Page)
            pairs = [_make_pair(item, reply) for item in document.items]
            yield Listing(_make_revision(reply, document.at_revision), pairs)
            has_more = document.has_more and bool(pairs)
            if has_more:
                query['after'] = pairs[-1].key

    async def _read(
        self,
        path: str,
        query: dict[str, Any],
        limit: Seconds,
    ) -> JsonReply:
        reply = await self._call(
            'GET', f'{path}?{urlencode(query)}', None, limit
        )
        if reply.status == GONE:
            raise WatchCompacted
        _check_status(reply)
        return reply

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        limit: Seconds = CALL_TIMEOUT,
    ) -> JsonReply:
        try:
            return await self._exchange(method, path, body, limit)
        except CallFailed as failure:
            raise PlatformUnavailable(str(failure)) from failure

    async def _exchange(
        self,
        method: str,
        path: str,
        body: Any,
        limit: Seconds = CALL_TIMEOUT,
    ) -> JsonReply:
        reply = await self._client.exchange(method, path, body, limit=limit)
        self._era = max(self._era, _read_era(reply))
        return reply


def _read_era(reply: JsonReply) -> Era:
    text = reply.headers.get(ERA_HEADER, '')
    is_valid = text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    return Era(int(text)) if is_valid else FIRST_ERA


def _read_document(reply: JsonReply, kind: type[_Document]) -> _Document:
    try:
        return convert_document(reply.document, kind)
    except Undecodable as failure:
        raise PlatformUnavailable(failure.reason) from failure


def _make_revision(reply: JsonReply, count: int) -> Revision:
    return make_revision(_read_era(reply), count)


def _check_status(reply: JsonReply) -> None:
    if reply.status != OK:
        _raise_unavailable(reply)


def _raise_unavailable(reply: JsonReply) -> NoReturn:
    raise PlatformUnavailable(f'status {reply.status}')


def _read_commit(reply: JsonReply) -> CommitResult:
    if reply.status == NOT_FOUND:
        raise LeaseLapsed
    if reply.status == CONFLICT:
        items = _read_document(reply, _Conflict).items
        current = [_make_pair(item, reply) for item in items if item.revision]
        return CommitResult(False, Revision(0), current)
    _check_status(reply)
    committed = convert_document(reply.document, _Commit)
    return CommitResult(True, _make_revision(reply, committed.revision))


def _make_put(put: Put) -> dict[str, Any]:
    return {
        'key': put.key,
        'value': b64encode(put.value).decode(),
        'lease_id': put.lease or 0,
    }


def _make_pair(item: _Item, reply: JsonReply) -> KeyValue:
    return KeyValue(
        item.key,
        _read_value(item),
        _make_revision(reply, item.revision),
        _make_revision(reply, item.created),
    )


def _make_event(item: _Item, reply: JsonReply) -> WatchEvent:
    return WatchEvent(
        item.key,
        None if item.deleted else _read_value(item),
        _make_revision(reply, item.revision),
        _make_revision(reply, item.created),
    )


def _read_value(item: _Item) -> bytes:
    try:
        return b64decode(item.value or '')
    except ValueError as failure:
        reason = f'the value of {item.key} is not base64: {failure}'
        raise PlatformUnavailable(reason) from failure
