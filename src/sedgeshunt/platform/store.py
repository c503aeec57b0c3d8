"""Reach the platform's metadata store."""

from base64 import b64decode, b64encode
from collections.abc import AsyncIterator, Sequence
from random import uniform
from typing import Any, NoReturn
from urllib.parse import urlencode

from sedgeshunt.adapters.json_client import (
    CallFailed,
    JsonClient,
    JsonReply,
    ServiceAway,
)
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
    KeyValue,
    KeyValueService,
    Listing,
    Put,
    WatchCompacted,
    WatchEvent,
)
from sedgeshunt.revisions import make_revision, read_count

# An answer takes 4 ms, 350 ms where the store is at its slowest.
CALL_TIMEOUT = Seconds(0.8)
LIST_TIMEOUT = Seconds(2)
# A waiting watch costs a call each time it is armed; a connection that went
# silent shows by the kernel's probes long before.
WATCH_WAIT = Seconds(20)
SHORTEST_SHARE = 0.7
WATCH_SLACK = Seconds(2)

OK = 200
NOT_FOUND = 404
GONE = 410
CONFLICT = 412
MILLISECONDS = 1000
STALE = '1'
ERA_HEADER = 'store-era'


class MetadataStore(KeyValueService):
    """Speak the store's protocol of items, leases and watches."""

    def __init__(self, address: Address) -> None:
        """Connect at the first call."""
        self._client = JsonClient([address], keeps_connections=True)
        self._era = FIRST_ERA

    @property
    def era(self) -> Era:
        """Return the newest era that an answer has told."""
        return self._era

    def move(self, address: Address) -> None:
        """Call another address from the next call on."""
        self._client.move(address)

    async def list_prefix(
        self,
        prefix: str,
        *,
        may_be_old: bool = False,
    ) -> Listing:
        """Read all pairs under `prefix`; raise PlatformUnavailable.

        A state that `may_be_old` is charged at a tenth, and not against the
        rate that all proxies share.
        """
        asked = {'prefix': prefix}
        if may_be_old:
            asked['is_stale'] = STALE
        pages = [page async for page in self._read_pages(asked)]
        # The pages are no snapshot: who follows the changes after the oldest
        # one hears of what changed between them.
        return Listing(
            min(page.revision for page in pages),
            [pair for page in pages for pair in page.pairs],
        )

    async def commit(
        self,
        compares: Sequence[Compare],
        changes: Sequence[Put | Delete],
    ) -> CommitResult:
        """Apply all or nothing; raise PlatformUnavailable or AnswerLost."""
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
            # It may have been done, or be done seconds later.
            raise AnswerLost(changes[0].key) from failure
        return _read_commit(reply)

    async def watch(
        self,
        prefix: str,
        after: Revision,
    ) -> AsyncIterator[Sequence[WatchEvent]]:
        """Yield changes past `after`; raise PlatformUnavailable at its end.

        Raise WatchCompacted when `after` is no longer kept.
        """
        seen = after
        while True:
            wait = Seconds(WATCH_WAIT * uniform(SHORTEST_SHARE, 1))
            asked = {
                'prefix': prefix,
                'after': read_count(seen),
                'wait_timeout_ms': int(wait * MILLISECONDS),
            }
            limit = Seconds(wait + WATCH_SLACK)
            reply = await self._read('/kv-watch', asked, limit)
            seen = max(seen, _read_revision(reply, 'at_revision'))
            yield [
                _read_event(event, reply) for event in reply.document['events']
            ]

    async def grant_lease(self, ttl: Seconds) -> int:
        """Return a new lease's id; raise PlatformUnavailable."""
        body = {'ttl_ms': int(ttl * MILLISECONDS)}
        reply = await self._call('POST', '/kv-lease', body)
        _check(reply)
        return int(reply.document['lease_id'])

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; tell False when it has lapsed."""
        reply = await self._call('POST', f'/kv-keep/{lease}')
        if reply.status == NOT_FOUND:
            return False
        _check(reply)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        reply = await self._call('DELETE', f'/kv-lease-end/{lease}')
        if reply.status != NOT_FOUND:
            _check(reply)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _read_pages(
        self,
        asked: dict[str, Any],
    ) -> AsyncIterator[Listing]:
        has_more = True
        while has_more:
            reply = await self._read('/kv-range', asked, LIST_TIMEOUT)
            items = reply.document['items']
            pairs = [_read_item(item, reply) for item in items]
            yield Listing(_read_revision(reply, 'at_revision'), pairs)
            has_more = bool(reply.document['has_more'] and pairs)
            if has_more:
                asked['after'] = pairs[-1].key

    async def _read(
        self,
        path: str,
        asked: dict[str, Any],
        limit: Seconds,
    ) -> JsonReply:
        reply = await self._call(
            'GET', f'{path}?{urlencode(asked)}', None, limit
        )
        if reply.status == GONE:
            raise WatchCompacted
        _check(reply)
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
    told = reply.headers.get(ERA_HEADER, '')
    return Era(int(told)) if told.isdecimal() else FIRST_ERA


def _read_revision(reply: JsonReply, name: str) -> Revision:
    return make_revision(_read_era(reply), reply.document[name])


def _check(reply: JsonReply) -> None:
    if reply.status != OK:
        _refuse(reply)


def _refuse(reply: JsonReply) -> NoReturn:
    raise PlatformUnavailable(f'status {reply.status}')


def _read_commit(reply: JsonReply) -> CommitResult:
    if reply.status == NOT_FOUND:
        raise LeaseLapsed
    if reply.status == CONFLICT:
        items = reply.document['items']
        current = [
            _read_item(item, reply) for item in items if item.get('revision')
        ]
        return CommitResult(False, Revision(0), current)
    _check(reply)
    return CommitResult(True, _read_revision(reply, 'revision'))


def _make_put(put: Put) -> dict[str, Any]:
    return {
        'key': put.key,
        'value': b64encode(put.value).decode(),
        'lease_id': put.lease or 0,
    }


def _read_item(item: dict[str, Any], reply: JsonReply) -> KeyValue:
    era = _read_era(reply)
    return KeyValue(
        item['key'],
        b64decode(item.get('value') or ''),
        make_revision(era, item['revision']),
        make_revision(era, item.get('created', 0)),
    )


def _read_event(event: dict[str, Any], reply: JsonReply) -> WatchEvent:
    era = _read_era(reply)
    is_gone = bool(event.get('deleted'))
    return WatchEvent(
        event['key'],
        None if is_gone else b64decode(event['value']),
        make_revision(era, event['revision']),
        make_revision(era, event.get('created', 0)),
    )
