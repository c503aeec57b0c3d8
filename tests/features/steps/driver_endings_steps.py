"""Check how callers are turned away and let go."""

from socket import create_connection
from struct import pack
from time import sleep
from typing import Any

from behave import given, then, when

from sedgeshunt.identifiers import Seconds
from tests.features.driver_bench import LOOPBACK, DriverBench
from tests.features.driver_forms import DRIVERS, expect_failure

# Protocol 4.1, secure connection, a database and an authentication plugin.
LOGIN_FLAGS = 0x8A208
UTF8 = 45
ROW = (7, 'Malaika')


@given('a proxy with a small gate listens to users')
def serve_users(context: Any) -> None:
    context.bench = DriverBench({'singer': 'sesame'})
    context.add_cleanup(context.bench.close)


@given('callers "{one}", "{two}", "{three}" and "{four}" are connected')
def connect_callers(context: Any, **names: str) -> None:
    for name in names.values():
        driver = DRIVERS['PyMySQL'](
            context.bench.port,
            'songbook',
            context.bench.loop,
        )
        context.callers[name] = driver
        context.add_cleanup(driver.close)


@given('"{one}" and "{two}" have begun a transaction')
def begin_transactions(context: Any, one: str, two: str) -> None:
    for name in (one, two):
        context.callers[name].run('BEGIN')


@when('"{name}" runs a statement of 0.6 seconds and the proxy stops within 1 s')
def stop_server(context: Any, name: str) -> None:
    bench = context.bench
    asked = context.callers[name].connection
    # Send only: the answer is read once the proxy is stopping.
    asked._execute_command(3, "SELECT 'slow'")
    sleep(0.2)
    context.stopping = bench.loop.start(bench.server.stop(Seconds(1)))
    sleep(0.1)


@then('"{name}" commits while the proxy is stopping')
def commit_late(context: Any, name: str) -> None:
    context.callers[name].run('INSERT 1')
    context.callers[name].run('COMMIT')
    assert not context.stopping.done()


@then('"{name}" has got its answer')
def check_answer(context: Any, name: str) -> None:
    connection = context.callers[name].connection
    connection._read_query_result()
    assert connection._result.rows[0][:2] == ROW


@then('the next statement of each caller fails with error {code:d}')
def check_all_told(context: Any, code: int) -> None:
    context.stopping.result(10)
    for name, driver in context.callers.items():
        failure = expect_failure(driver, 'INSERT 1')
        assert failure.code == code, (name, failure)


@then('a wrong password with a statement behind it gets error {code:d} alone')
def check_login(context: Any, code: int) -> None:
    login = make_login(
        b'singer\0',
        b'\x14wrongwrongwrongwrong',
        b'songbook\0mysql_native_password\0',
    )
    sent = frame(login, 1) + frame(b'\x03SELECT 1', 0)
    received = exchange(context, sent)
    size = int.from_bytes(received[:3], 'little')
    assert received[4] == 0xFF, received
    assert int.from_bytes(received[5:7], 'little') == code, received
    assert len(received) == size + 4, received
    assert not context.bench.gate.sessions


@then('a handshake without an end holds up nobody')
def check_handshake(context: Any) -> None:
    # The user's name has no end: it is taken as far as it goes, and the
    # caller is asked for a password; the next one is greeted meanwhile.
    address = (LOOPBACK, context.bench.port)
    with create_connection(address, timeout=5) as connection:
        connection.recv(4096)
        connection.sendall(frame(make_login(b'no end'), 1))
        assert connection.recv(4096)[4] == 0xFE
        with create_connection(address, timeout=5) as other:
            assert b'sedgeshunt' in other.recv(4096)


def make_login(*parts: bytes) -> bytes:
    head = pack('<IIB23x', LOGIN_FLAGS, 1 << 24, UTF8)
    return b''.join((head, *parts))


def frame(payload: bytes, number: int) -> bytes:
    header = len(payload) | number << 24
    return header.to_bytes(4, 'little') + payload


def exchange(context: Any, sent: bytes) -> bytes:
    address = (LOOPBACK, context.bench.port)
    with create_connection(address, timeout=5) as connection:
        connection.recv(4096)
        connection.sendall(sent)
        received = bytearray()
        while piece := connection.recv(4096):
            received += piece
    return bytes(received)
