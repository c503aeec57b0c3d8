"""Serve the list of instances, the faults and the history over HTTP."""

from collections.abc import Callable, Mapping
from typing import Any

from msgspec.structs import replace
from aiohttp.web import (
    Application,
    HTTPBadRequest,
    HTTPServiceUnavailable,
    Request,
    Response,
    get,
    json_response,
    post,
)
from msgspec.json import encode

from sedgeshunt.exceptions import PlatformUnavailable
from sedgeshunt.ports import InstanceState, ListedInstance
from tests.standins.databases import Database
from tests.standins.engine import DatabaseGroup
from tests.standins.platform import InstanceListStandIn, MemoryInstanceList
from tests.standins.platform_front import GatewayFront

Fault = Mapping[str, Any]
GONE = 'gone'


class FaultFront:
    """Let a test from outside steer the stand-ins and see what ran."""

    def __init__(
        self,
        groups: Mapping[str, DatabaseGroup],
        gateway: GatewayFront,
        instances: InstanceListStandIn,
    ) -> None:
        """Steer all of the given stand-ins."""
        self._gateway = gateway
        self._groups = groups
        self._instances = instances

    def add_routes(self, application: Application) -> None:
        """Serve /instances, /fault and /history."""
        application.add_routes(
            [
                get('/instances', self._list_instances),
                get('/history', self._list_history),
                post('/fault', self._make_fault),
            ],
        )

    async def _list_instances(self, request: Request) -> Response:
        client = MemoryInstanceList(
            self._instances,
            self._gateway.find_place(request),
        )
        try:
            listed = await client.read_instances()
        except PlatformUnavailable as error:
            raise HTTPServiceUnavailable from error
        return json_response(
            [
                {
                    'name': instance.name,
                    'host': instance.address.host,
                    'port': instance.address.port,
                    'zone': instance.zone,
                    'state': instance.state.value,
                }
                for instance in listed
            ],
        )

    async def _list_history(self, request: Request) -> Response:
        events = [
            event for group in self._groups.values() for event in group.history
        ]
        return Response(body=encode(events), content_type='application/json')

    async def _make_fault(self, request: Request) -> Response:
        fault = await request.json()
        try:
            self._apply(fault)
        except (KeyError, TypeError, ValueError) as error:
            raise HTTPBadRequest(text=repr(error)) from error
        return json_response({'done': True})

    def _apply(self, fault: Fault) -> None:
        if 'platform' in fault:
            self._apply_to_platform(fault['platform'], fault)
        elif 'instance' in fault:
            self._change_instance(fault['instance'], fault['state'])
        else:
            _apply_to_database(self._find(fault['target']), fault)

    def _find(self, name: str) -> Database:
        for group in self._groups.values():
            if name in group.databases:
                return group[name]
        raise KeyError(name)

    def _apply_to_platform(self, action: str, fault: Fault) -> None:
        service = self._gateway.service
        actions: dict[str, Callable[[], None]] = {
            'outage': service.outage,
            'recover': service.recover,
            'slow': lambda: service.slow(fault['seconds']),
            'lose': lambda: service.lose_next_answers(fault['count']),
            'cut': lambda: service.cut(fault['zone']),
            'heal': lambda: service.heal(fault.get('zone')),
            'compact': service.store.compact,
            'list-outage': self._instances.outage,
            'list-recover': self._instances.recover,
        }
        actions[action]()

    def _change_instance(self, name: str, state: str) -> None:
        listed = {each.name: each for each in self._instances.list_newest()}
        known: ListedInstance = listed.pop(name)
        if state != GONE:
            listed[name] = replace(known, state=InstanceState(state))
        self._instances.publish(tuple(listed.values()))


def _apply_to_database(database: Database, fault: Fault) -> None:
    actions: dict[str, Callable[[], None]] = {
        'kill': database.kill,
        'restart': database.restart,
        'freeze': database.freeze,
        'thaw': database.thaw,
        'lag': lambda: database.set_lag(fault['seconds']),
        'slow': lambda: database.slow(fault['factor']),
        'cut': lambda: database.cut(fault['zone']),
        'heal': lambda: database.heal(fault.get('zone')),
    }
    actions[fault['action']]()
