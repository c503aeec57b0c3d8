"""Define steps by which callers connect, read, write and commit."""

from typing import Any

from behave import given, then, when

from sedgeshunt.identifiers import TargetId
from tests.features.promise_bench import PromiseBench, make_insert
from tests.features.promise_safeguards import disable_safeguard
from tests.ledger import Promise


@given('proxies in three zones, with the safeguard "{name}" disabled')
def start_without(context: Any, name: str) -> None:
    context.add_cleanup(disable_safeguard(name).close)
    context.bench = PromiseBench()
    context.add_cleanup(context.bench.close)


@given('each answer is due within {seconds:g} s')
def set_answer_limit(context: Any, seconds: float) -> None:
    context.bench.answer_within = seconds


@when('caller "{name}" connects to "{proxy}"')
@when('caller "{name}" reconnects to "{proxy}" with the token')
def connect(context: Any, name: str, proxy: str) -> None:
    context.bench.run(context.bench.get_caller(name).connect(proxy))


@when('caller "{name}" reconnects to "{proxy}" without the token')
def reconnect_without_token(context: Any, name: str, proxy: str) -> None:
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
    bench.record_outcome(refs.split(','), bench.run(bench.ask(name, 'COMMIT')))


@when('caller "{name}" starts with id "{request}" to commit "{refs}"')
def start_commit(context: Any, name: str, refs: str, request: str) -> None:
    bench = context.bench

    async def send() -> None:
        result = await bench.ask(name, 'COMMIT', request_id=request)
        bench.record_outcome(refs.split(','), result)

    for ref in refs.split(','):
        bench.note(ref).is_refused = True
    bench.start(send)


@when('caller "{name}" leaves')
def leave(context: Any, name: str) -> None:
    context.bench.run(context.bench.get_caller(name).leave())


@then('caller "{name}" gets the outcome "{word}"')
def check_outcome(context: Any, name: str, word: str) -> None:
    context.bench.finish()
    result = context.bench.results[name]
    assert result.outcome_name == word, result


@then('the answer came from "{target}"')
def check_server(context: Any, target: str) -> None:
    result = list(context.bench.results.values())[-1]
    assert result.outcome.unwrap().served_by == TargetId(target), result


@then('the promise "{promise}" is {verdict}')
def check_promise(context: Any, promise: str, verdict: str) -> None:
    assert promise in {known.value for known in Promise}, promise
    broken = context.bench.check()
    if verdict == 'kept':
        assert not broken, broken
        return
    assert verdict == 'broken', verdict
    assert any(line.startswith(f'{promise}: ') for line in broken), broken
