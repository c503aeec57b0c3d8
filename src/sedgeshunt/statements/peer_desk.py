"""Do for peers what they can't do themselves."""

from asyncio import TaskGroup

from result import Err, Result

from sedgeshunt.connections.target_session import (
    LogRole,
    TargetSessionConnector,
)
from sedgeshunt.execution.group_access import GroupAccess
from sedgeshunt.execution.group_table import GroupTable
from sedgeshunt.execution.keeper_parts import PeerOpinions
from sedgeshunt.execution.statuses import STATUS_LIMIT, read_status
from sedgeshunt.execution.transactions import TransactionBook
from sedgeshunt.forwarding.messages import Beat, BeatReply
from sedgeshunt.forwarding.server import PeerDesk
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    ProxyId,
    Seconds,
    TargetId,
    TransactionId,
)
from sedgeshunt.membership.heartbeats import Heartbeats
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.requests.outcome import Answer, Cause, NotRun, Refusal
from sedgeshunt.statements.call import Access, StatementCall
from sedgeshunt.statements.owners import OwnerDirectory
from sedgeshunt.statements.sites import LocalSite

NOT_SERVED_RETRY = Seconds(0.2)


class LocalDesk(PeerDesk):
    """Run peers' calls, or pass them on, and answer their questions."""

    def __init__(
        self,
        groups: GroupTable,
        owners: OwnerDirectory,
        heartbeats: Heartbeats,
        configuration: LiveConfiguration,
        connector: TargetSessionConnector,
    ) -> None:
        """Work with what this proxy has."""
        self._groups = groups
        self._owners = owners
        self._heartbeats = heartbeats
        self._configuration = configuration
        self._connector = connector

    async def run_call(
        self,
        call: StatementCall,
        book: TransactionBook,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run a statement for a peer's caller, or pass it on to the owner."""
        access = self._groups.get(call.group)
        if access is None:
            return Err(
                NotRun(
                    Cause.NO_GROUP,
                    f'this proxy does not serve group {call.group}',
                    NOT_SERVED_RETRY,
                ),
            )
        if call.is_relayed or not _must_relay(access, call, book):
            return await access.run_call(call, book, deadline)
        return await self._relay(call, book, deadline)

    async def end_transaction(
        self,
        transaction: TransactionId,
        book: TransactionBook,
    ) -> None:
        """Undo a peer's transaction."""
        await book.undo(transaction)

    async def reaches(self, group: GroupId, target: TargetId) -> bool:
        """Tell whether a target that leads its group is reached from here."""
        access = self._groups.get(group)
        members = self._configuration.find_members(group)
        known = None if members is None else members.find(target)
        if known is None or access is None or self._heartbeats.is_stopping:
            return False
        if known == access.probe.find_recorded():
            if access.probe.is_unreachable():
                return False
        status = await read_status(self._connector, known)
        return status is not None and status.role is LogRole.PRIMARY

    def read_tip(self, group: GroupId) -> Point | None:
        """Return the log end of a group that is owned here."""
        return self._groups.read_tip(group)

    def answer_beat(self, beat: Beat) -> BeatReply:
        """Answer a heartbeat."""
        return self._heartbeats.answer(beat)

    async def _relay(
        self,
        call: StatementCall,
        book: TransactionBook,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        site = self._owners.find_direct(call.group)
        if site is None or isinstance(site, LocalSite):
            return Err(
                NotRun(
                    Cause.SUPERSEDED,
                    f'this proxy hears no owner of group {call.group}',
                    NOT_SERVED_RETRY,
                ),
            )
        if call.transaction is not None:
            book.note_relayed(call.transaction, site)
        return await site.run_call(call, book, deadline)


def _must_relay(
    access: GroupAccess,
    call: StatementCall,
    book: TransactionBook,
) -> bool:
    if call.transaction is not None and not call.begins:
        return book.is_relayed(call.transaction)
    return call.access is Access.PRIMARY and access.owner is None


class HeardOpinions(PeerOpinions):
    """Ask the peers that are heard."""

    def __init__(self, neighbours: Neighbours) -> None:
        """Ask among `neighbours`."""
        self._neighbours = neighbours

    async def find_reaching(
        self,
        group: GroupId,
        target: TargetId,
    ) -> ProxyId | None:
        """Return a peer that reaches a target that leads; None for none."""
        async with TaskGroup() as tasks:
            asked = {
                link.peer.name: tasks.create_task(
                    link.ask_reach(group, target, STATUS_LIMIT),
                )
                for link in self._neighbours.list_heard()
                if link.reaches_store and not link.is_stopping
            }
        reaching = (name for name, answer in asked.items() if answer.result())
        return min(reaching, default=None)
