"""Let callers write, read, roam and run transactions."""

from typing import Any

from behave import given, then, when

from sedgeshunt.identifiers import TargetId
from tests.features.promise_bench import PromiseBench, make_insert
from tests.features.promise_safeguards import take_out
from tests.ledger import Promise


@given('proxies in three zones, with the safeguard "{name}" taken out')
def start_without(context: Any, name: str) -> None:
    context.add_cleanup(take_out(name).close)
    context.bench = PromiseBench()
    context.add_cleanup(context.bench.close)


@given('callers want each answer within {seconds:g} s')
def want_answers(context: Any, seconds: float) -> None:
    context.bench.answer_within = seconds


@when('caller "{name}" comes to "{proxy}"')
@when('caller "{name}" goes on to "{proxy}" with the token')
def connect(context: Any, name: str, proxy: str) -> None:
    context.bench.run(context.bench.get_caller(name).connect(proxy))


@when('caller "{name}" goes on to "{proxy}" without the token')
def connect_anew(context: Any, name: str, proxy: str) -> None:
    context.bench.get_caller(name).token = None
    connect(context, name, proxy)


@when('caller "{name}" writes "{ref}"')
def write(context: Any, name: str, ref: str) -> None:
    context.bench.run(context.bench.write(name, ref))


@when('caller "{name}" starts to write "{ref}" within {seconds:g} s')
def start_write(context: Any, name: str, ref: str, seconds: float) -> None:
    bench = context.bench
    bench.start(lambda: bench.write(name, ref, deadline=seconds))


@when('caller "{name}" asks with id "{request}" to write "{ref}"')
def write_identified(context: Any, name: str, ref: str, request: str) -> None:
    context.bench.run(context.bench.write(name, ref, request_id=request))


@when('caller "{name}" starts with id "{request}" to write "{ref}"')
def start_identified(context: Any, name: str, ref: str, request: str) -> None:
    bench = context.bench
    bench.start(lambda: bench.write(name, ref, request_id=request))


@when('caller "{name}" reads "{ref}"')
def read(context: Any, name: str, ref: str) -> None:
    context.bench.run(context.bench.read(name, [ref]))


@when('caller "{name}" starts to read "{ref}" within {seconds:g} s')
def start_read(context: Any, name: str, ref: str, seconds: float) -> None:
    bench = context.bench
    bench.start(lambda: bench.read(name, [ref], deadline=seconds))


@when('caller "{name}" reads "{ref}" accepting {age:g} s')
def read_aged(context: Any, name: str, ref: str, age: float) -> None:
    context.bench.run(
        context.bench.read(name, [ref], Promise.AGE, accepted_age=age),
    )


@when('caller "{name}" begins a transaction and writes "{ref}" in it')
def begin(context: Any, name: str, ref: str) -> None:
    bench = context.bench
    bench.run(bench.ask(name, 'BEGIN'))
    write_inside(context, name, ref)


@when('caller "{name}" writes "{ref}" in it')
def write_inside(context: Any, name: str, ref: str) -> None:
    bench = context.bench
    bench.note(ref).is_refused = False
    bench.run(bench.ask(name, make_insert(ref, name)))


@when('caller "{name}" commits "{refs}"')
def commit(context: Any, name: str, refs: str) -> None:
    bench = context.bench
    bench.conclude(refs.split(','), bench.run(bench.ask(name, 'COMMIT')))


@when('caller "{name}" starts with id "{request}" to commit "{refs}"')
def start_commit(context: Any, name: str, refs: str, request: str) -> None:
    bench = context.bench

    async def send() -> None:
        told = await bench.ask(name, 'COMMIT', request_id=request)
        bench.conclude(refs.split(','), told)

    for ref in refs.split(','):
        bench.note(ref).is_refused = True
    bench.start(send)


@when('caller "{name}" leaves')
def leave(context: Any, name: str) -> None:
    context.bench.run(context.bench.get_caller(name).leave())


@then('caller "{name}" is told "{word}"')
def check_told(context: Any, name: str, word: str) -> None:
    context.bench.finish()
    told = context.bench.told[name]
    assert told.word == word, told


@then('the answer came from "{target}"')
def check_server(context: Any, target: str) -> None:
    told = list(context.bench.told.values())[-1]
    assert told.outcome.unwrap().served_by == TargetId(target), told


@then('the promise "{promise}" is {verdict}')
def check_promise(context: Any, promise: str, verdict: str) -> None:
    assert promise in {known.value for known in Promise}, promise
    broken = context.bench.check()
    if verdict == 'kept':
        assert not broken, broken
        return
    assert verdict == 'broken', verdict
    assert any(line.startswith(f'{promise}: ') for line in broken), broken
