"""Answer peers' requests and send requests to peers."""

from asyncio import gather
from collections.abc import Callable, Iterator
from itertools import compress

from result import Err, Result

from sedgeshunt.connections.target_session import (
    LogRole,
    TargetSessionConnector,
)
from sedgeshunt.customers.gate import QuotaGate
from sedgeshunt.customers.quotas import QuotaGrant, QuotaRequest
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import PlatformUnavailable
from sedgeshunt.execution.group_access import GroupAccess
from sedgeshunt.execution.group_table import GroupTable
from sedgeshunt.execution.primary_context import NextOwnerFinder
from sedgeshunt.execution.statuses import STATUS_TIMEOUT, read_status
from sedgeshunt.execution.transactions import TransactionTable
from sedgeshunt.forwarding.link import PeerLink
from sedgeshunt.forwarding.messages import (
    Heartbeat,
    HeartbeatReply,
    LeaseRenewal,
)
from sedgeshunt.forwarding.server import PeerRequestHandler
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    Era,
    GroupId,
    Monotonic,
    ProxyId,
    Revision,
    Seconds,
    TargetId,
    TransactionId,
    ZoneId,
)
from sedgeshunt.membership.feed_server import FeedServer
from sedgeshunt.membership.heartbeats import Heartbeats
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.ownership.lease import LeaseRelay
from sedgeshunt.ownership.ranking import rank_owners
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.registry.current_store import CurrentStore
from sedgeshunt.registry.feeds import ChangeReceiver
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Rejected,
)
from sedgeshunt.statements.call import Access, StatementCall
from sedgeshunt.statements.owners import OwnerDirectory
from sedgeshunt.statements.session import NO_CUSTOMER
from sedgeshunt.statements.sites import LocalSite

NOT_SERVED_RETRY = Seconds(0.2)
# A peer renews a lease with one request, which the store answers in 4 ms.
RENEWAL_TIMEOUT = Seconds(0.2)


