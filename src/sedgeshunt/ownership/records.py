"""Read and write the owners and the records of groups in the store."""

from collections.abc import Collection, Iterator

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
from sedgeshunt.ownership.group_ownership import ClaimedKey, GroupOwnership
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.ownership.lease_ends import LeaseEnds
from sedgeshunt.ports import (
    FIRST_ERA,
    CommitResult,
    Compare,
    Delete,
    KeyValue,
    Put,
)
from sedgeshunt.registry.current_store import CurrentStore
from sedgeshunt.registry.entries import (
    GroupRecord,
    OwnerEntry,
    PrimaryNote,
    ReplacementIntent,
    encode_entry,
)
from sedgeshunt.registry.keys import (
    OWNERS_PREFIX,
    RECORDS_PREFIX,
    make_owner_key,
    make_record_key,
)
from sedgeshunt.registry.store_view import StoreView
from sedgeshunt.revisions import begin_era

ABSENT_REVISION = Revision(0)
STORE_FAILURES = (PlatformUnavailable, AnswerLost, LeaseLapsed)


class _GroupSnapshot(Struct, frozen=True):
    """Hold the known state of a group, and comparisons that confirm it."""

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
        # Records known before the store was restored from a snapshot.
        self._remembered: dict[GroupId, GroupRecord] = {}
        self.lease_ends = LeaseEnds(store, view)
        # How often an owner or a record has changed.
        self.changes = 0
        # Decoded entries by key, as heartbeats and statements read them often.
        self._owners: dict[str, tuple[KeyValue, OwnerEntry | None]] = {}
        self._records: dict[str, tuple[KeyValue, GroupRecord | None]] = {}
        store.listen(self._remember_records)
        view.listen(self._note_change)

    def reaches_store(self) -> bool:
        """Return whether the store has answered recently."""
        return self._lease.reaches_store()

    def is_cut_off_from_store(self) -> bool:
        """Return whether the store is unreachable to this instance only.

        Valid only while a peer reports to reach the store.
        """
        return self._lease.is_cut_off_from_store()

    def has_prompt_store(self, since: Boottime) -> bool:
        """Return whether a request sent after `since` was answered quickly."""
        return self._lease.has_prompt_store(since)

    def find_owner(self, group: GroupId) -> OwnerEntry | None:
        """Return the owner of a group in the store, None for no owner."""
        key = make_owner_key(group)
        pair = self._view.get(key)
        if pair is None:
            return None
        known = self._owners.get(key)
        if known is None or known[0] is not pair:
            known = pair, self._view.read_entry(pair, OwnerEntry)
            self._owners[key] = known
        return known[1]

    def find_token(self, group: GroupId) -> OwnerToken:
        """Return the token of the current owner, 0 for no owner."""
        pair = self._view.get(make_owner_key(group))
        return OwnerToken(0 if pair is None else pair.revision)

    def find_record(self, group: GroupId) -> GroupRecord | None:
        """Return the record of a group, None before its first owner."""
        key = make_record_key(group)
        pair = self._view.get(key)
        remembered = self._remembered.get(group)
        if pair is None:
            return remembered
        known = self._records.get(key)
        if known is None or known[0] is not pair:
            known = pair, self._view.read_entry(pair, GroupRecord)
            self._records[key] = known
        return choose_newer(known[1], remembered)

    def is_claim_outdated(self, group: GroupId) -> bool:
        """Return whether the latest claim of a group may have been lost.

        That is so if it was made before the latest restore of the store.
        """
        record = self.find_record(group)
        # Without a record, the claim that was lost may have been the first.
        era = FIRST_ERA if record is None else record.era
        return era < self._store.era

    def measure_era_age(self) -> Seconds:
        """Return for how long the newest era of the store has been known."""
        return self._store.measure_era_age()

    def is_primary_uncertain(self, group: GroupId) -> bool:
        """Return whether the recorded primary may have been replaced since."""
        record = self.find_record(group)
        leader = None if record is None else record.leader
        return leader is not None and leader.era < self._store.era

    def find_intent(self, group: GroupId) -> ReplacementIntent | None:
        """Return the promotion that may be in progress."""
        record = self.find_record(group)
        return None if record is None else record.intent

    def find_term(self, group: GroupId) -> Term:
        """Return the newest recorded term of a primary, 0 for none."""
        record = self.find_record(group)
        leader = None if record is None else record.leader
        return Term(0) if leader is None else leader.term

    def find_copies(self, group: GroupId) -> frozenset[CopyPlace]:
        """Return the recorded places that may hold acknowledged writes."""
        record = self.find_record(group)
        return frozenset() if record is None else frozenset(record.copies)

    def is_own(self, entry: OwnerEntry | None) -> bool:
        """Return whether an owner entry names this process."""
        return entry == OwnerEntry(self.owner, self.incarnation)

    async def claim(
        self,
        group: GroupId,
        candidates: Collection[ProxyId],
        *,
        is_continued: bool = False,
    ) -> ClaimedKey | None:
        """Claim the group unless its state in the store has changed.

        `is_continued` marks a claim by the current owner. Return the written
        key, None if the claim failed; raise PlatformUnavailable, AnswerLost or
        LeaseLapsed.
        """
        lease = self._lease.id
        if lease is None:
            raise LeaseLapsed
        seen = self._read_group(group)
        claimed = self._make_claim_record(
            seen.record or GroupRecord(group),
            candidates,
            lease,
        )
        if is_continued:
            claimed = self._confirm_primary(claimed)
        return await self._write_claim(seen, claimed)

    async def _write_claim(
        self,
        seen: _GroupSnapshot,
        claimed: GroupRecord,
    ) -> ClaimedKey | None:
        # The owner key may be left by an earlier process of this instance.
        owner = encode_entry(OwnerEntry(self.owner, self.incarnation))
        record = encode_entry(claimed)
        committed = await self._store.commit(
            (*seen.compares, *self._compare_endings(seen.record)),
            (
                Put(seen.owner_key, owner, claimed.lease),
                Put(seen.record_key, record),
            ),
        )
        if not self._apply_result(committed):
            return None
        self._record_write(seen.owner_key, owner, committed.revision)
        self._record_write(seen.record_key, record, committed.revision)
        token = OwnerToken(committed.revision)
        return ClaimedKey(token, claimed.lease, claimed.claims)

    def _compare_endings(self, record: GroupRecord | None) -> Iterator[Compare]:
        # A claim after another owner relies on how its lease has ended.
        if record is not None and record.owner not in {'', self.owner}:
            yield self.lease_ends.compare(record.owner)

    def _confirm_primary(self, claimed: GroupRecord) -> GroupRecord:
        """Mark the primary of a record as confirmed in the current era."""
        if claimed.leader is None:
            return claimed
        leader = replace(claimed.leader, era=self._store.era)
        return replace(claimed, leader=leader)

    def _make_claim_record(
        self,
        known: GroupRecord,
        candidates: Collection[ProxyId],
        lease: int,
    ) -> GroupRecord:
        return replace(
            known,
            # Claim numbers that the store has lost must not be used again.
            claims=max(known.claims, begin_era(self._store.era)) + 1,
            era=self._store.era,
            candidates=tuple(sorted(candidates)),
            owner=self.owner,
            incarnation=self.incarnation,
            lease=lease,
            heir=ProxyId(''),
        )

    async def record_intent(
        self,
        ownership: GroupOwnership,
        intent: ReplacementIntent,
        served: Term,
    ) -> bool:
        """Record a promotion before it is ordered.

        `served` is the newest term that this owner has served.
        """
        record = self.find_record(ownership.group)
        leader = None if record is None else record.leader
        # The store may have missed a change of the primary: the next owner must
        # not accept the recorded one.
        if leader is not None and leader.term < served:
            leader = replace(leader, term=served)
        return await self._change(ownership, intent=intent, leader=leader)

    async def clear_intent(self, ownership: GroupOwnership) -> bool:
        """Record that no promotion is in progress."""
        return await self._change(ownership, intent=None)

    async def record_uncertain_primary(
        self, ownership: GroupOwnership, target: TargetId
    ) -> bool:
        """Record a lost target that may have been primary of the next term."""
        term = Term(self.find_term(ownership.group) + 1)
        leader = PrimaryNote(target, term, era=self._store.era)
        return await self._change(ownership, leader=leader, intent=None)

    async def record_primary(
        self,
        ownership: GroupOwnership,
        target: TargetId,
        term: Term,
        life: TargetLife,
    ) -> bool:
        """Record the primary, and that no promotion is in progress."""
        record = self.find_record(ownership.group)
        leader = PrimaryNote(target, term, life, self._store.era)
        if record is not None and record.leader == leader:
            if record.intent is None:
                return True
        return await self._change(ownership, leader=leader, intent=None)

    async def record_copies(
        self,
        ownership: GroupOwnership,
        places: Collection[CopyPlace],
    ) -> bool:
        """Record the places that may hold acknowledged writes."""
        return await self._change(ownership, copies=tuple(sorted(places)))

    async def change_candidates(
        self,
        ownership: GroupOwnership,
        candidates: Collection[ProxyId],
    ) -> bool:
        """Record which instances may claim the group."""
        return await self._change(
            ownership, candidates=tuple(sorted(candidates))
        )

    async def release(self, group: GroupId, next_owner: ProxyId) -> None:
        """Release a group, so that `next_owner` may claim it at once.

        Raise PlatformUnavailable or AnswerLost.
        """
        seen = self._read_group(group)
        if seen.record is None or not self.is_own(self.find_owner(group)):
            return
        # An empty owner releases all candidates from their promises.
        freed = encode_entry(
            replace(seen.record, owner=ProxyId(''), heir=next_owner)
        )
        await self._store.commit(
            seen.compares,
            (Delete(seen.owner_key), Put(seen.record_key, freed)),
        )

    async def _change(
        self, ownership: GroupOwnership, **changes: object
    ) -> bool:
        seen = self._read_group(ownership.group)
        if seen.record is None or not self.is_own(seen.owner):
            return False
        if self.is_claim_outdated(ownership.group):
            # The claim may be lost and has to be made again first.
            return False
        document = encode_entry(replace(seen.record, **changes))
        try:
            committed = await self._store.commit(
                seen.compares,
                (Put(seen.record_key, document),),
            )
        except STORE_FAILURES:
            return False
        if not self._apply_result(committed):
            return False
        self._record_write(seen.record_key, document, committed.revision)
        return True

    def _note_change(self, key: str) -> None:
        if not key:
            self.changes += 1
            self._owners.clear()
            self._records.clear()
        elif key.startswith((OWNERS_PREFIX, RECORDS_PREFIX)):
            self.changes += 1
            self._owners.pop(key, None)
            self._records.pop(key, None)

    def _remember_records(self) -> None:
        self.changes += 1
        prefix = RECORDS_PREFIX
        for pair in self._view.list_prefix(prefix):
            group = GroupId(pair.key.removeprefix(prefix))
            record = self.find_record(group)
            if record is not None:
                self._remembered[group] = record

    def _read_group(self, group: GroupId) -> '_GroupSnapshot':
        owner_key, record_key = make_owner_key(group), make_record_key(group)
        return _GroupSnapshot(
            owner_key,
            record_key,
            self.find_owner(group),
            self.find_record(group),
            tuple(
                Compare(key, _read_revision(self._view.get(key)))
                for key in (owner_key, record_key)
            ),
        )

    def _apply_result(self, committed: CommitResult) -> bool:
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
    """Return the newer record, as a restored store may hold an older one."""
    if stored is None or remembered is None:
        return stored or remembered
    if stored.era > remembered.era or stored.claims > remembered.claims:
        return stored
    return remembered


def _read_revision(pair: KeyValue | None) -> Revision:
    return ABSENT_REVISION if pair is None else pair.revision
