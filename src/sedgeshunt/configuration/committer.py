"""Commit a change and determine whether it took effect."""

from asyncio import sleep, timeout
from random import Random

from sedgeshunt.configuration.history import ChangeHistory, ChangeLookup
from sedgeshunt.configuration.store import Transaction
from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.identifiers import Revision, Seconds
from sedgeshunt.ports import CommitResult, KeyValueService

MAX_ATTEMPTS = 6
ANSWER_TIMEOUT = Seconds(5)
FIRST_RETRY_DELAY = Seconds(0.2)
MAX_RETRY_DELAY = Seconds(2)


class Committer:
    """Commit transactions despite lost answers."""

    def __init__(self, platform: KeyValueService, random: Random) -> None:
        """Commit to `platform`; `random` adds jitter to the retries."""
        self._platform = platform
        self._history = ChangeHistory(platform)
        self._random = random

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Commit exactly once; raise PlatformUnavailable or AnswerLost."""
        # An answer can be lost after the change took effect, and the change
        # can still be in flight when its record is not found. Retrying the
        # transaction is idempotent: it requires an unchanged head and moves
        # it, so it takes effect at most once, and a refusal without a record
        # proves that no copy of it can take effect later.
        delay = FIRST_RETRY_DELAY
        sent = False
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._commit(transaction, sent=sent)
            if outcome is not None and (outcome.succeeded or not sent):
                return outcome
            sent = True
            confirmed = await self._look_up_outcome(transaction, outcome)
            if confirmed is not None:
                return confirmed
            await sleep(delay * self._random.uniform(0.5, 1))
            delay = min(MAX_RETRY_DELAY, Seconds(delay * 2))
        raise AnswerLost(transaction.change)

    async def _commit(
        self,
        transaction: Transaction,
        *,
        sent: bool,
    ) -> CommitResult | None:
        try:
            async with timeout(ANSWER_TIMEOUT):
                return await self._platform.commit(
                    transaction.compares,
                    transaction.changes,
                )
        except (AnswerLost, TimeoutError):
            return None
        except PlatformUnavailable:
            if sent:
                return None
            raise

    async def _look_up_outcome(
        self,
        transaction: Transaction,
        refused: CommitResult | None,
    ) -> CommitResult | None:
        try:
            async with timeout(ANSWER_TIMEOUT):
                lookup = await self._history.find_change(transaction.change)
        except (PlatformUnavailable, TimeoutError):
            return None
        if lookup.found is not None:
            return CommitResult(
                succeeded=True,
                revision=lookup.found.revision,
            )
        if refused is None or _is_older(lookup, refused.revision):
            return None
        return refused


def _is_older(lookup: ChangeLookup, revision: Revision) -> bool:
    # A lagging member of the store may not show the record yet.
    return lookup.as_of < revision
