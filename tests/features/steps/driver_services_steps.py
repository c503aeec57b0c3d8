"""Check the links to the platform and between proxies."""

from asyncio import create_task, gather, sleep
from collections.abc import Sequence
from contextlib import AsyncExitStack
from socket import AF_INET, SOCK_DGRAM, socket
from typing import Any
from unittest.mock import patch

from aiohttp.web import Application, AppRunner, TCPSite
from behave import given, then, when

from sedgeshunt.adapters.peer_server import ThriftPeerServer
from sedgeshunt.adapters.peers import ThriftPeerConnector
from sedgeshunt.adapters.platform import EtcdGateway
from sedgeshunt.adapters.statsd_metrics import StatsdMetrics
from sedgeshunt.exceptions import (
    AnswerLost,
    PeerUnreachable,
    PlatformUnavailable,
)
from sedgeshunt.identifiers import (
    GroupId,
    ProxyId,
    Revision,
    Seconds,
    TargetId,
    Term,
    ZoneId,
)
from sedgeshunt.metrics import CountingMetrics
from sedgeshunt.ports import (
    Address,
    Compare,
    ConfigurationCopy,
    Delete,
    PeerService,
    PrimaryReport,
    ProxyReport,
    Put,
    WatchCompacted,
    WatchEvent,
)
from tests.features.driver_bench import LOOPBACK, expect, open_loop
from tests.standins.network import Network
from tests.standins.platform import KeyValueStandIn
from tests.standins.platform_front import GatewayFront

GROUP = GroupId('songbook')
ADA = TargetId('ada')


@given('a key-value service listens as its gateway does')
def serve_gateway(context: Any) -> None:
    owned = open_loop(context)
    context.loop.run(start_gateway(context, owned))


async def start_gateway(context: Any, owned: AsyncExitStack) -> None:
    context.service = KeyValueStandIn(Network())
    application = Application()
    GatewayFront(context.service).add_routes(application)
    runner = AppRunner(application, handler_cancellation=True)
    await runner.setup()
    owned.push_async_callback(runner.cleanup)
    await TCPSite(runner, LOOPBACK, 0, shutdown_timeout=1).start()
    port = runner.addresses[0][1]
    # Nobody listens at the first address.
    context.gateway = EtcdGateway(LOOPBACK, 1, [Address(LOOPBACK, port)])
    owned.push_async_callback(context.gateway.close)


@then('a lost answer names its change and a refused call changes nothing')
def check_lost(context: Any) -> None:
    async def check() -> None:
        gateway = context.gateway
        first = [Compare('/o/a', Revision(0))]
        made = await gateway.commit(first, [Put('/o/a', b'\xff')])
        assert made.succeeded, made
        assert not (await gateway.commit(first, [Delete('/o/a')])).succeeded
        context.service.lose_next_answers(1)
        changes = [Put('/o/b', b'2'), Put('/changes/c7', b'who')]
        lost = await expect(AnswerLost, gateway.commit([], changes))
        assert lost.change == 'c7', lost
        context.service.outage()
        await expect(PlatformUnavailable, gateway.commit([], changes))
        context.service.recover()
        listing = await gateway.list_prefix('/o/')
        found = [(pair.key, pair.value) for pair in listing.pairs]
        assert found == [('/o/a', b'\xff'), ('/o/b', b'2')], listing
        granted = await gateway.grant_lease(Seconds(1.5))
        assert granted.ttl == 2, granted
        lease = granted.id
        assert await gateway.keep_lease(lease)
        await gateway.revoke_lease(lease)
        assert not await gateway.keep_lease(lease)

    context.loop.run(check())


@then('a watch goes on across a silence and ends when it is compacted')
def check_watch(context: Any) -> None:
    async def check() -> None:
        seen: list[Sequence[WatchEvent]] = []
        start = (await context.gateway.list_prefix('/o/')).revision
        watching = create_task(follow(context.gateway, start, seen))
        await sleep(0.6)
        await context.gateway.commit([], [Put('/o/c', b'x' * 500_000)])
        await context.gateway.commit([], [Delete('/o/a')])
        await sleep(0.3)
        watching.cancel()
        events = [event for batch in seen for event in batch]
        assert [event.key for event in events] == ['/o/c', '/o/a'], events
        assert events[1].value is None
        context.service.store.compact()
        await expect(WatchCompacted, follow(context.gateway, start, seen))

    with patch('sedgeshunt.adapters.platform.WATCH_SILENCE', 0.2):
        context.loop.run(check())


async def follow(
    gateway: EtcdGateway,
    start: Revision,
    seen: list[Sequence[WatchEvent]],
) -> None:
    async for batch in gateway.watch('/o/', start):
        seen.append(batch)


