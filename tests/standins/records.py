"""Define the log records, events and shared state of a group."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

from sedgeshunt.clocks import read_clock
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Monotonic, TargetId, Term
from tests.standins.network import Network, Place

if TYPE_CHECKING:
    from tests.standins.members import Member


@dataclass(frozen=True, slots=True)
class Record:
    """One committed transaction of the log."""

    point: Point
    statements: tuple[str, ...]
    at: Monotonic


class EventKind(Enum):
    """Kinds of events at a database."""

    CONNECTED = 'connected'
    CLOSED = 'closed'
    BEGAN = 'began'
    RAN = 'ran'
    COMMITTED = 'committed'
    ROLLED_BACK = 'rolled-back'
    REFUSED = 'refused'
    FENCED = 'fenced'
    PROMOTED = 'promoted'
    # A promotion was ordered in a term that already has a primary.
    RIVAL = 'rival'
    FOLLOWED = 'followed'
    DROPPED = 'dropped'
    KILLED = 'killed'
    RESTARTED = 'restarted'


@dataclass(frozen=True, slots=True)
class Event:
    """One event at a database, with its time and connection."""

    at: Monotonic
    database: TargetId
    kind: EventKind
    client: str = ''
    connection: int = 0
    sql: str = ''
    point: Point | None = None


@dataclass(slots=True)
class GroupState:
    """State shared by the databases of one group."""

    network: Network
    random: Random
    members: dict[TargetId, 'Member'] = field(default_factory=dict)
    promoted: dict[Term, TargetId] = field(default_factory=dict)
    schema: list[str] = field(default_factory=list)
    history: list[Event] = field(default_factory=list)

    def note(
        self,
        database: Place,
        kind: EventKind,
        client: str = '',
        connection: int = 0,
        sql: str = '',
        point: Point | None = None,
    ) -> None:
        """Append one event to the history."""
        self.history.append(
            Event(
                read_clock(),
                TargetId(database.name),
                kind,
                client,
                connection,
                sql,
                point,
            ),
        )
