"""Check that configuration changes are applied and never reverted."""

from asyncio import gather
from typing import Any

from behave import given, then, when
from msgspec import convert
from msgspec.json import decode
from msgspec.structs import asdict
from result import Err

from sedgeshunt.configuration.checks import check_objects
from sedgeshunt.configuration.documents import (
    OperatorFile,
    read_documents,
    write_document,
)
from sedgeshunt.configuration.edits import find_object
from sedgeshunt.configuration.encoding import (
    build_snapshot,
    decode_snapshot,
    encode_snapshot,
)
from sedgeshunt.configuration.errors import ObjectsInvalid, RevisionConflict
from sedgeshunt.configuration.history import ChangeHistory
from sedgeshunt.configuration.keys import OBJECTS_PREFIX, ObjectKey
from sedgeshunt.configuration.labels import read_selector
from sedgeshunt.configuration.objects import ObjectKind, Route, Target
from sedgeshunt.configuration.registry import (
    AppliedChange,
    ConfigurationRegistry,
)
from sedgeshunt.decisions import DecisionKind
from sedgeshunt.exceptions import AnswerLost
from sedgeshunt.identifiers import (
    GroupId,
    Revision,
    TargetId,
    TrafficClass,
    ZoneId,
)
from sedgeshunt.ports import Put
from tests.features.fleet_bench import HOST, FleetBench

ADA = ObjectKey(ObjectKind.TARGET, 'ada')
BOB = ObjectKey(ObjectKind.TARGET, 'bob')
# A change reads the objects and the ids of the retained changes.
OPERATOR_LISTINGS = 2
CYD = ObjectKey(ObjectKind.TARGET, 'cyd')


@then('selector "{selector}" over labels "{labels}" gives {verdict}')
def check_selector(_: Any, selector: str, labels: str, verdict: str) -> None:
    pairs = dict(label.split('=') for label in _unquote(labels).split())
    read = read_selector(_unquote(selector))
    if isinstance(read, Err):
        assert verdict == 'error', read
        return
    matches = read.ok_value.matches(pairs)
    assert matches == (verdict == 'match')
    assert verdict in {'match', 'none'}


@when('an operator file is read')
def read_file(context: Any) -> None:
    context.read = read_documents([OperatorFile('objects', context.text)])


@then("the file's problems are")
def check_file_problems(context: Any) -> None:
    problems = sorted(context.read.unwrap_err())
    for row in context.table:
        location, problem = f'{row["location"]}:', row['problem']
        found = [line for line in problems if line.startswith(location)]
        assert any(problem in line for line in found), (
            location,
            problem,
            problems,
        )


@when('the objects are written to an operator file and to JSON and read')
def round_trip(context: Any) -> None:
    objects = [*FleetBench().list_objects(), make_route('r')]
    text = write_document(objects, Revision(7))
    document = read_documents([OperatorFile('objects', text)]).unwrap()
    context.before = build_snapshot(Revision(7), objects)
    context.after = [
        build_snapshot(document.base or Revision(0), document.objects),
        decode_snapshot(encode_snapshot(context.before)).unwrap(),
    ]


@then('the objects are unchanged')
def check_unchanged(context: Any) -> None:
    assert context.after == [context.before, context.before]


@when('the field {field} of object {subject} is set to {content}')
def set_field(context: Any, field: str, subject: str, content: str) -> None:
    routes = [make_route('queue'), make_route('browse')]
    objects = [*FleetBench().list_objects(), *routes]
    changed = [
        convert(asdict(one) | {field: decode(content)}, type(one))
        if str(ObjectKey.of(one)) == subject
        else one
        for one in objects
    ]
    assert changed != objects
    context.problems = check_objects(build_snapshot(Revision(1), changed))


@then('the check reports "{problem}"')
def check_problem(context: Any, problem: str) -> None:
    described = [found.describe() for found in context.problems]
    assert any(problem in line for line in described), described


@given('the objects are declared')
def declare_objects(context: Any) -> None:
    context.bench = FleetBench()
    context.add_cleanup(context.bench.close)
    context.revision = context.bench.declare()


@given('the objects are declared and {count:d} proxy runs')
@given('the objects are declared and {count:d} proxies run')
def run_proxies(context: Any, count: int) -> None:
    declare_objects(context)
    context.bench.start(count)
    context.bench.wait(3)
    check_all_have(context, 1)


@when(
    '"{one}" labels target "{one_target}" and "{other}" labels '
    '"{other_target}" at the same time',
)
def label_two(
    context: Any,
    one: str,
    one_target: str,
    other: str,
    other_target: str,
) -> None:
    context.results = race(context, (one, one_target), (other, other_target))


@then('one change is refused as a conflict that names the other')
def check_conflict(context: Any) -> None:
    conflict, applied = split(context.results, RevisionConflict)
    assert [
        change.record.change for change in conflict.conflicting_changes
    ] == [
        applied.change,
    ]
    assert conflict.conflicting_changes[0].record.author in str(conflict)
    assert 'merge your change and apply it again' in str(conflict)


