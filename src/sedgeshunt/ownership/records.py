"""Claim groups, and keep what outlasts their owners, in the store."""

from collections.abc import Collection

from msgspec import Struct
from msgspec.structs import replace

from sedgeshunt.exceptions import (
    AnswerLost,
    LeaseLapsed,
    PlatformUnavailable,
)
from sedgeshunt.identifiers import (
    Boottime,
    CopyPlace,
    GroupId,
    Incarnation,
    OwnerToken,
    ProxyId,
    Revision,
    Seconds,
    TargetId,
    TargetLife,
    Term,
)
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.ports import (
    CommitResult,
    Compare,
    Delete,
    KeyValue,
    Put,
)
from sedgeshunt.registry.current_store import CurrentStore
from sedgeshunt.registry.entries import (
    GroupRecord,
    LeaderNote,
    OwnerEntry,
    ReplacementIntent,
    encode_entry,
    read_entry,
)
from sedgeshunt.registry.keys import (
    RECORDS_PREFIX,
    make_owner_key,
    make_record_key,
)
from sedgeshunt.registry.store_view import StoreView
from sedgeshunt.revisions import begin_era

ABSENT = Revision(0)
STORE_FAILURES = (PlatformUnavailable, AnswerLost, LeaseLapsed)


class _SeenGroup(Struct, frozen=True):
    """Hold what was last seen of a group, and the demand that it still is."""

    owner_key: str
    record_key: str
    owner: OwnerEntry | None
    record: GroupRecord | None
    compares: tuple[Compare, ...]


