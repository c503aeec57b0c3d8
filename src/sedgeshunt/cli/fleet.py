"""Ask proxies what they run with."""

from asyncio import Semaphore, TaskGroup, timeout
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Generic, TypeVar

from sedgeshunt.configuration.objects import Proxy
from sedgeshunt.exceptions import PeerUnreachable
from sedgeshunt.identifiers import Seconds
from sedgeshunt.ports import Address, PeerConnection, PeerConnector

ANSWER_TIMEOUT = Seconds(1)
ASKED_AT_ONCE = 128

_Answer = TypeVar('_Answer')
Question = Callable[[PeerConnection], Awaitable[_Answer]]


@dataclass(frozen=True, slots=True)
class ProxyAnswer(Generic[_Answer]):
    """Hold one proxy's answer, or why there is none."""

    proxy: Proxy
    answer: _Answer | None
    failure: str = ''


class Fleet:
    """Put questions to many proxies within a bounded time."""

    def __init__(self, connector: PeerConnector) -> None:
        """Open a connection for each question."""
        self._connector = connector

    async def ask_all(
        self,
        proxies: Iterable[Proxy],
        question: Question[_Answer],
    ) -> list[ProxyAnswer[_Answer]]:
        """Return an answer or a failure for each proxy, in their order."""
        permits = Semaphore(ASKED_AT_ONCE)
        async with TaskGroup() as tasks:
            asked = [
                tasks.create_task(self._ask(proxy, question, permits))
                for proxy in proxies
            ]
        return [task.result() for task in asked]

    async def _ask(
        self,
        proxy: Proxy,
        question: Question[_Answer],
        permits: Semaphore,
    ) -> ProxyAnswer[_Answer]:
        try:
            async with permits, timeout(ANSWER_TIMEOUT):
                return ProxyAnswer(proxy, await self._call(proxy, question))
        except TimeoutError:
            return ProxyAnswer(proxy, None, f'no answer in {ANSWER_TIMEOUT} s')
        except PeerUnreachable as failure:
            return ProxyAnswer(proxy, None, failure.reason)

    async def _call(
        self,
        proxy: Proxy,
        question: Question[_Answer],
    ) -> _Answer:
        address = Address(proxy.host, proxy.peer_port)
        async with AsyncExitStack() as owned:
            connection = await self._connector.connect(address)
            owned.push_async_callback(connection.close)
            return await question(connection)