@then('both changes take effect')
def check_both(context: Any) -> None:
    assert all(isinstance(one, AppliedChange) for one in context.results)
    snapshot = read_snapshot(context)
    assert snapshot.targets[TargetId('ada')].labels == {'by': 'ann'}
    assert snapshot.targets[TargetId('bob')].labels == {'by': 'ben'}


@when('"{one}" and "{other}" add a target at the same address at the same time')
def add_same_address(context: Any, one: str, other: str) -> None:
    bench = context.bench
    adding = [
        bench.open_registry(author).apply([make_target(author)], 'add')
        for author in (one, other)
    ]
    context.results = bench.run(_gather(*adding))


@then('one change is refused as invalid and the address is declared once')
def check_duplicate_address(context: Any) -> None:
    invalid, _ = split(context.results, ObjectsInvalid)
    assert 'belongs to' in str(invalid)
    targets = read_snapshot(context).targets.values()
    assert [target.port for target in targets].count(9999) == 1


@when('the answer to the change of "{author}" is lost')
def lose_answer(context: Any, author: str) -> None:
    context.bench.service.lose_next_answers(1)
    context.results = race(context, (author, 'ada'))


@when('the change of "{author}" is delayed, sent again and arrives late')
def delay_change(context: Any, author: str) -> None:
    platform = context.bench.open_platform()
    platform.delays_next = True
    registry = ConfigurationRegistry(platform, author)
    work = registry.set_labels(ADA, {'by': author}, 'label')
    context.results = context.bench.run(_gather(work))
    assert platform.delayed is not None
    assert not context.bench.run(platform.delayed).succeeded


@then('the change took effect once and "{author}" is told so')
def check_once(context: Any, author: str) -> None:
    applied = context.results[0]
    assert isinstance(applied, AppliedChange), applied
    newest = list_changes(context)[0]
    assert (newest.record.change, newest.revision) == (
        applied.change,
        applied.revision,
    )
    assert newest.record.author == author
    assert len(list_changes(context)) == 2


@when(
    'the answer to the change of "{author}" is lost and the service goes down',
)
def lose_service(context: Any, author: str) -> None:
    bench = context.bench
    bench.service.lose_next_answers(1)
    registry = bench.open_registry(author)
    work = registry.set_labels(ADA, {'by': author}, 'label')
    context.results = bench.run(_gather(work, _go_down_after_change(bench)))


@then('"{author}" is told that the answer is lost and under which id to look')
def check_answer_lost(context: Any, author: str) -> None:
    lost = context.results[0]
    assert isinstance(lost, AnswerLost), lost
    context.bench.service.recover()
    newest = list_changes(context)[0].record
    assert (newest.change, newest.author) == (lost.change, author)


@when('target "{name}" is labelled {count:d} times')
def label_often(context: Any, name: str, count: int) -> None:
    registry = context.bench.open_registry('ann')
    for number in range(count):
        labels = {'number': str(number)}
        context.bench.run(registry.set_labels(ADA, labels, str(number)))


@then('{count:d} changes are kept, the newest first')
def check_kept(context: Any, count: int) -> None:
    changes = list_changes(context)
    messages = [int(change.record.message) for change in changes]
    assert messages == list(range(509, 9, -1))
    assert len(changes) == count


@when('the service restarts compacted, on a member that lags')
def restart_lagging(context: Any) -> None:
    bench = context.bench
    node = bench.nodes['p0']
    # The member's listing predates the change that the proxy has applied.
    old = bench.run(node.platform.list_prefix(OBJECTS_PREFIX))
    context.revision = change_label(context, 'first')
    bench.wait(1)
    bench.service.outage()
    bench.wait(1)
    node.platform.old_listing = old
    bench.service.recover()
    change_label(context, 'second')
    bench.service.store.compact()
    bench.wait(6)


@then('the proxy keeps its revision and logs the refusal')
def check_refusal(context: Any) -> None:
    node = context.bench.nodes['p0']
    assert node.revision == context.revision
    refused = node.decisions.list_decisions(DecisionKind.CONFIGURATION_REFUSED)
    assert 'is older' in refused[0].reasons['why']


@when('the member has caught up')
def catch_up(context: Any) -> None:
    context.bench.nodes['p0'].platform.old_listing = None
    context.revision = read_snapshot(context).revision


@then('the proxy gets the newest revision within {limit:g} seconds')
@then('all proxies have the change within {limit:g} seconds')
def check_all_have(context: Any, limit: float) -> None:
    nodes = context.bench.nodes.values()
    context.bench.wait_until(
        lambda: all(node.revision >= context.revision for node in nodes),
        limit,
    )


@then('no proxy reverted a change')
def check_not_reverted(context: Any) -> None:
    for node in context.bench.nodes.values():
        assert node.applied == sorted(node.applied), node.applied


@when('the watch of the proxy swaps two changes')
def swap_changes(context: Any) -> None:
    context.bench.nodes['p0'].platform.swaps_events = True
    change_label(context, 'one', CYD)
    context.revision = change_label(context, 'two', BOB)


