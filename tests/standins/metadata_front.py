"""Serve the key-value test double over the platform's HTTP protocol."""

from asyncio import sleep, timeout
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from aiohttp.web import (
    Application,
    Request,
    Response,
    delete,
    get,
    json_response,
    post,
)

from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.groups.orders import PromotionAnswer, PromotionOrder
from sedgeshunt.identifiers import (
    GroupId,
    OwnerToken,
    ProxyId,
    Revision,
    Seconds,
    TargetId,
)
from sedgeshunt.ports import (
    Compare,
    Delete,
    KeyValue,
    Put,
    WatchCompacted,
    WatchEvent,
)
from tests.standins.keyvalues import LeaseNotFound
from tests.standins.network import Place
from tests.standins.platform import KeyValueStandIn
from tests.standins.statement_group import StatementGroup

# Items per page; fewer than on the platform, so that listings take several.
PAGE_SIZE = 3
ANY_PLACE = Place('', '')
ORDER_TIMEOUT = Seconds(1)
MILLISECONDS = 1000
POLL_INTERVAL = 0.05

Handler = Callable[[Request], Awaitable[Response]]


class MetadataFront:
    """Serve the store and the promotion service to proxies."""

    def __init__(self, service: KeyValueStandIn, group: StatementGroup) -> None:
        """Serve `service`; promote targets of `group`."""
        self.service = service
        self.group = group
        # If set, the status of every response.
        self.refusal: int | None = None
        # If set, the body of every response.
        self.body: str | None = None
        # Whether each response is the last one on its connection.
        self.ends_connections = False
        # While true, no call is answered.
        self.is_silent = False
        self.calls = 0

    def make_application(self) -> Application:
        """Return an HTTP application with all routes."""
        application = Application()
        routes = (
            get('/kv-range', partial(self._serve, self._list)),
            get('/kv-watch', partial(self._serve, self._watch)),
            post('/kv-txn', partial(self._serve, self._commit)),
            post('/kv-lease', partial(self._serve, self._grant)),
            post('/kv-keep/{lease}', partial(self._serve, self._keep)),
            delete('/kv-lease-end/{lease}', partial(self._serve, self._end)),
            post('/promote', partial(self._serve, self._promote)),
        )
        application.add_routes(routes)
        return application

    async def _serve(self, handle: Handler, request: Request) -> Response:
        self.calls += 1
        if self.is_silent:
            await self._wait_silent()
        if self.refusal is not None:
            return Response(status=self.refusal, text='no')
        response = await self._handle(handle, request)
        if self.body is not None:
            response = Response(text=self.body)
        if self.ends_connections:
            response.force_close()
        response.headers['Store-Era'] = str(self.service.store.era)
        return response

    async def _handle(self, handle: Handler, request: Request) -> Response:
        try:
            return await handle(request)
        except LeaseNotFound:
            return Response(status=404)
        except WatchCompacted:
            return Response(status=410)
        except (PlatformUnavailable, AnswerLost):
            return Response(status=503)

    async def _wait_silent(self) -> None:
        while self.is_silent:
            await sleep(POLL_INTERVAL)

    async def _list(self, request: Request) -> Response:
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        listing = self.service.store.list_matching(_match(prefix))
        pairs = [pair for pair in listing.pairs if pair.key > after]
        return json_response(
            {
                'items': [_write_pair(pair) for pair in pairs[:PAGE_SIZE]],
                'has_more': len(pairs) > PAGE_SIZE,
                'at_revision': listing.revision,
            },
        )

    async def _watch(self, request: Request) -> Response:
        store = self.service.store
        matches = _match(request.query['prefix'])
        after = Revision(int(request.query['after']))
        wait = int(request.query['wait_timeout_ms']) / MILLISECONDS
        events = store.list_events(after, matches)
        try:
            async with timeout(wait):
                while not events:
                    await store.changed.wait()
                    events = store.list_events(after, matches)
        except TimeoutError:
            events = []
        return json_response(
            {
                'events': [_write_event(event) for event in events],
                'at_revision': store.revision,
            },
        )

    async def _commit(self, request: Request) -> Response:
        body = await request.json()
        compares = [
            Compare(one['key'], Revision(one['revision']))
            for one in body['expected']
        ]
        puts = [_read_put(one) for one in body['write']]
        removed = [Delete(key) for key in body['remove']]
        changes: list[Put | Delete] = [*puts, *removed]
        result = await self.service.answer(
            ANY_PLACE,
            'commit',
            lambda: self.service.store.commit(compares, changes),
        )
        if result.succeeded:
            return json_response({'revision': result.revision})
        current = [self._describe(one.key) for one in compares]
        return json_response({'items': current}, status=412)

    async def _grant(self, request: Request) -> Response:
        body = await request.json()
        ttl = body['ttl_ms'] / MILLISECONDS
        lease = self.service.store.grant_lease(ttl)
        return json_response({'lease_id': lease, 'ttl_ms': body['ttl_ms']})

    async def _keep(self, request: Request) -> Response:
        kept = self.service.store.keep_lease(int(request.match_info['lease']))
        return Response(status=200 if kept else 404)

    async def _end(self, request: Request) -> Response:
        ended = self.service.store.revoke_lease(
            int(request.match_info['lease']),
        )
        return Response(status=200 if ended else 404)

    async def _promote(self, request: Request) -> Response:
        body = await request.json()
        order = PromotionOrder(
            GroupId(body['service']),
            TargetId(body['id']),
            ProxyId(request.headers['X-Lease-Holder']),
            OwnerToken(int(request.headers['X-Fencing-Token'])),
        )
        answer = await self.group.order(order, ORDER_TIMEOUT)
        is_accepted = answer is PromotionAnswer.ACCEPTED
        return Response(status=200 if is_accepted else 409)

    def _describe(self, key: str) -> dict[str, Any]:
        pairs = self.service.store.list_matching(key.__eq__).pairs
        return _write_pair(pairs[0]) if pairs else {'key': key, 'revision': 0}


def _match(prefix: str) -> Callable[[str], bool]:
    return lambda key: key.startswith(prefix)


def _read_put(row: dict[str, Any]) -> Put:
    return Put(row['key'], b64decode(row['value']), row['lease_id'] or None)


def _write_pair(pair: KeyValue) -> dict[str, Any]:
    return {
        'key': pair.key,
        'value': b64encode(pair.value).decode(),
        'revision': pair.revision,
        'lease_id': 0,
    }


def _write_event(event: WatchEvent) -> dict[str, Any]:
    if event.value is None:
        return {'key': event.key, 'revision': event.revision, 'deleted': True}
    return {
        'key': event.key,
        'value': b64encode(event.value).decode(),
        'revision': event.revision,
    }
