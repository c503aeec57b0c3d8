"""Name the keys under which proxies keep what lasts."""

from sedgeshunt.identifiers import GroupId, ProxyId

OWN_PREFIX = 'sedgeshunt/'
INSTANCES_PREFIX = f'{OWN_PREFIX}instances/'
OWNERS_PREFIX = f'{OWN_PREFIX}owners/'
RECORDS_PREFIX = f'{OWN_PREFIX}records/'


def make_instance_key(proxy: ProxyId) -> str:
    """Return the key that tells that an instance is there."""
    return f'{INSTANCES_PREFIX}{proxy}'


def make_owner_key(group: GroupId) -> str:
    """Return the key that its group's owner holds by a lease."""
    return f'{OWNERS_PREFIX}{group}'


def make_record_key(group: GroupId) -> str:
    """Return the key of what outlasts each owner of a group."""
    return f'{RECORDS_PREFIX}{group}'