@then('the proxy has both changes within {limit:g} seconds')
def check_both_applied(context: Any, limit: float) -> None:
    feed = context.bench.nodes['p0'].feed
    context.bench.wait_until(
        lambda: (
            label_of(feed.snapshot, CYD) == 'one'
            and find_object(feed.snapshot, ADA) is not None
            and label_of(feed.snapshot, BOB) == 'two'
        ),
        limit,
    )


@when('the service is down for {seconds:g} seconds and a change follows')
def go_down(context: Any, seconds: float) -> None:
    context.bench.service.outage()
    context.bench.wait(seconds)
    context.bench.service.counts.clear()
    context.bench.service.recover()
    context.revision = change_label(context, 'after')


@then('no proxy read a listing since the outage')
def check_no_listing(context: Any) -> None:
    listings = context.bench.service.counts['list']
    assert listings == OPERATOR_LISTINGS, listings


@when('the service is down and proxy "{name}" starts')
def start_in_outage(context: Any, name: str) -> None:
    context.bench.service.outage()
    start_proxy(context, name)


@when('proxy "{name}" starts')
def start_proxy(context: Any, name: str) -> None:
    bench = context.bench
    bench.service.counts.clear()
    proxy = next(one for one in bench.proxies if one.name == name)
    context.node = bench.run(bench.start_node(proxy))


@then('proxy "{name}" has the newest revision within {limit:g} seconds')
def check_started(context: Any, name: str, limit: float) -> None:
    context.bench.wait_until(
        lambda: context.node.revision == context.revision,
        limit,
    )
    assert context.node.name == name


@then(
    'proxy "{name}" has a change within {limit:g} seconds and read no listing',
)
def check_started_cheaply(context: Any, name: str, limit: float) -> None:
    context.revision = change_label(context, 'started')
    check_started(context, name, limit)
    check_no_listing(context)


@when('zone "{zone}" is cut off from the service and two changes follow')
def cut_service(context: Any, zone: str) -> None:
    context.bench.service.cut(zone)
    change_label(context, 'first')
    context.revision = change_label(context, 'cut')


@when('the cut heals and a change follows')
def heal_service(context: Any) -> None:
    context.bench.service.heal()
    context.revision = change_label(context, 'healed')


@when('target "ada" is overwritten by "{text}" and "bob" is labelled')
def damage_value(context: Any, text: str) -> None:
    platform = context.bench.open_platform()
    put = Put(ADA.path, text.encode())
    context.bench.run(platform.commit([], [put]))
    context.revision = change_label(context, 'new', BOB)
    context.bench.wait(1)


@then('the proxy has "ada" as it was, the label on "bob", and a log line')
def check_damage(context: Any) -> None:
    node = context.bench.nodes['p0']
    assert find_object(node.feed.snapshot, ADA) is not None
    assert label_of(node.feed.snapshot, BOB) == 'new'
    refused = node.decisions.list_decisions(DecisionKind.CONFIGURATION_REFUSED)
    assert 'target/ada' in refused[0].reasons['why']


def _unquote(text: str) -> str:
    return '' if text == 'nothing' else text


async def _gather(*work: Any) -> list[Any]:
    return await gather(*work, return_exceptions=True)


async def _go_down_after_change(bench: FleetBench) -> None:
    await bench.service.store.changed.wait()
    bench.service.outage()


def race(context: Any, *changes: tuple[str, str]) -> list[Any]:
    racing = [
        context.bench.open_registry(author).set_labels(
            ObjectKey(ObjectKind.TARGET, target),
            {'by': author},
            f'label by {author}',
        )
        for author, target in changes
    ]
    results: list[Any] = context.bench.run(_gather(*racing))
    return results


def split(results: list[Any], refusal: type[Exception]) -> tuple[Any, Any]:
    refused = [one for one in results if isinstance(one, refusal)]
    applied = [one for one in results if isinstance(one, AppliedChange)]
    assert len(refused) == len(applied) == 1, results
    return refused[0], applied[0]


def make_route(name: str) -> Route:
    return Route(
        name=name,
        traffic_class=TrafficClass(name),
        primary_reads=False,
    )


def make_target(name: str) -> Target:
    return Target(
        name=TargetId(name),
        group=GroupId('songbook'),
        host=HOST,
        port=9999,
        zone=ZoneId('east'),
    )


def change_label(context: Any, text: str, key: ObjectKey = ADA) -> Revision:
    registry = context.bench.open_registry('ann')
    work = registry.set_labels(key, {'by': text}, text)
    applied: AppliedChange = context.bench.run(work)
    return applied.revision


def label_of(snapshot: Any, key: ObjectKey) -> str | None:
    found = find_object(snapshot, key)
    return None if found is None else found.labels.get('by')


def read_snapshot(context: Any) -> Any:
    return context.bench.run(context.bench.open_registry('x').read()).snapshot


def list_changes(context: Any) -> Any:
    history = ChangeHistory(context.bench.open_platform())
    return context.bench.run(history.list_changes())
