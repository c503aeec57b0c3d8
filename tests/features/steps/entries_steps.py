"""Check how entries written by others are read."""

from collections import Counter
from contextlib import suppress
from ipaddress import ip_address
from json import dumps, loads
from math import inf
from typing import Any

from behave import given, then, when
from hypothesis import given as draw
from hypothesis import settings
from hypothesis import strategies as st
from msgspec import Struct

from sedgeshunt.customers.directory import DIGEST_BYTES
from sedgeshunt.decisions import DecisionKind, MemoryDecisionLog
from sedgeshunt.decoding import Undecodable
from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.identifiers import GroupId, Revision
from sedgeshunt.platform.conversation import parse_start
from sedgeshunt.platform.documents import (
    CONFIGURATION_KEY,
    TARGETS_PREFIX,
    StoreDocuments,
)
from sedgeshunt.platform.lines import MessageMalformed, make_line
from sedgeshunt.metrics import NoMetrics
from sedgeshunt.ports import KeyValue
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.registry.directory import (
    DeclaredConfiguration,
    KnownTarget,
)
from sedgeshunt.registry.entries import InstanceEntry, OwnerEntry, read_entry
from sedgeshunt.registry.store_view import Listener
from sedgeshunt.statements.counts import DecisionCounts
from tests.standins.foreign import make_nested

GROUP = 'songbook'
SOME = Revision(1)
BROKEN = b'broken'
# Part of a document that a message quotes, such as the key of a customer.
QUOTED = 'secret'
FOREIGN = f'{TARGETS_PREFIX}foreign'
LARGEST_PORT = 65535
DECLARED = {
    'version': 1,
    'routes': [],
    'services': [{'name': GROUP, 'max_connections': 16}],
}
_LEAVES = st.none() | st.booleans() | st.integers() | st.text() | st.floats()
_FIELDS = st.fixed_dictionaries(
    {},
    optional={
        'service': st.just(GROUP) | _LEAVES,
        'address': st.sampled_from(
            ['10.0.0.1:80', 'host:80', '10.0.0.1:99999', '10.0.0.1:0', ':', ''],
        )
        | _LEAVES,
        'zone': st.just('east') | _LEAVES,
        'state': st.sampled_from(['ready', 'draining', 'odd']) | _LEAVES,
        'capacity_slots': st.integers(-2, 3) | _LEAVES,
        'born': st.integers() | _LEAVES,
        'odd': _LEAVES,
    },
)


# Up to far more levels than any decoder takes.
_NESTED = st.builds(
    make_nested,
    st.sampled_from(['odd', 'service', 'born', 'name', 'owner', 'group']),
    st.sampled_from(['[', '{"a":', '[[{"a":']),
    st.sampled_from([']', '}', '}]]']),
    st.integers(1, 2000) | st.integers(2000, 70000),
    is_whole=st.booleans(),
)


class FailingDocuments(StoreDocuments):
    """Fail on one entry as a fault of the program would."""

    def read_target(self, pair: KeyValue) -> KnownTarget:
        """Raise an error that no caller expects for the foreign entry."""
        if pair.key == FOREIGN:
            raise ZeroDivisionError(QUOTED)
        return super().read_target(pair)

    def read_declared(self, pair: KeyValue) -> DeclaredConfiguration:
        """Raise an error that no caller expects for one document."""
        if pair.value == BROKEN:
            raise ZeroDivisionError(QUOTED)
        return super().read_declared(pair)


class CountedNames(NoMetrics):
    """Keep the counts by their names."""

    def __init__(self) -> None:
        """Start at zero."""
        self.counts: Counter[str] = Counter()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to one count."""
        self.counts[name] += amount


class FixedView:
    """Stand in for a view of the store."""

    def __init__(self) -> None:
        """Start empty."""
        self.items: dict[str, KeyValue] = {}
        self.listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Call `listener` with the key of each change."""
        self.listeners.append(listener)

    def get(self, key: str) -> KeyValue | None:
        """Return one item."""
        return self.items.get(key)

    def list_prefix(self, prefix: str) -> list[KeyValue]:
        """List the items under `prefix`."""
        return [
            pair for key, pair in self.items.items() if key.startswith(prefix)
        ]

    def measure_era_age(self) -> float:
        """Return that the store was never restored."""
        return inf

    def put(self, key: str, document: bytes, revision: int) -> None:
        """Write one item without a call of the listeners."""
        self.items[key] = KeyValue(
            key,
            document,
            Revision(revision),
            Revision(1),
        )

    def notify(self, key: str) -> None:
        """Call the listeners with a key, or with '' after a listing."""
        for listener in self.listeners:
            listener(key)


