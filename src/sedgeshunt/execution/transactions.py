"""Keep the transactions that callers have open at targets."""

from abc import ABC, abstractmethod

from msgspec import Struct
from result import Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.session_pool import SessionLoan
from sedgeshunt.identifiers import Monotonic, Seconds, TransactionId
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.statements.call import StatementCall

# Undoing a transaction takes one round trip to its target; one that takes
# longer is undone by closing its connection.
ROLLBACK_TIMEOUT = Seconds(0.5)


class TransactionExecutor(ABC):
    """Run the statements of transactions at one target."""

    # Those that are open there.
    transactions: set['OpenTransaction']
    # What it answers from now on must not be passed on.
    is_abandoned: bool

    @abstractmethod
    async def run_inside(
        self,
        loan: SessionLoan,
        call: StatementCall,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run one statement of the transaction that is open on `loan`."""

    @abstractmethod
    async def roll_back(self, loan: SessionLoan, deadline: Monotonic) -> None:
        """Undo a lent session's transaction; it stays in doubt if it fails."""


class OpenTransaction(Struct, eq=False):
    """Hold one transaction with the session that it alone may use."""

    id: TransactionId
    executor: TransactionExecutor
    loan: SessionLoan
    used_at: Monotonic
    # It runs at the primary, which only the group's owner may use.
    is_at_primary: bool = False
    # A statement of it is under way.
    is_busy: bool = False

    async def end(self) -> None:
        """Return the session; one in doubt is closed and so undone."""
        self.executor.transactions.discard(self)
        await self.loan.give_back()

    async def abort(self) -> None:
        """Undo it at once by closing its connection."""
        self.loan.session.is_clean = False
        await self.end()

    async def roll_back(self) -> None:
        """Roll it back and return the session."""
        if self.loan.session.is_clean:
            deadline = Monotonic(read_clock() + ROLLBACK_TIMEOUT)
            await self.executor.roll_back(self.loan, deadline)
        await self.end()


class TransactionHost(ABC):
    """Keep transactions open for others."""

    @abstractmethod
    async def end_transaction(
        self,
        transaction: TransactionId,
        transactions: 'TransactionTable',
    ) -> None:
        """Undo a transaction that its caller gives up."""


class TransactionTable:
    """Hold the open transactions of one origin: a caller or a peer."""

    def __init__(self) -> None:
        """Start with none."""
        self._open: dict[TransactionId, OpenTransaction] = {}
        # Transactions that were passed on, and to whom.
        self._relayed: dict[TransactionId, TransactionHost] = {}

    def add(self, transaction: OpenTransaction) -> None:
        """Keep a transaction that was just begun."""
        self._open[transaction.id] = transaction

    def get(self, transaction: TransactionId) -> OpenTransaction | None:
        """Return a transaction, None if it is not open here."""
        return self._open.get(transaction)

    def remove(self, transaction: OpenTransaction) -> None:
        """Forget a transaction that has ended."""
        self._open.pop(transaction.id, None)

    def add_relayed(
        self,
        transaction: TransactionId,
        host: TransactionHost,
    ) -> None:
        """Keep who has a transaction that was passed on."""
        self._relayed[transaction] = host

    def is_relayed(self, transaction: TransactionId) -> bool:
        """Tell whether a transaction was passed on."""
        return transaction in self._relayed

    async def roll_back(self, name: TransactionId) -> None:
        """Undo one transaction, wherever it is open."""
        host = self._relayed.pop(name, None)
        if host is not None:
            await host.end_transaction(name, self)
        transaction = self._open.pop(name, None)
        if transaction is not None:
            await transaction.roll_back()

    async def roll_back_all(self) -> None:
        """Undo what is left when the origin has gone."""
        for name in (*self._relayed, *self._open):
            await self.roll_back(name)
