"""Write the claims and losses of one group with their reasons."""

from sedgeshunt.clocks import read_boottime
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import Boottime, GroupId, OwnerToken
from sedgeshunt.ownership.evidence import MILLISECONDS, Basis
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.ownership.hold_lines import HoldLines, HoldTimes
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.ownership.releases import Releases


class ClaimLines:
    """Write why a group is claimed, claimed again, released or lost."""

    def __init__(
        self,
        group: GroupId,
        records: GroupRecords,
        releases: Releases,
        decisions: DecisionLog,
        times: HoldTimes,
    ) -> None:
        """Write to `decisions`."""
        self._group = group
        self._records = records
        self._releases = releases
        self._decisions = decisions
        self._times = times
        self._reasons: dict[str, str] = {}
        self._missing_token: OwnerToken | None = None

    def note_attempt(self, absent_since: Boottime | None) -> None:
        """Keep why a claim is made, as its success changes the records."""
        owner = self._records.find_owner(self._group)
        record = self._records.find_record(self._group)
        claim = 0 if record is None else record.claims
        self._reasons = {}
        if record is not None:
            self._reasons['owner_before'] = record.owner
        if absent_since is not None:
            absent = read_boottime() - absent_since
            self._reasons['absent_ms'] = str(round(absent * MILLISECONDS))
        if owner is not None and owner.owner == self._records.owner:
            why = 'own key'
        elif record is None:
            why = 'no owner before'
        elif self._releases.is_released(self._group, claim):
            why = 'release announced'
        else:
            why = 'owner gone' if record.owner else 'handed over'
        self._reasons['why'] = why

    def record_claimed(self, ownership: GroupOwnership) -> None:
        """Write a claim, and from then on the evidence of the ownership."""
        self._missing_token = None
        # Its evidence is known once it has been checked.
        ownership.is_held()
        self._record(DecisionKind.GROUP_CLAIMED, ownership, self._reasons)
        lines = HoldLines(self._group, self._decisions, self._times)
        lines.record(ownership.describe(), Basis.NONE)
        ownership.on_change = lines.record

    def find_key_state(self, ownership: GroupOwnership) -> str:
        """Return why the owner's key has to be written again."""
        token = self._records.find_token(self._group)
        if token:
            return f'the key has the token {token}'
        return f'the key of the token {ownership.token} is gone'

    def record_claimed_again(self, ownership: GroupOwnership, why: str) -> None:
        """Write a claim by the present owner."""
        self._record(DecisionKind.GROUP_CLAIMED_AGAIN, ownership, {'why': why})

    def check_key(self, ownership: GroupOwnership) -> None:
        """Write once that the key has gone while its lease is held."""
        if self._records.find_token(self._group):
            self._missing_token = None
            return
        # In an outage of the store the key ends with its lease.
        is_leased = ownership.describe().basis is Basis.LEASE
        if is_leased and self._missing_token != ownership.token:
            self._missing_token = ownership.token
            self._record(DecisionKind.GROUP_KEY_LOST, ownership, {})

    def record_released(self, ownership: GroupOwnership) -> None:
        """Write a release to the next owner."""
        heir = ownership.next_owner or ''
        self._record(
            DecisionKind.GROUP_RELEASED, ownership, {'next_owner': heir}
        )

    def record_lost(self, ownership: GroupOwnership) -> None:
        """Write the end of an ownership that is not over yet, or released."""
        reasons: dict[str, str] = {}
        owner = self._records.find_owner(self._group)
        if ownership.next_owner is not None and ownership.is_over:
            reasons['why'] = 'released'
        elif owner is not None and not self._records.is_own(owner):
            reasons['why'] = 'other owner'
            reasons['owner'] = owner.owner
            reasons['owner_token'] = str(self._records.find_token(self._group))
        elif ownership.describe().basis is Basis.NONE:
            reasons['why'] = 'time over'
        else:
            reasons['why'] = 'ended'
        self._record(DecisionKind.GROUP_LOST, ownership, reasons)

    def _record(
        self,
        kind: DecisionKind,
        ownership: GroupOwnership,
        reasons: dict[str, str],
    ) -> None:
        reasons = {**ownership.describe().describe(), **reasons}
        self._decisions.record(Decision(kind, self._group, reasons=reasons))
