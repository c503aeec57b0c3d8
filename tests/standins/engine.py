"""Stand in for the platform's database groups, without sockets."""

from collections.abc import Iterable, Mapping, Sequence
from random import Random

from sedgeshunt.identifiers import TargetId, Term
from tests.standins.databases import Database, Limits
from tests.standins.network import Network, Place
from tests.standins.records import Event, EventKind, GroupState

FIRST_TERM = Term(1)


class DatabaseGroup:
    """Hold the databases of one group by name."""

    def __init__(
        self,
        zones: Mapping[str, str],
        network: Network | None = None,
        limits: Limits | None = None,
        random: Random | None = None,
    ) -> None:
        """Make one database for each name in `zones`, in its zone."""
        self.network = network or Network()
        self._state = GroupState(self.network, random or Random(0))
        self.databases = {
            TargetId(name): Database(
                Place(name, zone),
                self._state,
                limits or Limits(),
            )
            for name, zone in zones.items()
        }
        self._state.members.update(self.databases)
        self.network.listeners.append(self._copy_all)
        self.load_schema([])

    @property
    def history(self) -> list[Event]:
        """List all events in the order in which they happened."""
        return self._state.history

    def __getitem__(self, name: str) -> Database:
        """Return the database of that name."""
        return self.databases[TargetId(name)]

    def load_schema(self, statements: Iterable[str]) -> None:
        """Create the tables on all, before the first record."""
        self._state.schema = list(statements)
        for database in self.databases.values():
            database.store.rebuild(self._state.schema, ())

    def start(self, leader: str) -> None:
        """Let `leader` lead in the first term and the others follow."""
        for database in self.databases.values():
            database.fence(FIRST_TERM)
        self[leader].promote(FIRST_TERM)
        for name, follower in self.databases.items():
            if name != leader:
                follower.follow(FIRST_TERM, TargetId(leader))

    def find_leader(self) -> Database | None:
        """Return whoever was promoted in the highest term."""
        promoted = self._state.promoted
        if not promoted:
            return None
        return self.databases[promoted[max(promoted)]]

    def select(self, database: str, sql: str) -> Sequence[Sequence[object]]:
        """Read rows straight from one database's file."""
        worker = self[database].store.open_worker()
        try:
            return worker.run(sql).rows
        finally:
            worker.close()

    def list_events(
        self,
        kind: EventKind,
        sql: str = '',
    ) -> list[Event]:
        """List the events of one kind whose statement contains `sql`."""
        return [
            event
            for event in self.history
            if event.kind is kind and sql in event.sql
        ]

    def close(self) -> None:
        """Break all connections and remove the files."""
        self.network.listeners.remove(self._copy_all)
        for database in self.databases.values():
            database.kill()
            database.store.close()

    def _copy_all(self) -> None:
        for database in self.databases.values():
            database.copy()
