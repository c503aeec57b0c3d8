"""Check what holds after the store has come back from an older copy."""

from typing import Any

from behave import given, when

from tests.features.node_bench import NodeBench


@given('the operator changes the configuration {count:d} times in {span:g} s')
def change_often(context: Any, count: int, span: float) -> None:
    bench: NodeBench = context.nodes
    for _ in range(count):
        bench.declare_again()
        bench.wait(span / count)


@when('the store comes back after {away:g} s as it was {age:g} s before')
def return_store(context: Any, away: float, age: float) -> None:
    bench: NodeBench = context.nodes
    bench.return_store(away, age)
