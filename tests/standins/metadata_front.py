"""Serve the key-value test double over the platform's HTTP protocol."""

from asyncio import Task, create_task, sleep, timeout
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from http import HTTPStatus
from typing import Any

from aiohttp.web import (
    AppKey,
    Application,
    HTTPServiceUnavailable,
    HTTPTooManyRequests,
    Request,
    Response,
    delete,
    get,
    json_response,
    post,
)

from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.groups.orders import PromotionOrder
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
from sedgeshunt.registry.keys import OWNERS_PREFIX
from tests.standins.keyvalues import LeaseNotFound
from tests.standins.network import Place
from tests.standins.platform import KeyValueStandIn
from tests.standins.statement_group import StatementGroup
from tests.standins.store_callers import StoreCaller

# Items per page; fewer than on the platform, so that listings take several.
PAGE_SIZE = 3
ANY_PLACE = Place('', '')
ORDER_TIMEOUT = Seconds(1)
MILLISECONDS = 1000
POLL_INTERVAL = 0.05
SHORT_INTERVAL = 0.005

Handler = Callable[[Request], Awaitable[Response]]
# The store and the promotion service are refused apart from each other.
PROMOTION_PATH = '/promote'
WATCH_PATH = '/kv-watch'
CALLER = AppKey('caller', StoreCaller)


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
        # Calls that are executed after their callers were refused an answer.
        self._late: set[Task[Response]] = set()

    def make_application(
        self, caller: StoreCaller | None = None
    ) -> Application:
        """Return an HTTP application with all routes, for one caller."""
        application = Application()
        application[CALLER] = caller or StoreCaller()
        routes = (
            get('/kv-range', partial(self._serve, self._list)),
            get(WATCH_PATH, partial(self._serve, self._watch)),
            post('/kv-txn', partial(self._serve, self._commit)),
            post('/kv-lease', partial(self._serve, self._grant)),
            post('/kv-keep/{lease}', partial(self._serve, self._keep)),
            delete('/kv-lease-end/{lease}', partial(self._serve, self._end)),
            post(PROMOTION_PATH, partial(self._serve, self._promote)),
        )
        application.add_routes(routes)
        return application

    async def _serve(self, handle: Handler, request: Request) -> Response:
        self.calls += 1
        if self.is_silent:
            await self._wait_silent()
        if self.refusal is not None:
            return Response(status=self.refusal, text='no')
        if request.path == PROMOTION_PATH:
            response = await self._handle(handle, request)
        else:
            response = await self._serve_caller(handle, request)
        if self.body is not None:
            response = Response(text=self.body)
        if self.ends_connections:
            response.force_close()
        response.headers['Store-Era'] = str(self.service.store.era)
        return response

    async def _serve_caller(
        self, handle: Handler, request: Request
    ) -> Response:
        caller = request.app[CALLER]
        if caller.is_silent:
            await _wait_given_up(request)
        if caller.is_reset and request.transport is not None:
            request.transport.abort()
        if caller.refusal is not None:
            return Response(status=caller.refusal, text='no')
        drawn = caller.random.random()
        if drawn < caller.late_share:
            await request.read()
            self._start_late(handle, request, caller.late_by)
            await _wait_given_up(request)
        response = await self._handle(handle, request)
        # A watch that waits is cut when the store begins to refuse its caller.
        if request.path == WATCH_PATH and caller.is_refused:
            raise HTTPServiceUnavailable
        if 1 - drawn < caller.lost_share:
            await _wait_given_up(request)
        await sleep(caller.draw_delay())
        return response

    def _start_late(
        self, handle: Handler, request: Request, pause: float
    ) -> None:
        task = create_task(self._handle_late(handle, request, pause))
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _handle_late(
        self, handle: Handler, request: Request, pause: float
    ) -> Response:
        await sleep(pause)
        return await self._handle(handle, request)

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
                'items': [
                    _write_pair(pair, request.app[CALLER])
                    for pair in pairs[:PAGE_SIZE]
                ],
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
                'events': [
                    _write_event(event, request.app[CALLER]) for event in events
                ],
                'at_revision': store.revision,
            },
        )

    async def _commit(self, request: Request) -> Response:
        body = await request.json()
        compares = [
            Compare(one['key'], Revision(one['revision']))
            for one in body['expected']
        ]
        caller = request.app[CALLER]
        puts = [_read_put(one, caller) for one in body['write']]
        removed = [Delete(key) for key in body['remove']]
        changes: list[Put | Delete] = [*puts, *removed]
        result = await self.service.answer(
            ANY_PLACE,
            'commit',
            lambda: self.service.store.commit(compares, changes),
        )
        while caller.holds_claims and _is_claim(puts):
            await sleep(SHORT_INTERVAL)
        if result.succeeded:
            return json_response({'revision': result.revision})
        current = [self._describe(one.key, caller) for one in compares]
        return json_response({'items': current}, status=412)

    async def _grant(self, request: Request) -> Response:
        body = await request.json()
        ttl = body['ttl_ms'] / MILLISECONDS
        lease = self.service.store.grant_lease(ttl)
        return json_response({'lease_id': lease, 'ttl_ms': body['ttl_ms']})

    async def _keep(self, request: Request) -> Response:
        if request.app[CALLER].refuses_renewals:
            raise HTTPTooManyRequests
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
        try:
            async with timeout(ORDER_TIMEOUT):
                status = await self.group.accept(order)
        except TimeoutError:
            status = HTTPStatus.GATEWAY_TIMEOUT
        return Response(status=status)

    def _describe(self, key: str, caller: StoreCaller) -> dict[str, Any]:
        pairs = self.service.store.list_matching(key.__eq__).pairs
        if not pairs:
            return {'key': key, 'revision': 0}
        return _write_pair(pairs[0], caller)


def _match(prefix: str) -> Callable[[str], bool]:
    return lambda key: key.startswith(prefix)


def _read_put(row: dict[str, Any], caller: StoreCaller) -> Put:
    content = caller.restore(b64decode(row['value']))
    return Put(row['key'], content, row['lease_id'] or None)


def _is_claim(puts: Iterable[Put]) -> bool:
    return any(put.key.startswith(OWNERS_PREFIX) for put in puts)


def _write_pair(pair: KeyValue, caller: StoreCaller) -> dict[str, Any]:
    content = caller.translate(pair.key, pair.value)
    return {
        'key': pair.key,
        'value': b64encode(content).decode(),
        'revision': pair.revision,
        'lease_id': 0,
    }


def _write_event(event: WatchEvent, caller: StoreCaller) -> dict[str, Any]:
    if event.value is None:
        return {'key': event.key, 'revision': event.revision, 'deleted': True}
    content = caller.translate(event.key, event.value)
    return {
        'key': event.key,
        'value': b64encode(content).decode(),
        'revision': event.revision,
    }


async def _wait_given_up(request: Request) -> None:
    """Wait until the caller has closed the connection."""
    while request.transport is not None and not request.transport.is_closing():
        await sleep(POLL_INTERVAL)
    raise HTTPServiceUnavailable
