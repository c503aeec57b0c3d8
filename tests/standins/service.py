"""Serve the key-value store over the emulated network."""

from asyncio import Task, create_task, shield, sleep
from collections import Counter
from collections.abc import AsyncGenerator, Callable
from itertools import groupby
from typing import TypeVar

from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.identifiers import Revision
from sedgeshunt.ports import WatchCompacted, WatchEvent
from tests.standins.keyvalues import KeyValueStore, Matcher
from tests.standins.network import PLATFORM, Network, Place

Value = TypeVar('Value')
ANSWER_TIME = 0.002


class KeyValueStandIn:
    """Serve one store over the emulated network and let it fail."""

    def __init__(self, network: Network | None = None) -> None:
        """Start up, with an empty store."""
        self.network = network or Network()
        self.store = KeyValueStore()
        # Calls by name, as the service's rates count them.
        self.counts: Counter[str] = Counter()
        self.down = False
        # A watch brings all that has changed at once, and each time that it
        # does so counts as a call, as with the users' platform.
        self.gathers = False
        # Watches hear nothing of what changes.
        self.is_deaf = False
        self.deaf_clients: set[str] = set()
        # Watches are told that what they begin after is not kept.
        self.refuses_watches = False
        self._delay = ANSWER_TIME
        self._answers_to_lose = 0
        self._commits_to_refuse = 0
        self._tasks: set[Task[object]] = set()

    def outage(self) -> None:
        """Refuse all calls and end all watches."""
        self.down = True
        self.store.changed.fire()

    def recover(self) -> None:
        """End an outage and answer at the usual speed."""
        self.down = False
        self._delay = ANSWER_TIME

    def slow(self, seconds: float) -> None:
        """Take so long for each answer."""
        self._delay = seconds

    def lose_next_answers(self, count: int) -> None:
        """Apply the next changes, but let their answers get lost."""
        self._answers_to_lose = count

    def refuse_next_commits(self, count: int) -> None:
        """Refuse the next changes, and nothing else."""
        self._commits_to_refuse = count

    def cut(self, zone: str) -> None:
        """Let nothing pass between the platform and a zone."""
        self.network.cut(PLATFORM.name, zone)

    def heal(self, zone: str | None = None) -> None:
        """End the cut from `zone`, or from all."""
        self.network.heal(PLATFORM.name, zone)

    async def answer(
        self,
        client: Place,
        name: str,
        action: Callable[[], Value],
    ) -> Value:
        """Run one call; raise PlatformUnavailable or AnswerLost."""
        # The service goes on with a call that its caller has given up.
        task = create_task(self._answer(client, name, action))
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return await shield(task)

    async def watch(
        self,
        client: Place,
        matches: Matcher,
        after: Revision,
    ) -> AsyncGenerator[list[WatchEvent], None]:
        """Yield changes past `after`, one list each or all together."""
        seen = after
        await self.answer(client, 'watch', lambda: None)
        while True:
            if self.down:
                raise PlatformUnavailable('watch ended')
            if self.refuses_watches:
                raise WatchCompacted
            if self.is_deaf or client.name in self.deaf_clients:
                await self.store.changed.wait()
                continue
            events = self.store.list_events(seen, matches)
            seen = max(seen, self.store.revision)
            if events:
                await self.network.cross(PLATFORM, client)
            if self.gathers and events:
                yield events
                self.counts['watch'] += 1
                continue
            for _, batch in groupby(events, lambda event: event.revision):
                yield list(batch)
            if seen >= self.store.revision and not self.down:
                await self.store.changed.wait()

    async def _answer(
        self,
        client: Place,
        name: str,
        action: Callable[[], Value],
    ) -> Value:
        await self.network.cross(client, PLATFORM)
        self.counts[name] += 1
        self._refuse_when_down()
        await sleep(self._delay)
        self._refuse_when_down()
        if name == 'commit' and self._commits_to_refuse:
            self._commits_to_refuse -= 1
            raise PlatformUnavailable('status 503')
        found = action()
        if name == 'commit' and self._answers_to_lose:
            self._answers_to_lose -= 1
            raise AnswerLost(name)
        await self.network.cross(PLATFORM, client)
        return found

    def _refuse_when_down(self) -> None:
        if self.down:
            raise PlatformUnavailable('connection refused')

    def _forget(self, task: Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Read it, so that a call nobody waits for may fail quietly.
            task.exception()