@given('entries of any bytes and of any fields')
def draw_entries(context: Any) -> None:
    context.entries = st.binary() | _FIELDS.map(
        lambda read: dumps(read).encode()
    )


@given('entries of any depth and length')
def draw_nested(context: Any) -> None:
    context.entries = _NESTED


@then('none of them is read as an entry of a proxy')
def check_own_entries(context: Any) -> None:
    @settings(max_examples=100, deadline=None, database=None)
    @draw(context.entries, st.sampled_from([InstanceEntry, OwnerEntry]))
    def check(document: bytes, kind: type[Struct]) -> None:
        with suppress(Undecodable):
            raise AssertionError(read_entry(document, kind))

    check()


@then('each one is refused as unreadable or names an address by IP number')
def check_entries(context: Any) -> None:
    documents = StoreDocuments()

    @settings(max_examples=400, deadline=None, database=None)
    @draw(context.entries)
    def check(document: bytes) -> None:
        pair = KeyValue(FOREIGN, document, Revision(1), Revision(1))
        try:
            known = documents.read_target(pair)
        except SedgeshuntError:
            return
        assert ip_address(known.target.host)
        assert 0 < known.target.port <= LARGEST_PORT
        assert known.slots > 0

    check()


@given('entries with an id of any text')
def draw_ids(context: Any) -> None:
    context.ids = st.text(max_size=40) | st.sampled_from(
        ['', 'a b', 'a\r\nQUERY - RESET', 'a\n', '\u2028'],
    )


@then('each one is refused or its id is one word of a line')
def check_ids(context: Any) -> None:
    document = dumps({'service': GROUP, 'address': '10.0.0.1:80', 'zone': 'a'})

    @settings(max_examples=300, deadline=None, database=None)
    @draw(context.ids)
    def check(name: str) -> None:
        pair = KeyValue(f'{TARGETS_PREFIX}{name}', document.encode(), SOME)
        try:
            known = StoreDocuments().read_target(pair)
        except SedgeshuntError as refusal:
            assert len(refusal.format_message().splitlines()) == 1
            return
        words = make_line('START', GROUP, known.target.name).decode().split()
        assert words == ['START', GROUP, name]

    check()


@given('an entry of a proxy with {content}')
def make_proxy_entry(context: Any, content: str) -> None:
    fields = {
        'name': 'east-9',
        'incarnation': 'x',
        'zone': 'east',
        'host': '127.0.0.1',
        'port': 9,
        'capacity': 1.0,
    }
    context.document = dumps(fields | loads(content)).encode()


@then('it is no entry of a proxy')
def check_proxy_entry(context: Any) -> None:
    with suppress(Undecodable):
        raise AssertionError(read_entry(context.document, InstanceEntry))


@given('a database "{name}" and a foreign entry beside it')
def write_entries(context: Any, name: str) -> None:
    write_beside(context, name, StoreDocuments())


@given('a database "{name}" and an entry whose reader fails')
def write_failing(context: Any, name: str) -> None:
    write_beside(context, name, FailingDocuments())


def write_beside(context: Any, name: str, documents: StoreDocuments) -> None:
    """Write the entry of a database and one of another client."""
    context.view = FixedView()
    context.decisions = MemoryDecisionLog()
    context.metrics = CountedNames()
    context.live = LiveConfiguration(
        context.view,
        documents,
        DecisionCounts(context.metrics, context.decisions),
    )
    entry = {'service': GROUP, 'address': '10.0.0.1:80', 'zone': 'east'}
    context.view.put(CONFIGURATION_KEY, dumps(DECLARED).encode(), 1)
    context.view.put(f'{TARGETS_PREFIX}{name}', dumps(entry).encode(), 2)
    context.view.put(FOREIGN, b'\xff{', 3)


