"""Keep idle sessions with a target and select one for reuse."""

from collections.abc import Mapping

from sedgeshunt.connections.target_session import SessionPhase, TargetSession
from sedgeshunt.identifiers import CustomerId
from sedgeshunt.statements.statement import PreparedStatement


class PooledSession:
    """Hold a session with its session values and prepared statements."""

    def __init__(
        self,
        connection: TargetSession,
        customer: CustomerId,
    ) -> None:
        """Start as a new connection without session values."""
        self.connection = connection
        # Customer for which it was opened; it is never used for another one.
        self.customer = customer
        self.values: dict[str, str] = {}
        self.prepared: set[PreparedStatement] = set()
        # While an answer is pending, the next caller on the connection would
        # read that answer as its own.
        self.is_pending = False
        # The values, prepared statements or transaction at the target may
        # differ from those noted here.
        self._is_invalid = False
        # Phase as of the latest answer. A session may be released within a
        # transaction, such as when its caller left while waiting. If reused,
        # it would run the next caller's statements in that transaction.
        self.phase = SessionPhase.IDLE

    @property
    def is_clean(self) -> bool:
        """Return whether the state of the session is known."""
        return not (self.is_pending or self._is_invalid)

    def invalidate(self) -> None:
        """Prevent the session from being used by another caller."""
        self._is_invalid = True

    @property
    def is_reusable(self) -> bool:
        """Return whether another caller may use the session."""
        return self.is_clean and self.phase is SessionPhase.IDLE

    def count_setup(
        self,
        values: Mapping[str, str],
        prepared: PreparedStatement | None,
    ) -> int:
        """Count the messages that set the session up for a call."""
        lacks_statement = prepared is not None and prepared not in self.prepared
        if self.values.keys() <= values.keys():
            missing = values.items() - self.values.items()
            return len(missing) + lacks_statement
        # A reset clears the prepared statements as well.
        return 1 + len(values) + (prepared is not None)


class IdleSessions:
    """Hold idle sessions in the order in which they became idle."""

    def __init__(self) -> None:
        """Start empty."""
        self._idle: list[PooledSession] = []

    def __len__(self) -> int:
        """Return the number of idle sessions."""
        return len(self._idle)

    def add(self, session: PooledSession) -> None:
        """Add a released session."""
        self._idle.append(session)

    def take(
        self,
        values: Mapping[str, str],
        customer: CustomerId,
        prepared: PreparedStatement | None = None,
        max_setup: int | None = None,
    ) -> PooledSession | None:
        """Remove and return a session of the customer, or None.

        Return none that needs more than `max_setup` messages for its setup.
        """
        own = [one for one in self._idle if one.customer == customer]
        if not own:
            return None
        # Each message of the setup is a round trip during which the call holds
        # a slot. Of several sessions with equally few, the latest is taken.
        session = min(
            reversed(own),
            key=lambda one: one.count_setup(values, prepared),
        )
        setup = session.count_setup(values, prepared)
        if max_setup is not None and setup > max_setup:
            return None
        self._idle.remove(session)
        return session

    def take_oldest(self) -> PooledSession | None:
        """Remove and return the session of any customer idle for longest."""
        return self._idle.pop(0) if self._idle else None

    def take_all(self) -> list[PooledSession]:
        """Remove and return all sessions."""
        taken = self._idle
        self._idle = []
        return taken
