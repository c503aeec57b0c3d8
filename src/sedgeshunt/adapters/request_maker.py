"""Make requests out of a caller's statements."""

from sedgeshunt.adapters.session_state import SessionState
from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import GroupId, Monotonic, TraceId
from sedgeshunt.requests.attribute_values import Attributes
from sedgeshunt.requests.gate import CallerSession
from sedgeshunt.requests.request import Request, StatementKind


class RequestMaker:
    """Give each statement its deadline and its trace."""

    __slots__ = ('_seen', '_state', 'trace')

    def __init__(self, state: SessionState, trace: TraceId) -> None:
        """Number the statements of one caller from one up."""
        self.trace = trace
        self._state = state
        self._seen = 0

    def make(
        self,
        session: CallerSession,
        sql: str,
        kind: StatementKind,
        attributes: Attributes,
        arrived: Monotonic,
    ) -> Request:
        """Make the request of one statement."""
        self._seen += 1
        span = attributes.deadline
        if span is None:
            span = session.find_deadline(attributes.traffic_class)
        return Request(
            sql=sql,
            kind=kind,
            group=self._state.group or GroupId(''),
            deadline=Monotonic(arrived + span),
            trace=attributes.trace or TraceId(f'{self.trace}-{self._seen}'),
            traffic_class=attributes.traffic_class,
            accepted_age=attributes.accepted_age,
            request_id=attributes.request_id,
            idempotent=attributes.idempotent,
            token=attributes.token,
        )

    def make_end(
        self,
        session: CallerSession,
        kind: StatementKind,
        token: str | None = None,
    ) -> Request:
        """Make a COMMIT or ROLLBACK that the caller did not send itself."""
        sql = kind.value.upper()
        attributes = Attributes(token=token)
        return self.make(session, sql, kind, attributes, read_clock())
