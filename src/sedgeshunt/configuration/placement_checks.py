"""Validate the addresses and limits of groups, targets and proxies."""

from collections.abc import Iterator
from ipaddress import ip_address

from sedgeshunt.configuration.objects import Group, Proxy, Target
from sedgeshunt.configuration.problems import (
    Problem,
    make_error,
    make_warning,
)
from sedgeshunt.configuration.selector_matcher import SelectorMatcher
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.connections.shares import UNSEATED_PROXY_CONNECTIONS
from sedgeshunt.ports import Address

MAX_PORT = 65535
# With fewer than three targets, losing one loses the majority.
MIN_TARGETS = 3
# Each seat needs one control connection and one for statements.
CONNECTIONS_PER_SEAT = 2


def check_addresses(snapshot: Snapshot) -> Iterator[Problem]:
    """Report invalid and duplicate addresses."""
    first: dict[Address, Target | Proxy] = {}
    instances: list[Target | Proxy] = list(snapshot.targets.values())
    instances.extend(snapshot.proxies.values())
    for declared in instances:
        address = read_address(declared)
        yield from _check_address(declared, address)
        other = first.setdefault(address, declared)
        if other is not declared:
            yield make_error(
                declared,
                f'{address.host}:{address.port} belongs to {other.name} '
                + 'already; correct one of the two',
            )


def check_groups(snapshot: Snapshot) -> Iterator[Problem]:
    """Report missing groups, too few targets and inconsistent limits."""
    for target in snapshot.targets.values():
        if target.group not in snapshot.groups:
            yield make_error(
                target,
                f'group "{target.group}" is not declared; add a [[group]] '
                + 'of that name or correct the field',
            )
    matcher = SelectorMatcher(snapshot)
    for group in snapshot.groups.values():
        yield from _check_limits(group)
        yield from _check_members(snapshot, group)
        yield from _check_seats(matcher, group)


def read_address(declared: Target | Proxy) -> Address:
    """Return the listening address; for a proxy, its peer address."""
    if isinstance(declared, Proxy):
        return Address(declared.host, declared.peer_port)
    return Address(declared.host, declared.port)


def _check_address(
    declared: Target | Proxy,
    address: Address,
) -> Iterator[Problem]:
    if not 0 < address.port <= MAX_PORT:
        yield make_error(
            declared,
            f'port {address.port} is out of range; use 1 to {MAX_PORT}',
        )
    try:
        ip_address(address.host)
    except ValueError:
        yield make_error(
            declared,
            f'host "{address.host}" is not an IP address; host names are '
            + 'not resolved, write the address',
        )


def _check_limits(group: Group) -> Iterator[Problem]:
    needed = CONNECTIONS_PER_SEAT * group.seats + UNSEATED_PROXY_CONNECTIONS
    if group.connection_limit < needed:
        yield make_error(
            group,
            f'{group.seats} seats need {needed} connections to each target '
            + f'and connection_limit is {group.connection_limit}; '
            + 'raise the limit or lower seats',
        )
    if group.slots > group.connection_limit:
        yield make_error(
            group,
            f'{group.slots} slots cannot be used over '
            + f'{group.connection_limit} connections; lower slots',
        )


def _check_members(snapshot: Snapshot, group: Group) -> Iterator[Problem]:
    members = snapshot.list_targets(group.name)
    if len(members) < MIN_TARGETS:
        yield make_warning(
            group,
            f'{len(members)} targets cannot lose one and keep a majority; '
            + f'add targets up to {MIN_TARGETS}',
        )
    leaving = [target for target in members if target.is_leaving()]
    if members and len(leaving) == len(members):
        yield make_warning(
            group,
            'every target is leaving and none takes work; remove the label '
            + 'from one',
        )


def _check_seats(matcher: SelectorMatcher, group: Group) -> Iterator[Problem]:
    serving = len(matcher.list_group_proxies(group.name))
    if serving > group.seats:
        yield make_warning(
            group,
            f'{serving} proxies serve it and share {group.seats} seats; '
            + 'raise seats or narrow the selectors of proxies',
        )
