"""Write the files of a run whose sizes are chosen."""

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.documents import ZONES

SLOTS = 32
CONNECTIONS = 64
SCENARIO = """latency = 0.0
platform = {{ zone-a = 0 }}
instances = [{instances}]
"""
GROUP = """[[groups]]
name = '{group}'
leader = '{group}-db1'
slots = {slots}
connection_limit = {connections}
service_time = 0.0
schema = ['CREATE TABLE turns (id INTEGER PRIMARY KEY, ref TEXT)']
databases = [{databases}]
"""
OBJECTS = """[[proxy]]
name = 'entry-1'
zone = 'zone-a'
host = '127.0.0.1'
peer_port = {peer}
[[route]]
name = 'default'
traffic_class = 'default'
"""
GROUP_OBJECT = """[[group]]
name = '{group}'
slots = {slots}
connection_limit = {connections}
seats = 1
"""
TARGET = """[[target]]
name = '{name}'
group = '{group}'
host = '127.0.0.1'
port = {port}
zone = '{zone}'
"""
SETTINGS = """name = 'entry-1'
zone = 'zone-a'
callers = {{ host = '127.0.0.1', port = {callers} }}
[peers]
host = '127.0.0.1'
port = {peer}
seeds = [{seeds}]
[platform]
endpoints = [{{ host = '127.0.0.1', port = {platform} }}]
instance_list = {{ host = '127.0.0.1', port = {platform} }}
[[session_keys]]
id = 'bench'
secret = 'a-secret-for-benchmarks-only'
"""


@dataclass(frozen=True, slots=True)
class Plan:
    """Choose the sizes of one run."""

    groups: int = 1
    # Lines of the platform's list of instances.
    lines: int = 0
    # Ports of the other proxies.
    peers: Sequence[int] = ()

    def list_groups(self) -> list[str]:
        """Name the groups."""
        return [f'lease-{number + 1}' for number in range(self.groups)]


def write_scenario(plan: Plan) -> str:
    """Describe the stand-ins."""
    lines = ', '.join(
        f"{{ name = 'kg-nyarugenge-entry-{number:04}', host = '10.20.30.40',"
        f" port = 3306, zone = 'kg-nyarugenge' }}"
        for number in range(plan.lines)
    )
    groups = [
        GROUP.format(
            group=group,
            slots=SLOTS,
            connections=CONNECTIONS,
            databases=', '.join(
                f"{{ name = '{group}-db{number}', zone = '{zone}' }}"
                for number, zone in enumerate(ZONES, 1)
            ),
        )
        for group in plan.list_groups()
    ]
    described = ''.join(groups) or 'groups = []\n'
    return SCENARIO.format(instances=lines) + described


def write_objects(plan: Plan, ports: dict[str, int], peer: int) -> str:
    """Declare the groups, their targets and the proxy."""
    parts = [OBJECTS.format(peer=peer)]
    for group in plan.list_groups():
        parts.append(
            GROUP_OBJECT.format(
                group=group,
                slots=SLOTS,
                connections=CONNECTIONS,
            ),
        )
        for number, zone in enumerate(ZONES, 1):
            name = f'{group}-db{number}'
            target = TARGET.format(
                name=name,
                group=group,
                port=ports[name],
                zone=zone,
            )
            parts.append(target)
    return ''.join(parts)
