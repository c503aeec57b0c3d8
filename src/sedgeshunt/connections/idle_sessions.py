"""Keep the sessions with a target that nobody uses, and choose among them."""

from collections.abc import Mapping

from sedgeshunt.connections.target_session import SessionPhase, TargetSession
from sedgeshunt.identifiers import CustomerId
from sedgeshunt.statements.statement import PreparedStatement


class PooledSession:
    """Hold a session with what is set and prepared on it."""

    def __init__(
        self,
        connection: TargetSession,
        customer: CustomerId,
    ) -> None:
        """Start as a fresh connection: nothing is set."""
        self.connection = connection
        # In whose name it was opened; it serves nobody else.
        self.customer = customer
        self.values: dict[str, str] = {}
        self.prepared: set[PreparedStatement] = set()
        # Cleared while an answer is under way: lent again, the next caller
        # would read it as its own.
        self.is_clean = True
        # What the latest answer said. A session that is given back inside a
        # transaction, as when its caller left while it waited for its turn,
        # would run the next caller's statement in there.
        self.phase = SessionPhase.IDLE

    @property
    def is_reusable(self) -> bool:
        """Tell whether another caller may use the session."""
        return self.is_clean and self.phase is SessionPhase.IDLE


class IdleSessions:
    """Hold idle sessions in the order in which they became idle."""

    def __init__(self) -> None:
        """Hold none."""
        self._idle: list[PooledSession] = []

    def __len__(self) -> int:
        """Count them."""
        return len(self._idle)

    def add(self, session: PooledSession) -> None:
        """Keep a session that was given back."""
        self._idle.append(session)

    def take(
        self,
        values: Mapping[str, str],
        customer: CustomerId,
    ) -> PooledSession | None:
        """Take a customer's session, None if there is none."""
        own = [one for one in self._idle if one.customer == customer]
        if not own:
            return None
        # The latest one that already has the caller's values saves a round
        # trip; so does one without any, against one that needs a reset.
        session = max(
            reversed(own),
            key=lambda one: (one.values == values, not one.values),
        )
        self._idle.remove(session)
        return session

    def take_longest(self) -> PooledSession | None:
        """Take the one that has been idle longest, whosever it is."""
        return self._idle.pop(0) if self._idle else None

    def take_all(self) -> list[PooledSession]:
        """Take all of them."""
        taken = self._idle
        self._idle = []
        return taken
