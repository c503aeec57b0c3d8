"""Build the keys of the entries that proxies write into the store."""

from sedgeshunt.identifiers import GroupId, ProxyId

OWN_PREFIX = 'sedgeshunt/'
INSTANCES_PREFIX = f'{OWN_PREFIX}instances/'
OWNERS_PREFIX = f'{OWN_PREFIX}owners/'
RECORDS_PREFIX = f'{OWN_PREFIX}records/'
ENDINGS_PREFIX = f'{OWN_PREFIX}endings/'


def make_instance_key(proxy: ProxyId) -> str:
    """Return the key under which an instance registers."""
    return f'{INSTANCES_PREFIX}{proxy}'


def make_owner_key(group: GroupId) -> str:
    """Return the key that the owner of a group holds by a lease."""
    return f'{OWNERS_PREFIX}{group}'


def make_record_key(group: GroupId) -> str:
    """Return the key of the record of a group."""
    return f'{RECORDS_PREFIX}{group}'


def make_endings_key(proxy: ProxyId) -> str:
    """Return the key of the leases of an instance that others ended."""
    return f'{ENDINGS_PREFIX}{proxy}'
