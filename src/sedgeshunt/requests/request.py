"""Define a request: one statement of a caller and its attributes."""

from enum import Enum

from msgspec import Struct

from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    RequestId,
    Seconds,
    TraceId,
    TrafficClass,
)


class StatementKind(Enum):
    """Enumerate the kinds of statements by how they are routed."""

    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    # Answered by the proxy: SET NAMES, session settings, version.
    SESSION = 'session'


class Request(Struct, frozen=True):
    """Hold one statement, its group and its attributes."""

    sql: str
    kind: StatementKind
    group: GroupId
    deadline: Monotonic
    trace: TraceId
    traffic_class: TrafficClass = TrafficClass('default')
    # Maximum staleness of a read; None requires read-your-writes.
    accepted_age: Seconds | None = None
    request_id: RequestId | None = None
    idempotent: bool = False
    # Signed token sent with the request; None uses the connection's session.
    token: str | None = None
