"""Check that drivers of callers connect unchanged."""

from datetime import datetime
from decimal import Decimal
from typing import Any

from behave import given, then, when

from sedgeshunt.requests.request import StatementKind
from tests.features.driver_bench import DriverBench
from tests.features.driver_forms import DRIVERS, expect_failure

SONG = 'Malaika'


@given('a proxy with a small gate listens to callers')
def serve_all(context: Any) -> None:
    context.bench = DriverBench()
    context.add_cleanup(context.bench.close)
    context.callers = {}


@when('driver "{name}" connects to group "{group}"')
def connect_driver(context: Any, name: str, group: str) -> None:
    context.connect = lambda: DRIVERS[name](
        context.bench.port,
        group,
        context.bench.loop,
    )
    context.driver = context.connect()
    context.add_cleanup(context.driver.close)


@then('it reads the row (7, "Malaika", 1.50, NULL) with its types')
def check_row(context: Any) -> None:
    rows = context.driver.run('SELECT * FROM queue')
    assert list(rows) == [(7, SONG, Decimal('1.50'), None)], rows


@then('a write tells {count:d} affected rows and id {number:d}')
def check_write(context: Any, count: int, number: int) -> None:
    assert context.driver.run('INSERT 1') == (count, number)


@then('the session token after it can be selected')
def check_token(context: Any) -> None:
    rows = context.driver.run('SELECT @sedgeshunt_session_token')
    assert list(rows) == [('token-songbook',)], rows


@then('a transaction is open from begin to commit')
def check_transaction(context: Any) -> None:
    driver = context.driver
    open_after = []
    for sql in ('BEGIN', 'INSERT 1', 'SELECT 1', 'COMMIT', 'ROLLBACK'):
        driver.run(sql)
        # Flags come with every answer.
        open_after.append(driver.is_in_transaction())
    assert open_after == [True, True, True, False, False], open_after
    # A ROLLBACK with nothing to undo needs no target.
    assert context.bench.seen[-1].kind is StatementKind.COMMIT


@when('it reads with class "{name}" and an age of {age:d} ms by {form}')
def read_with(context: Any, name: str, age: int, form: str) -> None:
    driver = context.driver
    if form == 'comment':
        pairs = f"traffic_class='{name}',accepted_age_ms='{age}'"
        driver.run(f'/*{pairs}*/ SELECT 1')
        return
    if form == 'variable':
        driver.run(f"SET @sedgeshunt_traffic_class = '{name}'")
        driver.run(f'SET @sedgeshunt_accepted_age_ms = {age}')
        driver.run('SELECT 1')
        return
    if form == 'prepared':
        driver.cursor = driver.connection.cursor(prepared=True)
    driver.run('SELECT 1', traffic_class=name, accepted_age_ms=age)


@then('the gate got class "{name}" and an age of {age:g} s')
def check_attributes(context: Any, name: str, age: float) -> None:
    request = context.bench.seen[-1]
    assert request.traffic_class == name, request
    assert request.accepted_age == age


@then('its statements fail with these errors')
def check_errors(context: Any) -> None:
    for row in context.table:
        failure = expect_failure(context.driver, row['statement'])
        assert failure.code == int(row['code']), (row, failure)
        assert row['text'] in failure.text, (row, failure)
        if 'broken' in row['statement']:
            # What failed inside the proxy has no known end: its connection
            # is closed and never used again.
            context.driver = context.connect()


@when('it runs SELECT 1, then INSERT 2, then COMMIT, with autocommit off')
def run_without_autocommit(context: Any) -> None:
    context.driver.connection.autocommit = False
    for sql in ('SELECT 1', 'INSERT 2', 'COMMIT'):
        context.driver.run(sql)


@then('the gate got SELECT, BEGIN, INSERT and COMMIT')
def check_sequence(context: Any) -> None:
    words = [request.sql.split()[0] for request in context.bench.seen]
    assert words == ['SELECT', 'BEGIN', 'INSERT', 'COMMIT'], words


@when('it prepares "{sql}"')
def run_prepared(context: Any, sql: str) -> None:
    cursor = context.driver.connection.cursor(prepared=True)
    moment = datetime(2024, 5, 6, 7, 8, 9, 10)
    bound = (-2, "' OR 1=1; -- \\", b'\x00\xff', moment, None)
    cursor.execute(sql, bound)
    context.rows = cursor.fetchall()


@then('the gate got the parameters as literals')
def check_literals(context: Any) -> None:
    sql = context.bench.seen[-1].sql
    expected = (
        r"SELECT '?', 5- -2, ''' OR 1=1; -- \\' /* ? */ WHERE a = x'00ff' "
        + "AND b = '2024-05-06 07:08:09.000010' AND c = NULL"
    )
    assert sql == expected, sql
    assert context.rows == [(7, SONG, Decimal('1.50'), None)], context.rows


@when('it changes to group "{group}"')
def change_group(context: Any, group: str) -> None:
    context.driver.connection.select_db(group)


@then('the gate opened "{group}" and got the token of "{left}"')
def check_carried(context: Any, group: str, left: str) -> None:
    session = context.bench.gate.sessions[-1]
    assert session.group == group
    assert session.seen[0].token == f'token-{left}'
    assert not session.in_transaction


@then('the change is refused while a transaction is open')
def check_change_refused(context: Any) -> None:
    context.driver.run('BEGIN')
    failure = expect_failure(context.driver, 'USE songbook')
    assert failure.code == 1179, failure


@when(
    'it sets the request id "{request_id}" and writes '
    + '"{one}", "{two}", "{three}"',
)
def write_with_id(
    context: Any,
    request_id: str,
    one: str,
    two: str,
    three: str,
) -> None:
    driver = context.driver
    driver.run(f"SET @sedgeshunt_request_id = '{request_id}'")
    expect_failure(driver, f"INSERT '{one}'")
    driver.run(f"INSERT '{two}'")
    driver.run(f"INSERT '{three}'")


@then('the gate got the request ids "{one}", "{two}", none')
def check_request_ids(context: Any, one: str, two: str) -> None:
    found = [request.request_id for request in context.bench.seen]
    assert found == [one, two, None], found


@when('the proxy learns its groups only after the driver has connected')
def learn_late(context: Any) -> None:
    context.bench.gate.is_ready = False
    context.driver = context.connect()
    failure = expect_failure(context.driver, 'SELECT 1')
    assert failure.code == 1205, failure
    context.bench.gate.is_ready = True


@then('its next statement is served on the same connection')
def check_served(context: Any) -> None:
    assert context.driver.run('SELECT 1')
