"""Serve the key-value stand-in in the form of the etcd v3 JSON gateway."""

from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from json import dumps
from typing import Any

from aiohttp.web import (
    Application,
    Request,
    Response,
    StreamResponse,
    json_response,
    post,
)

from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.identifiers import Revision
from sedgeshunt.ports import WatchCompacted, WatchEvent
from tests.standins.gateway import (
    Document,
    convert_names,
    match_range,
    read_changes,
    read_compare,
    write_event,
    write_pair,
)
from tests.standins.keyvalues import LeaseNotFound
from tests.standins.network import Place
from tests.standins.platform import KeyValueStandIn

NOT_FOUND_CODE = 5
UNAVAILABLE_CODE = 14


class GatewayFront:
    """Answer the gateway's calls; the port tells the caller's zone."""

    def __init__(self, service: KeyValueStandIn) -> None:
        """Serve `service`."""
        self.service = service
        self._store = service.store
        # Zone of the callers, by the port that they call.
        self.zones: dict[int, str] = {}

    def add_routes(self, application: Application) -> None:
        """Serve under the gateway's paths."""
        calls = {
            '/v3/kv/range': ('list', self._list),
            '/v3/kv/txn': ('commit', self._commit),
            '/v3/lease/grant': ('grant', self._grant),
            '/v3/lease/keepalive': ('keep', self._keep),
            '/v3/lease/revoke': ('revoke', self._revoke),
        }
        for path, (name, action) in calls.items():
            handler = partial(self._answer, name, action)
            application.add_routes([post(path, handler)])
        application.add_routes([post('/v3/watch', self._watch)])

    def find_place(self, request: Request) -> Place:
        """Tell where a caller stands."""
        port = _find_transport(request).get_extra_info('sockname')[1]
        return Place('', self.zones.get(port, ''))

    async def _answer(
        self,
        name: str,
        action: Callable[[Document], Document],
        request: Request,
    ) -> Response:
        body = convert_names(await request.json())
        call = partial(action, body)
        place = self.find_place(request)
        try:
            answer = await self.service.answer(place, name, call)
        except LeaseNotFound as error:
            return _refuse(404, NOT_FOUND_CODE, error.reason)
        except PlatformUnavailable as error:
            return _refuse(503, UNAVAILABLE_CODE, error.reason)
        except AnswerLost:
            _find_transport(request).abort()
            return Response()
        return json_response(answer)

    def _list(self, body: Document) -> Document:
        listing = self._store.list_matching(match_range(body))
        return {
            'header': self._write_header(),
            'kvs': [write_pair(pair) for pair in listing.pairs],
            'count': str(len(listing.pairs)),
        }

    def _commit(self, body: Document) -> Document:
        compares = [read_compare(each) for each in body.get('compare', [])]
        wanted = body.get('success', [])
        outcome = self._store.commit(compares, read_changes(wanted))
        answer: Document = {'succeeded': True}
        if not outcome.succeeded:
            wanted = body.get('failure', [])
            self._store.commit([], read_changes(wanted))
            # Like the gateway: what has its default value is left out.
            answer = {}
        return answer | {
            'header': self._write_header(),
            'responses': [self._respond(operation) for operation in wanted],
        }

    def _respond(self, operation: Document) -> Document:
        if 'request_range' in operation:
            return {'response_range': self._list(operation['request_range'])}
        name = 'put' if 'request_put' in operation else 'delete_range'
        return {f'response_{name}': {'header': self._write_header()}}

    def _grant(self, body: Document) -> Document:
        lease = self._store.grant_lease(float(body['TTL']))
        return self._write_lease(lease, body['TTL'])

    def _keep(self, body: Document) -> Document:
        ttl = self._store.keep_lease(int(body['ID']))
        return {'result': self._write_lease(body['ID'], int(ttl))}

    def _revoke(self, body: Document) -> Document:
        if not self._store.revoke_lease(int(body['ID'])):
            raise LeaseNotFound('requested lease not found')
        return {'header': self._write_header()}

    async def _watch(self, request: Request) -> StreamResponse:
        body = convert_names(await request.json())['create_request']
        start = int(body.get('start_revision', self._store.revision + 1))
        events = self.service.watch(
            self.find_place(request),
            match_range(body),
            Revision(start - 1),
        )
        stream = StreamResponse()
        await stream.prepare(request)
        send = partial(_send_line, stream, self._write_header)
        await send({'created': True})
        try:
            await _send_events(events, send)
        except WatchCompacted:
            revision = str(self._store.compacted)
            await send({'canceled': True, 'compact_revision': revision})
        except PlatformUnavailable:
            _find_transport(request).abort()
        return stream

    def _write_header(self) -> Document:
        return {'revision': str(self._store.revision)}

    def _write_lease(self, lease: int, ttl: int) -> Document:
        left = {'TTL': str(ttl)} if ttl else {}
        return {'header': self._write_header(), 'ID': str(lease)} | left


async def _send_events(
    batches: AsyncIterator[list[WatchEvent]],
    send: Callable[[Document], Awaitable[None]],
) -> None:
    async for batch in batches:
        await send({'events': [write_event(event) for event in batch]})


async def _send_line(
    stream: StreamResponse,
    write_header: Callable[[], Document],
    document: Document,
) -> None:
    line = dumps({'result': {'header': write_header()} | document})
    await stream.write(f'{line}\n'.encode())


def _find_transport(request: Request) -> Any:
    if request.transport is None:
        raise ConnectionResetError
    return request.transport


def _refuse(status: int, code: int, reason: str) -> Response:
    return json_response({'code': code, 'message': reason}, status=status)
