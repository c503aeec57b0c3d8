"""Run calls at a site: this proxy or a peer."""

from abc import abstractmethod

from msgspec.structs import replace
from result import Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.execution.group_access import GroupAccess
from sedgeshunt.execution.transactions import (
    TransactionHost,
    TransactionTable,
)
from sedgeshunt.forwarding.link import PeerLink
from sedgeshunt.identifiers import Monotonic, Seconds, TransactionId
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.statements.call import StatementCall


class CallSite(TransactionHost):
    """Run calls at one proxy."""

    # The proxy's name in records.
    name: str

    @abstractmethod
    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run a call; `transactions` holds those opened at this proxy."""

    @abstractmethod
    def is_answering(self) -> bool:
        """Return whether the proxy has answered the latest heartbeats."""


class LocalSite(CallSite):
    """Run calls at this proxy."""

    def __init__(self, access: GroupAccess) -> None:
        """Run calls through `access`."""
        self.name = 'here'
        self._access = access

    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run a call at this proxy."""
        return await self._access.run_call(call, transactions, deadline)

    def is_answering(self) -> bool:
        """Return True: this proxy needs no heartbeat."""
        return True

    async def end_transaction(
        self,
        transaction: TransactionId,
        transactions: TransactionTable,
    ) -> None:
        """Roll back a transaction that its caller gave up."""
        await transactions.roll_back(transaction)


class PeerSite(CallSite):
    """Run calls at a peer, or relay them through it to the owner."""

    def __init__(self, link: PeerLink, *, is_relay: bool = False) -> None:
        """Send calls over `link`."""
        self.name = f'via {link.peer.name}' if is_relay else link.peer.name
        self._link = link
        self._is_relay = is_relay

    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Send a call to the peer."""
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
        """Ask the peer to roll back a transaction."""
        self._link.end_transaction(transaction)