class LocalRequestHandler(PeerRequestHandler):
    """Run or relay peers' calls and answer their queries."""

    def __init__(
        self,
        groups: GroupTable,
        owners: OwnerDirectory,
        heartbeats: Heartbeats,
        configuration: LiveConfiguration,
        connector: TargetSessionConnector,
        store: CurrentStore,
        feeds: FeedServer,
        gate: QuotaGate,
        decisions: DecisionLog,
    ) -> None:
        """Answer with the parts of this proxy."""
        self._decisions = decisions
        self._feeds = feeds
        self._gate = gate
        self._groups = groups
        self._owners = owners
        self._heartbeats = heartbeats
        self._configuration = configuration
        self._connector = connector
        self._store = store

    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run a statement for a peer's caller, or relay it to the owner."""
        access = self._groups.get(call.group)
        if access is None:
            return Err(
                NotRun(
                    Cause.NO_GROUP,
                    f'this proxy does not serve group {call.group}',
                    NOT_SERVED_RETRY,
                ),
            )
        is_begun = call.transaction is not None and not call.begins
        if not (is_begun or self._configuration.is_key_valid(call.identity)):
            reason = f'the key {call.identity.key} was taken away'
            return Err(Rejected(0, NO_CUSTOMER, reason))
        if call.is_relayed or not _must_relay(access, call, transactions):
            return await access.run_call(call, transactions, deadline)
        return await self._relay(call, transactions, deadline)

    def record_cut(self, call: StatementCall) -> None:
        """Record that a peer's call was ended without an answer."""
        reasons = {'statement': call.statement, 'kind': call.kind.value}
        self._decisions.record(
            Decision(DecisionKind.CALL_CUT, call.group, reasons=reasons)
        )

    async def end_transaction(
        self,
        transaction: TransactionId,
        transactions: TransactionTable,
    ) -> None:
        """Roll back a peer's transaction."""
        await transactions.roll_back(transaction)

    async def can_reach(self, group: GroupId, target: TargetId) -> bool:
        """Return whether this proxy reaches a target that is a primary."""
        access = self._groups.get(group)
        members = self._configuration.find_members(group)
        known = None if members is None else members.find(target)
        if known is None or access is None or self._heartbeats.is_stopping:
            return False
        if known == access.probe.find_recorded_primary():
            if access.probe.is_unreachable():
                return False
        status = await read_status(self._connector, known)
        return status is not None and status.role is LogRole.PRIMARY

    async def keep_lease(self, asked: LeaseRenewal) -> bool:
        """Renew a peer's lease in the store; return whether it is valid."""
        self._store.observe_era(asked.era)
        if asked.era != self._store.era:
            return False
        try:
            return await self._store.keep_lease(asked.lease)
        except PlatformUnavailable:
            return False

    async def grant_quota(self, request: QuotaRequest) -> QuotaGrant:
        """Count the operations that a customer begins at a peer."""
        return await self._gate.answer(request)

    def read_tip(self, group: GroupId) -> Point | None:
        """Return a group's log end, None unless it is owned here."""
        return self._groups.read_tip(group)

    def answer_heartbeat(self, beat: Heartbeat) -> HeartbeatReply:
        """Answer a heartbeat."""
        return self._heartbeats.answer(beat)

    def add_follower(self, receive: ChangeReceiver, after: Revision) -> None:
        """Forward the store's changes after a revision to a peer."""
        self._feeds.add_follower(receive, after)

    def remove_follower(self, receive: ChangeReceiver) -> None:
        """Stop forwarding changes to a peer."""
        self._feeds.remove_follower(receive)

    async def _relay(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        site = self._owners.find_direct_owner(call.group)
        if site is None or isinstance(site, LocalSite):
            return Err(
                NotRun(
                    Cause.SUPERSEDED,
                    f'this proxy hears no owner of group {call.group}',
                    NOT_SERVED_RETRY,
                ),
            )
        if call.transaction is not None:
            transactions.add_relayed(call.transaction, site)
        return await site.run_call(call, transactions, deadline)


def _must_relay(
    access: GroupAccess,
    call: StatementCall,
    transactions: TransactionTable,
) -> bool:
    if call.transaction is not None and not call.begins:
        return transactions.is_relayed(call.transaction)
    return call.access is Access.PRIMARY and access.owner is None


class ReachablePeers(NextOwnerFinder, LeaseRelay):
    """Query the peers that are in contact."""

    def __init__(
        self,
        neighbours: Neighbours,
        records: GroupRecords,
        find_zone: Callable[[GroupId], ZoneId | None],
    ) -> None:
        """Query `neighbours`; `find_zone` returns a primary's zone."""
        self._neighbours = neighbours
        self._records = records
        self._find_zone = find_zone

    async def find_peer_reaching(
        self,
        group: GroupId,
        target: TargetId,
    ) -> ProxyId | None:
        """Return a peer that reaches the primary `target`, None if none."""
        links = dict(self._list_capable())
        reached = await gather(
            *(
                link.ask_reachability(group, target, STATUS_TIMEOUT)
                for link in links.values()
            ),
        )
        return min(compress(links, reached), default=None)

    def find_next_owner(self, group: GroupId) -> ProxyId | None:
        """Return the best candidate that reaches the store, None if none."""
        record = self._records.find_record(group)
        if record is None:
            return None
        able = dict(self._list_capable())
        ranked = rank_owners(
            group,
            [able[name].peer for name in record.candidates if name in able],
            self._find_zone(group),
        )
        return ranked[0].name if ranked else None

    async def keep_lease(self, lease: int, era: Era) -> bool:
        """Return whether a peer has renewed a lease of the store's era."""
        asked = LeaseRenewal(lease, era)
        for _, link in self._list_capable():
            if await link.keep_lease(asked, RENEWAL_TIMEOUT):
                return True
        return False

    def _list_capable(self) -> Iterator[tuple[ProxyId, PeerLink]]:
        for link in self._neighbours.list_answering():
            if link.reaches_store and not link.is_stopping:
                yield link.peer.name, link
