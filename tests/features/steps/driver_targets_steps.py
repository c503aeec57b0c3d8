"""Check the driver towards targets."""

from asyncio import sleep, timeout
from contextlib import AsyncExitStack
from typing import Any

from behave import given, then, when

from sedgeshunt.adapters.targets import MysqlConnector
from sedgeshunt.exceptions import (
    FenceRefused,
    TargetBusy,
    TargetGone,
    TargetReadOnly,
    TargetRejected,
    TargetUnreachable,
)
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    GroupId,
    Position,
    Seconds,
    TargetId,
    Term,
    ZoneId,
)
from sedgeshunt.ports import Address
from tests.features.driver_bench import LOOPBACK, expect, open_loop
from tests.standins.databases import Limits
from tests.standins.engine import DatabaseGroup
from tests.standins.mysql_front import MysqlFront

GROUP = GroupId('songbook')
ADA, BOB = TargetId('ada'), TargetId('bob')
CONNECTIONS = 4
SCHEMA = ('CREATE TABLE queue (id INTEGER PRIMARY KEY, song TEXT, tape BLOB)',)


@given('a target listens as the drivers of the proxy expect')
def serve_targets(context: Any) -> None:
    owned = open_loop(context)
    context.loop.run(start_targets(context, owned))


async def start_targets(context: Any, owned: AsyncExitStack) -> None:
    zones: dict[str, str] = {ADA: 'kg-gasabo', BOB: 'kg-kicukiro'}
    context.group = DatabaseGroup(
        zones,
        limits=Limits(connection_limit=CONNECTIONS),
    )
    context.group.load_schema(SCHEMA)
    context.group.start(ADA)
    context.addresses = {}
    for name in (ADA, BOB):
        front = MysqlFront(context.group[name])
        await front.start()
        owned.callback(front.stop)
        context.addresses[name] = Address(LOOPBACK, front.port)
    context.connector = MysqlConnector(ZoneId('kg-gasabo'), '')


async def connect(context: Any, name: TargetId) -> Any:
    address = context.addresses[name]
    return await context.connector.connect(name, address, GROUP)


@when('a statement is given up while the target is frozen')
def give_up(context: Any) -> None:
    async def ask_frozen() -> None:
        context.connection = await connect(context, ADA)
        await context.connection.execute('SELECT 1')
        context.group[ADA].freeze()
        async with timeout(0.2):
            await context.connection.execute('SELECT 2')

    context.loop.run(expect(TimeoutError, ask_frozen()))
    context.group[ADA].thaw()


@then('the next use of that connection is refused as not sent')
def check_gone(context: Any) -> None:
    again = context.connection.execute('SELECT 3')
    context.loop.run(expect(TargetGone, again))


@then("the target's own refusals come with their codes")
def check_codes(context: Any) -> None:
    async def check() -> None:
        ada, bob = await connect(context, ADA), await connect(context, BOB)
        wrong = await expect(TargetRejected, ada.execute('SELEC 1'))
        assert (wrong.code, wrong.sqlstate) == (1064, '42000'), wrong
        write = "INSERT INTO queue (song) VALUES ('x')"
        assert (await expect(TargetReadOnly, bob.execute(write))).code == 1290
        # A refusal leaves the connection good.
        await ada.execute('SELECT 1')
        opened = [await connect(context, BOB) for _ in range(CONNECTIONS - 1)]
        await expect(TargetBusy, connect(context, BOB))
        for connection in opened:
            await connection.close()
        context.group[BOB].kill()
        await sleep(0.1)
        await expect(TargetGone, bob.execute('SELECT 1'))
        await expect(TargetUnreachable, connect(context, BOB))

    context.loop.run(check())


@then('rows come through as the target wrote them')
def check_rows(context: Any) -> None:
    async def check() -> None:
        ada = await connect(context, ADA)
        told = await ada.execute(
            "INSERT INTO queue (song, tape) VALUES ('é', x'00ff')",
        )
        assert (told.affected_rows, told.last_insert_id) == (1, 1), told
        assert told.point == Point(Term(1), Position(2)), told
        read = await ada.execute('SELECT id, song, tape, NULL FROM queue')
        assert list(read.rows) == [('1', 'é', b'\x00\xff', None)], read
        assert read.columns[2].definition, read

    context.loop.run(check())


@then("a fence below the target's term is refused with that term")
def check_fence(context: Any) -> None:
    async def check() -> None:
        control = await context.connector.connect_control(
            ADA,
            context.addresses[ADA],
            GROUP,
        )
        status = await control.read_status(None, Seconds(1))
        assert status == await control.read_status(status, Seconds(0.05))
        refused = await expect(FenceRefused, control.fence(Term(1)))
        assert refused.current_term == 1
        assert (await control.fence(Term(4))).fencing_term == 4
        await control.close()

    context.loop.run(check())
