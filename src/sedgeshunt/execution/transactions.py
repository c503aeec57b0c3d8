"""Track the transactions that callers have open at targets."""

from abc import ABC, abstractmethod

from msgspec import Struct
from result import Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.session_pool import AcquiredSession
from sedgeshunt.identifiers import Monotonic, Seconds, TransactionId
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.statements.call import StatementCall

# A rollback takes one round trip to the target. If it takes longer than this,
# the connection is closed instead.
ROLLBACK_TIMEOUT = Seconds(0.5)


class TransactionExecutor(ABC):
    """Run the statements of transactions at one target."""

    # The transactions that are open at the target.
    transactions: set['OpenTransaction']
    # Replies of the target must no longer be passed on.
    is_abandoned: bool

    @abstractmethod
    async def run_inside(
        self,
        session_handle: AcquiredSession,
        call: StatementCall,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run one statement of the transaction open on `session_handle`."""

    @abstractmethod
    async def roll_back(
        self, session_handle: AcquiredSession, deadline: Monotonic
    ) -> None:
        """Roll back the transaction of an acquired session.

        If that fails, the session is not clean and gets closed.
        """


class OpenTransaction(Struct, eq=False):
    """Hold one transaction and its exclusive session."""

    id: TransactionId
    executor: TransactionExecutor
    session_handle: AcquiredSession
    used_at: Monotonic
    # The transaction runs at the primary, which only the owner may use.
    is_at_primary: bool = False
    # A statement of the transaction is running.
    is_busy: bool = False

    async def end(self) -> None:
        """Return the session, or close it if its state is uncertain."""
        self.executor.transactions.discard(self)
        await self.session_handle.release()

    async def abort(self) -> None:
        """Abort the transaction at once by closing its connection."""
        self.session_handle.session.invalidate()
        await self.end()

    async def roll_back(self) -> None:
        """Roll the transaction back and return the session."""
        if self.session_handle.session.is_clean:
            deadline = Monotonic(read_clock() + ROLLBACK_TIMEOUT)
            await self.executor.roll_back(self.session_handle, deadline)
        await self.end()


class TransactionHost(ABC):
    """Hold transactions that were relayed to this host."""

    @abstractmethod
    async def end_transaction(
        self,
        transaction: TransactionId,
        transactions: 'TransactionTable',
    ) -> None:
        """Roll back a transaction that its caller gave up."""


class TransactionTable:
    """Hold the open transactions of one caller or peer."""

    def __init__(self) -> None:
        """Start without transactions."""
        self._open: dict[TransactionId, OpenTransaction] = {}
        # Hosts of relayed transactions.
        self._relayed: dict[TransactionId, TransactionHost] = {}

    @property
    def has_open(self) -> bool:
        """Return whether a transaction is open here."""
        return bool(self._open)

    def add(self, transaction: OpenTransaction) -> None:
        """Add a transaction that was just begun."""
        self._open[transaction.id] = transaction

    def get(self, transaction: TransactionId) -> OpenTransaction | None:
        """Return a transaction, None if it is not open here."""
        return self._open.get(transaction)

    def remove(self, transaction: OpenTransaction) -> None:
        """Remove a transaction that has ended."""
        self._open.pop(transaction.id, None)

    def add_relayed(
        self,
        transaction: TransactionId,
        host: TransactionHost,
    ) -> None:
        """Record the host of a relayed transaction."""
        self._relayed[transaction] = host

    def is_relayed(self, transaction: TransactionId) -> bool:
        """Return whether a transaction was relayed."""
        return transaction in self._relayed

    async def roll_back(self, name: TransactionId) -> None:
        """Roll back one transaction, here or at its host."""
        host = self._relayed.pop(name, None)
        if host is not None:
            await host.end_transaction(name, self)
        transaction = self._open.pop(name, None)
        if transaction is not None:
            await transaction.roll_back()

    async def roll_back_all(self) -> None:
        """Roll back all transactions after the caller or peer has gone."""
        for name in (*self._relayed, *self._open):
            await self.roll_back(name)
