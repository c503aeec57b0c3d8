"""Write the files that a benchmark's processes read."""

from socket import socket

HOST = '127.0.0.1'
GROUP = 'lease-1'
ZONES = ('zone-a', 'zone-b', 'zone-c')
MEMBERS = {f'db{number}': zone for number, zone in enumerate(ZONES, 1)}
SLOTS = 32
CONNECTIONS = 64
SCENARIO = """latency = 0.0
[platform]
{platform}
[[groups]]
name = '{group}'
leader = 'db1'
slots = {slots}
connection_limit = {connections}
service_time = 0.0
schema = ['CREATE TABLE turns (id INTEGER PRIMARY KEY, ref TEXT)']
databases = [{databases}]
"""
OBJECTS = """[[group]]
name = '{group}'
slots = {slots}
connection_limit = {connections}
seats = 1
[[proxy]]
name = 'entry-1'
zone = 'zone-a'
host = '127.0.0.1'
peer_port = {peer}
[[route]]
name = 'default'
traffic_class = 'default'
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
[callers]
host = '127.0.0.1'
port = {callers}
[peers]
host = '127.0.0.1'
port = {peer}
[platform]
endpoints = [{{ host = '127.0.0.1', port = {platform} }}]
instance_list = {{ host = '127.0.0.1', port = {platform} }}
[[session_keys]]
id = 'bench'
secret = 'a-secret-for-benchmarks-only'
"""


def find_port() -> int:
    """Return a port that nobody uses now."""
    with socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def write_scenario() -> str:
    """Describe the stand-ins."""
    databases = ', '.join(
        f'{{ name = "{name}", zone = "{zone}" }}'
        for name, zone in MEMBERS.items()
    )
    return SCENARIO.format(
        platform='\n'.join(f'{zone} = {find_port()}' for zone in ZONES),
        group=GROUP,
        slots=SLOTS,
        connections=CONNECTIONS,
        databases=databases,
    )


def write_objects(ports: dict[str, int], peer_port: int) -> str:
    """Declare the group, its targets and the proxy."""
    objects = OBJECTS.format(
        group=GROUP,
        slots=SLOTS,
        connections=CONNECTIONS,
        peer=peer_port,
    )
    targets = [
        TARGET.format(name=name, group=GROUP, port=ports[name], zone=zone)
        for name, zone in MEMBERS.items()
    ]
    return objects + ''.join(targets)


def write_settings(caller_port: int, peer_port: int, platform: int) -> str:
    """Write the proxy's settings."""
    return SETTINGS.format(
        callers=caller_port,
        peer=peer_port,
        platform=platform,
    )