class GroupRecords:
    """Read and change the owners and records of groups."""

    def __init__(
        self,
        store: CurrentStore,
        view: StoreView,
        lease: InstanceLease,
        owner: ProxyId,
        incarnation: Incarnation,
    ) -> None:
        """Write as `owner` under `lease`."""
        self.owner = owner
        self.incarnation = incarnation
        self._store = store
        self._view = view
        self._lease = lease
        # What was known before the store came back from a copy.
        self._remembered: dict[GroupId, GroupRecord] = {}
        store.listen(self._remember)

    def reaches_store(self) -> bool:
        """Tell whether the store has answered of late."""
        return self._lease.reaches_store()

    def is_cut_off_from_store(self) -> bool:
        """Tell whether peers that count as reaching the store truly do."""
        return self._lease.is_cut_off_from_store()

    def has_prompt_store(self, since: Boottime) -> bool:
        """Tell whether the store answers quickly, and has since a moment."""
        return self._lease.has_prompt_store(since)

    def find_owner(self, group: GroupId) -> OwnerEntry | None:
        """Return who owns a group by the store, None for nobody."""
        pair = self._view.get(make_owner_key(group))
        return None if pair is None else read_entry(pair.value, OwnerEntry)

    def find_token(self, group: GroupId) -> OwnerToken:
        """Return the token of the present owner, 0 for none."""
        pair = self._view.get(make_owner_key(group))
        return OwnerToken(0 if pair is None else pair.revision)

    def find_record(self, group: GroupId) -> GroupRecord | None:
        """Return a group's record, None before its first owner."""
        pair = self._view.get(make_record_key(group))
        stored = None if pair is None else read_entry(pair.value, GroupRecord)
        return choose_newer(stored, self._remembered.get(group))

    def is_outdated(self, group: GroupId) -> bool:
        """Tell whether a group's latest claim may be one that was lost."""
        record = self.find_record(group)
        return record is not None and record.era < self._store.era

    def measure_era_age(self) -> Seconds:
        """Return for how long the store's newest era has been known."""
        return self._store.measure_era_age()

    def is_primary_uncertain(self, group: GroupId) -> bool:
        """Tell whether another target may have led since the one noted."""
        record = self.find_record(group)
        leader = None if record is None else record.leader
        return leader is not None and leader.era < self._store.era

    def find_intent(self, group: GroupId) -> ReplacementIntent | None:
        """Return the promotion that may be under way."""
        record = self.find_record(group)
        return None if record is None else record.intent

    def find_term(self, group: GroupId) -> Term:
        """Return the newest term in which a target is noted to lead."""
        record = self.find_record(group)
        leader = None if record is None else record.leader
        return Term(0) if leader is None else leader.term

    def find_copies(self, group: GroupId) -> frozenset[CopyPlace]:
        """Return where acknowledged writes may be, as far as noted."""
        record = self.find_record(group)
        return frozenset() if record is None else frozenset(record.copies)

    def is_own(self, entry: OwnerEntry | None) -> bool:
        """Tell whether this very process is an owner."""
        return entry == OwnerEntry(self.owner, self.incarnation)

    async def claim(
        self,
        group: GroupId,
        candidates: Collection[ProxyId],
        *,
        is_continued: bool = False,
    ) -> OwnerToken | None:
        """Become the owner, if the store still is as it was seen.

        A claim that `is_continued` is made by the owner itself. Raise
        PlatformUnavailable, AnswerLost or LeaseLapsed.
        """
        seen = self._read(group)
        claimed = self._make_record(
            seen.record or GroupRecord(group),
            candidates,
        )
        if is_continued:
            claimed = self._vouch(claimed)
        return await self._write_claim(seen, encode_entry(claimed))

    async def _write_claim(
        self,
        seen: _SeenGroup,
        record: bytes,
    ) -> OwnerToken | None:
        lease = self._lease.id
        if lease is None:
            raise LeaseLapsed
        # The owner's key may be that of an earlier process on this instance.
        owner = encode_entry(OwnerEntry(self.owner, self.incarnation))
        committed = await self._store.commit(
            seen.compares,
            (Put(seen.owner_key, owner, lease), Put(seen.record_key, record)),
        )
        if not self._accept(committed):
            return None
        self._record_write(seen.owner_key, owner, committed.revision)
        self._record_write(seen.record_key, record, committed.revision)
        return OwnerToken(committed.revision)

    def _vouch(self, claimed: GroupRecord) -> GroupRecord:
        """Return a record whose leader nobody can have replaced since."""
        if claimed.leader is None:
            return claimed
        leader = replace(claimed.leader, era=self._store.era)
        return replace(claimed, leader=leader)

    def _make_record(
        self,
        known: GroupRecord,
        candidates: Collection[ProxyId],
    ) -> GroupRecord:
        return replace(
            known,
            # The numbers of claims that the store has lost are used up.
            claims=max(known.claims, begin_era(self._store.era)) + 1,
            era=self._store.era,
            candidates=tuple(sorted(candidates)),
            owner=self.owner,
            incarnation=self.incarnation,
            heir=ProxyId(''),
        )

    async def record_intent(
        self,
        reign: GroupOwnership,
        target: TargetId,
        served: Term,
    ) -> bool:
        """Write that a promotion is about to be ordered.

        `served` is the newest term that this owner has served.
        """
        intent = ReplacementIntent(target, reign.token)
        record = self.find_record(reign.group)
        leader = None if record is None else record.leader
        # The store may have missed who led since: the next owner must not
        # trust the one that it has noted.
        if leader is not None and leader.term < served:
            leader = replace(leader, term=served)
        return await self._change(reign, intent=intent, leader=leader)

    async def clear_intent(self, reign: GroupOwnership) -> bool:
        """Write that no promotion is under way."""
        return await self._change(reign, intent=None)

    async def record_uncertain_primary(
        self, reign: GroupOwnership, target: TargetId
    ) -> bool:
        """Write that a target may have led the next term, and is lost."""
        term = Term(self.find_term(reign.group) + 1)
        leader = LeaderNote(target, term, era=self._store.era)
        return await self._change(reign, leader=leader, intent=None)

    async def record_primary(
        self,
        reign: GroupOwnership,
        target: TargetId,
        term: Term,
        life: TargetLife,
    ) -> bool:
        """Write which target leads, and that no promotion is under way."""
        record = self.find_record(reign.group)
        leader = LeaderNote(target, term, life, self._store.era)
        if record is not None and record.leader == leader:
            if record.intent is None:
                return True
        return await self._change(reign, leader=leader, intent=None)

    async def record_copies(
        self,
        reign: GroupOwnership,
        places: Collection[CopyPlace],
    ) -> bool:
        """Write where acknowledged writes may be."""
        return await self._change(reign, copies=tuple(sorted(places)))

    async def change_candidates(
        self,
        reign: GroupOwnership,
        candidates: Collection[ProxyId],
    ) -> bool:
        """Write who may claim the group."""
        return await self._change(reign, candidates=tuple(sorted(candidates)))

    async def release(self, group: GroupId, heir: ProxyId) -> None:
        """Give a group up, so that `heir` may claim it at once.

        Raise PlatformUnavailable or AnswerLost.
        """
        seen = self._read(group)
        if seen.record is None or not self.is_own(self.find_owner(group)):
            return
        # With no latest owner named, nobody is bound by a promise to it.
        freed = encode_entry(replace(seen.record, owner=ProxyId(''), heir=heir))
        await self._store.commit(
            seen.compares,
            (Delete(seen.owner_key), Put(seen.record_key, freed)),
        )

    async def _change(self, reign: GroupOwnership, **changes: object) -> bool:
        seen = self._read(reign.group)
        if seen.record is None or not self.is_own(seen.owner):
            return False
        if self.is_outdated(reign.group):
            # The claim may be lost: it is made again before anything else.
            return False
        document = encode_entry(replace(seen.record, **changes))
        try:
            committed = await self._store.commit(
                seen.compares,
                (Put(seen.record_key, document),),
            )
        except STORE_FAILURES:
            return False
        if not self._accept(committed):
            return False
        self._record_write(seen.record_key, document, committed.revision)
        return True

    def _remember(self) -> None:
        prefix = RECORDS_PREFIX
        for pair in self._view.list_prefix(prefix):
            group = GroupId(pair.key.removeprefix(prefix))
            record = self.find_record(group)
            if record is not None:
                self._remembered[group] = record

    def _read(self, group: GroupId) -> '_SeenGroup':
        owner_key, record_key = make_owner_key(group), make_record_key(group)
        return _SeenGroup(
            owner_key,
            record_key,
            self.find_owner(group),
            self.find_record(group),
            tuple(
                Compare(key, _read_revision(self._view.get(key)))
                for key in (owner_key, record_key)
            ),
        )

    def _accept(self, committed: CommitResult) -> bool:
        for pair in committed.current:
            self._view.record(pair)
        return committed.succeeded

    def _record_write(
        self, key: str, document: bytes, revision: Revision
    ) -> None:
        self._view.record(KeyValue(key, document, revision))


def choose_newer(
    stored: GroupRecord | None,
    remembered: GroupRecord | None,
) -> GroupRecord | None:
    """Return the record that holds more, where the store may have lost it."""
    if stored is None or remembered is None:
        return stored or remembered
    if stored.era > remembered.era or stored.claims > remembered.claims:
        return stored
    return remembered


def _read_revision(pair: KeyValue | None) -> Revision:
    return ABSENT if pair is None else pair.revision