class SmallPeer(PeerService):
    """Answer with fixed words, or too late."""

    def __init__(self) -> None:
        """Know of nobody who leaves."""
        self.left = ''

    async def report(self) -> ProxyReport:
        """Tell a fixed report."""
        zone = ZoneId('mvd-a')
        return ProxyReport(ProxyId('p2'), zone, Revision(7), True, b'{}')

    async def report_primary(self, group: GroupId) -> PrimaryReport:
        """Know a primary of one group only."""
        if group != GROUP:
            return PrimaryReport(group, Term(0), None, None)
        return PrimaryReport(group, Term(3), ADA, Seconds(0.25))

    async def copy_configuration(
        self,
        known: Revision,
    ) -> ConfigurationCopy | None:
        """Know revision 7."""
        if known >= 7:
            return None
        return ConfigurationCopy(Revision(7), b'\x00\xff')

    async def announce_leaving(self, name: str) -> None:
        """Keep the name."""
        self.left = name

    async def explain(self, question: bytes) -> bytes:
        """Fail, answer late, or repeat the question."""
        if question == b'fail':
            raise RuntimeError('a fault of the peer')
        if question == b'late':
            await sleep(0.5)
        return question

    async def copy_tallies(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> Sequence[bytes]:
        """Repeat what was asked for."""
        return [*map(str.encode, proxies), str(since).encode(), b'\xff']


@given('two proxies are linked by thrift')
def link_proxies(context: Any) -> None:
    owned = open_loop(context)
    context.peer = SmallPeer()
    server = ThriftPeerServer(Address(LOOPBACK, 0), context.peer)
    context.loop.run(server.start())
    owned.push_async_callback(server.stop)
    connecting = ThriftPeerConnector().connect(server.address)
    context.link = context.loop.run(connecting)


@then('all calls come back with what the peer said')
def check_calls(context: Any) -> None:
    async def check() -> None:
        link, peer = context.link, context.peer
        assert await link.report() == await peer.report()
        for group in (GROUP, GroupId('none')):
            told = await peer.report_primary(group)
            assert await link.report_primary(group) == told
        for known in (Revision(6), Revision(7)):
            copied = await peer.copy_configuration(known)
            assert await link.copy_configuration(known) == copied
        await link.announce_leaving('p9')
        assert peer.left == 'p9'
        for proxies in ((), (ProxyId('p1'), ProxyId('p2'))):
            counted = await peer.copy_tallies(Seconds(0.5), proxies)
            assert await link.copy_tallies(Seconds(0.5), proxies) == counted
        failed = await expect(PeerUnreachable, link.explain(b'fail'))
        assert 'a fault of the peer' in failed.reason, failed
        questions = [b'a', b'\xff', b'']
        asked = (link.explain(question) for question in questions)
        assert await gather(*asked) == questions

    context.loop.run(check())


@then('a call that takes too long ends the link')
def check_late(context: Any) -> None:
    async def check() -> None:
        late = context.link.explain(b'late')
        await expect(PeerUnreachable, late)
        await sleep(0.5)
        await expect(PeerUnreachable, context.link.explain(b'next'))

    with patch('sedgeshunt.adapters.peers.CALL_TIMEOUT', 0.1):
        context.loop.run(check())


@given('metrics go to a statsd that listens')
def serve_statsd(context: Any) -> None:
    context.statsd = socket(AF_INET, SOCK_DGRAM)
    context.add_cleanup(context.statsd.close)
    context.statsd.bind((LOOPBACK, 0))
    context.statsd.settimeout(0.5)
    port = context.statsd.getsockname()[1]
    context.sending = StatsdMetrics(Address(LOOPBACK, port), 'sedgeshunt')
    context.add_cleanup(context.sending.close)
    context.metrics = CountingMetrics(context.sending)


@when('{count:d} statements of {span:d} ms are counted and one level is set')
def measure(context: Any, count: int, span: int) -> None:
    for _ in range(count):
        context.metrics.count('requests.done')
        context.metrics.time('requests.time', Seconds(span / 1000))
    context.metrics.gauge('callers', 7)


@then('one flush tells {count:d} statements, {times:d} times and the level')
def check_flush(context: Any, count: int, times: int) -> None:
    context.sending.flush()
    lines = read_datagrams(context.statsd)
    assert f'sedgeshunt.requests.done:{count}|c' in lines, lines
    assert lines.count('sedgeshunt.requests.time:2.000000|ms') == times, lines
    assert 'sedgeshunt.callers:7|g' in lines, lines


def read_datagrams(statsd: socket) -> list[str]:
    try:
        datagram = statsd.recv(4096)
    except TimeoutError:
        return []
    return datagram.decode().split('\n') + read_datagrams(statsd)


@then('the counts are kept for reports')
def check_counts(context: Any) -> None:
    assert context.metrics.read_counts() == {'requests.done': 1000}
