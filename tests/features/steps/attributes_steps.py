"""Check how statements are classified and their attributes parsed."""

from typing import Any

from behave import given, then, when
from result import Err, Ok

from sedgeshunt.requests.attribute_values import Attributes
from sedgeshunt.requests.attributes import (
    read_attributes,
    read_connect_attributes,
    read_prefixed_attributes,
)
from sedgeshunt.requests.outcome import Cause
from sedgeshunt.requests.request import StatementKind
from sedgeshunt.requests.statements import check_statement, classify_statement


@then('the statements are of these kinds')
def check_kinds(context: Any) -> None:
    for row in context.table:
        kind = classify_statement(row['statement'])
        assert kind is StatementKind[row['kind']], (row, kind)


@then('these statements are refused')
def check_refused(context: Any) -> None:
    for row in context.table:
        checked = check_statement(row['statement'], in_transaction=True)
        assert isinstance(checked, Err), row
        assert checked.err_value.cause is Cause.STATEMENT


@then('these statements are refused outside a transaction only')
def check_refused_outside(context: Any) -> None:
    for row in context.table:
        sql = row['statement']
        assert isinstance(check_statement(sql, in_transaction=False), Err)
        assert isinstance(check_statement(sql, in_transaction=True), Ok)


@given('a session with connect attribute "{name}" of "{text}"')
def open_session(context: Any, name: str, text: str) -> None:
    context.connect = {name: text}
    context.variables = {}
    context.query = {}


@given('its connect attribute "{name}" is "{text}"')
def add_connect_attribute(context: Any, name: str, text: str) -> None:
    context.connect[name] = text


@given('its variable "{name}" is "{text}"')
def set_variable(context: Any, name: str, text: str) -> None:
    context.variables[name] = text


@when('it sends {sql}')
def send(context: Any, sql: str) -> None:
    context.sql = sql


@when('it adds the query attribute "{name}" of "{text}"')
def add_query_attribute(context: Any, name: str, text: str) -> None:
    context.query[name] = text


@then(
    'the request is of class "{name}", {deadline:g} s, {age:g} s old '
    + 'and not idempotent',
)
def check_request(context: Any, name: str, deadline: float, age: float) -> None:
    base = read_connect_attributes(context.connect).unwrap()
    defaults = read_prefixed_attributes(context.variables, base).unwrap()
    found = read_attributes(context.query, context.sql, defaults).unwrap()
    assert found.traffic_class == name
    assert found.deadline == deadline
    assert found.accepted_age == age
    assert not found.idempotent


@then('these comments carry the request id "{request_id}"')
def check_ids(context: Any, request_id: str) -> None:
    for row in context.table:
        found = read_attributes({}, row['statement'], Attributes()).unwrap()
        assert found.request_id == request_id, row


@then('these comments carry no attribute')
def check_none(context: Any) -> None:
    for row in context.table:
        found = read_attributes({}, row['statement'], Attributes())
        assert found == Ok(Attributes()), row


@then('these requests are refused naming')
def check_naming(context: Any) -> None:
    for row in context.table:
        found = read_attributes({}, row['statement'], Attributes())
        assert isinstance(found, Err), row
        assert found.err_value.cause is Cause.ATTRIBUTE
        assert row['named'] in found.err_value.reason, found


@then('the connect attribute "{name}" is refused')
def check_connect_refused(context: Any, name: str) -> None:
    found = read_connect_attributes({name: 'a1'})
    assert isinstance(found, Err)
    assert name.removeprefix('sedgeshunt_') in found.err_value.reason
