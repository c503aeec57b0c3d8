"""Commit a change and find out whether it took effect."""

from asyncio import sleep, timeout
from random import Random

from sedgeshunt.configuration.history import ChangeHistory, ChangeLookup
from sedgeshunt.configuration.store import Transaction
from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.identifiers import Revision, Seconds
from sedgeshunt.ports import CommitResult, KeyValueService

ATTEMPTS = 6
ANSWER_TIMEOUT = Seconds(5)
FIRST_PAUSE = Seconds(0.2)
LONGEST_PAUSE = Seconds(2)


class Committer:
    """Commit transactions through lost answers."""

    def __init__(self, platform: KeyValueService, random: Random) -> None:
        """Commit to `platform`; `random` spreads the attempts."""
        self._platform = platform
        self._history = ChangeHistory(platform)
        self._random = random

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Commit once; raise PlatformUnavailable, or AnswerLost at the end."""
        # An answer can be lost after the change took effect, and the change
        # can still be under way while it is looked for in vain. Sending the
        # same transaction again is harmless: it demands that the head is
        # where it was and moves it, so it takes effect once at most, and its
        # refusal without a record proves that no copy of it ever will.
        pause = FIRST_PAUSE
        sent = False
        for _ in range(ATTEMPTS):
            outcome = await self._commit(transaction, sent=sent)
            if outcome is not None and (outcome.succeeded or not sent):
                return outcome
            sent = True
            settled = await self._look_up_outcome(transaction, outcome)
            if settled is not None:
                return settled
            await sleep(pause * self._random.uniform(0.5, 1))
            pause = min(LONGEST_PAUSE, Seconds(pause * 2))
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
    # A lagging member of the service may not show the record yet.
    return lookup.as_of < revision