@when('the entries are listed {times:d} times')
def list_entries(context: Any, times: int) -> None:
    for _ in range(times):
        context.view.notify('')


@when('the foreign entry is written again')
def write_again(context: Any) -> None:
    context.view.put(FOREIGN, b'{"service": 3}', 4)
    context.view.notify(FOREIGN)


@then('"{name}" is the only target')
def check_only(context: Any, name: str) -> None:
    members = context.live.find_members(GroupId(GROUP))
    assert members is not None
    assert [known.target.name for known in members.targets] == [name]


@when('a configuration is written whose reader fails')
def write_configuration(context: Any) -> None:
    context.view.put(CONFIGURATION_KEY, BROKEN, 5)
    context.view.notify(CONFIGURATION_KEY)


@then('version {version:d} of the configuration is in force')
def check_version(context: Any, version: int) -> None:
    assert context.live.version == version


@then('{count:d} errors with a trace were recorded and counted')
def check_errors(context: Any, count: int) -> None:
    failed = context.decisions.list_decisions(DecisionKind.ENTRY_FAILED)
    assert len(failed) == count, failed
    for decision in failed:
        assert decision.reasons['key'] in {FOREIGN, CONFIGURATION_KEY}
        assert decision.reasons['why'] == 'ZeroDivisionError'
        assert 'raise ZeroDivisionError' in decision.reasons['trace']
        assert QUOTED not in str(decision.reasons)
    assert context.metrics.counts['decisions.entry-failed'] == count


@then('{count:d} refusals were recorded')
def check_refusals(context: Any, count: int) -> None:
    refused = context.decisions.list_decisions(
        DecisionKind.CONFIGURATION_REFUSED,
    )
    assert len(refused) == count, refused


_KEY = 'a-key-that-nobody-may-see'
_CUSTOMER = st.fixed_dictionaries(
    {'name': st.sampled_from(['bar', 'hotel', '', 'b ar', 'x' * 300])},
    optional={
        'api_keys': st.lists(st.sampled_from([_KEY, 'other', '']) | st.text()),
        'rate_per_s': st.integers(-1, 3) | st.floats() | st.none() | st.text(),
        'burst': st.integers(-1, 3) | st.floats() | st.none(),
        'odd': _LEAVES,
    },
)


@given('documents with customers of any fields')
def draw_customers(context: Any) -> None:
    @settings(max_examples=300, deadline=None, derandomize=True)
    @draw(st.lists(_CUSTOMER, max_size=3))
    def check(customers: list[dict[str, Any]]) -> None:
        document = dumps(DECLARED | {'tenants': customers}).encode()
        pair = KeyValue(CONFIGURATION_KEY, document, Revision(1))
        try:
            read = StoreDocuments().read_declared(pair).customers
        except SedgeshuntError as refusal:
            assert _KEY not in refusal.format_message()
            return
        assert read is not None
        assert len(read.customers) == len(customers)
        for customer in read.customers.values():
            limit = customer.limit
            assert limit is None or min(limit.per_second, limit.burst) > 0
            holders = {read.find_customer(key) for key in customer.keys}
            assert holders <= {customer.name}
        assert _KEY not in repr(read)

    context.check = check


@then('each one is refused without naming a key, or its customers are whole')
def check_customers(context: Any) -> None:
    context.check()


@given('first lines of any text')
def draw_starts(context: Any) -> None:
    @settings(max_examples=300, deadline=None, derandomize=True)
    @draw(st.text() | st.text().map(lambda text: f'START {text}'))
    def check(line: str) -> None:
        try:
            database, digest = parse_start(line)
        except MessageMalformed:
            return
        assert database
        assert not digest or len(digest) == 2 * DIGEST_BYTES

    context.check = check


@then('each one is refused as malformed or gives a database and a digest')
def check_starts(context: Any) -> None:
    context.check()
