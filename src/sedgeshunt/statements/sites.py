"""Name the places where calls run: this instance, or a peer."""

from abc import abstractmethod

from msgspec.structs import replace
from result import Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.execution.group_access import GroupAccess
from sedgeshunt.execution.transactions import (
    TransactionTable,
    TransactionHost,
)
from sedgeshunt.forwarding.link import PeerLink
from sedgeshunt.identifiers import Monotonic, Seconds, TransactionId
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.statements.call import StatementCall


class CallSite(TransactionHost):
    """Run calls in one place."""

    # The proxy that runs them, for reports.
    name: str

    @abstractmethod
    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run a call; `transactions` keeps transactions that are run here."""

    @abstractmethod
    def is_answering(self) -> bool:
        """Return whether the place has answered the latest heartbeats."""


class LocalSite(CallSite):
    """Run calls at this instance."""

    def __init__(self, access: GroupAccess) -> None:
        """Run them by `access`."""
        self.name = 'here'
        self._access = access

    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run a call here."""
        return await self._access.run_call(call, transactions, deadline)

    def is_answering(self) -> bool:
        """Tell that it is here."""
        return True

    async def end_transaction(
        self,
        transaction: TransactionId,
        transactions: TransactionTable,
    ) -> None:
        """Undo a transaction that its caller gives up."""
        await transactions.roll_back(transaction)


class PeerSite(CallSite):
    """Run calls at a peer, or through it at the owner that it hears."""

    def __init__(self, link: PeerLink, *, is_relay: bool = False) -> None:
        """Run them over `link`."""
        self.name = f'via {link.peer.name}' if is_relay else link.peer.name
        self._link = link
        self._is_relay = is_relay

    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Have the peer run a call."""
        left = Seconds(max(0, deadline - read_clock()))
        sent = replace(call, time_left=left, is_relayed=not self._is_relay)
        return await self._link.call(sent, deadline)

    def is_answering(self) -> bool:
        """Return whether the peer has answered the latest heartbeats."""
        return self._link.is_answering()

    async def end_transaction(
        self,
        transaction: TransactionId,
        transactions: TransactionTable,
    ) -> None:
        """Have the peer undo a transaction."""
        self._link.end_transaction(transaction)
