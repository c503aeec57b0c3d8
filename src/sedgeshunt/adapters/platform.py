"""Reach the platform's key-value service."""

from asyncio import sleep
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import contextmanager, suppress
from math import ceil
from random import uniform
from typing import Any

from sedgeshunt.adapters.gateway_documents import (
    Document,
    make_range,
    make_transaction,
    make_watch,
    read_events,
    read_listing,
    read_revision,
)
from sedgeshunt.adapters.json_client import (
    CallFailed,
    CallRefused,
    JsonClient,
    NotFound,
)
from sedgeshunt.decoding import MALFORMED
from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.identifiers import Revision, Seconds
from sedgeshunt.ports import (
    Address,
    CommitResult,
    Compare,
    Delete,
    GrantedLease,
    KeyValueService,
    Listing,
    Put,
    WatchCompacted,
    WatchEvent,
)

# A watch that was cut off in silence is armed again after so long; jitter
# keeps all proxies from doing so at once.
WATCH_SILENCE = Seconds(60)
SHORTEST_SHARE = 0.75
REARM_PAUSE = Seconds(0.05)
UNREADABLE = (CallFailed, *MALFORMED)


class EtcdGateway(KeyValueService):
    """Speak the JSON form of etcd's third protocol."""

    def __init__(
        self,
        host: str,
        port: int,
        others: Sequence[Address] = (),
    ) -> None:
        """Use `others` in turn when the first address can't be reached."""
        self._client = JsonClient([Address(host, port), *others])

    async def list_prefix(
        self,
        prefix: str,
        *,
        may_be_old: bool = False,
    ) -> Listing:
        """Read all pairs under `prefix`; raise PlatformUnavailable."""
        with _explaining():
            return read_listing(
                await self._client.post('/v3/kv/range', make_range(prefix)),
            )

    async def commit(
        self,
        compares: Sequence[Compare],
        changes: Sequence[Put | Delete],
    ) -> CommitResult:
        """Apply all or nothing; raise PlatformUnavailable or AnswerLost."""
        body = make_transaction(compares, changes)
        with _explaining(_name_change(changes)):
            answer = await self._client.post('/v3/kv/txn', body)
            return CommitResult(
                bool(answer.get('succeeded')),
                read_revision(answer),
            )

    async def watch(
        self,
        prefix: str,
        after: Revision,
    ) -> AsyncIterator[Sequence[WatchEvent]]:
        """Yield changes past `after`; raise PlatformUnavailable at its end.

        Raise WatchCompacted when `after` is no longer kept.
        """
        seen = after
        while True:
            async for batch in self._watch_once(prefix, seen):
                seen = max(event.revision for event in batch)
                yield batch
            await sleep(REARM_PAUSE)

    async def grant_lease(self, ttl: Seconds) -> GrantedLease:
        """Create a lease; raise PlatformUnavailable."""
        with _explaining():
            body = {'TTL': str(ceil(ttl))}
            granted = await self._client.post('/v3/lease/grant', body)
            return GrantedLease(
                int(granted['ID']), Seconds(float(granted['TTL']))
            )

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; tell False when it has lapsed."""
        with _explaining():
            body = {'ID': str(lease)}
            kept = await self._client.post('/v3/lease/keepalive', body)
            return int(kept['result'].get('TTL', 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        # A lease that is not there any more has ended.
        with _explaining(), suppress(NotFound):
            await self._client.post('/v3/lease/revoke', {'ID': str(lease)})

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _watch_once(
        self,
        prefix: str,
        after: Revision,
    ) -> AsyncIterator[Sequence[WatchEvent]]:
        silence = Seconds(WATCH_SILENCE * uniform(SHORTEST_SHARE, 1))
        body = make_watch(prefix, after)
        with _explaining():
            async with self._client.stream(
                '/v3/watch',
                body,
                silence,
            ) as lines:
                async for line in lines:
                    events = _read_line(line)
                    if events:
                        yield events


@contextmanager
def _explaining(change: str | None = None) -> Iterator[None]:
    try:
        yield
    except CallRefused as refusal:
        raise PlatformUnavailable(str(refusal)) from refusal
    except UNREADABLE as failure:
        # Taken for "not done", a change whose answer was lost would be made
        # again, over what others have changed since.
        if change is not None:
            raise AnswerLost(change) from failure
        raise PlatformUnavailable(str(failure)) from failure


def _read_line(line: Any) -> Sequence[WatchEvent]:
    document: Document = line.get('result', {})
    if 'error' in line:
        raise CallFailed(str(line['error']))
    if document.get('canceled'):
        if 'compact_revision' in document:
            raise WatchCompacted
        raise CallFailed('the watch was cancelled')
    return read_events(document)


def _name_change(changes: Sequence[Put | Delete]) -> str:
    # The last key written names the change, see the configuration's keys.
    puts = [change.key for change in changes if isinstance(change, Put)]
    keys = puts or [change.key for change in changes]
    return keys[-1].rpartition('/')[2] if keys else ''
