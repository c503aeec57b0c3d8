"""Set the session values and prepared statements that a call needs."""

from sedgeshunt.connections.idle_sessions import PooledSession
from sedgeshunt.connections.target_session import SessionPhase, TargetReply
from sedgeshunt.statements.call import StatementCall


def needs_preparing(session: PooledSession, call: StatementCall) -> bool:
    """Return whether a session lacks what a call needs."""
    return session.count_setup(call.session_values, call.prepared) > 0


async def prepare(session: PooledSession, call: StatementCall) -> TargetReply:
    """Set a call's session values and prepare its statement."""
    reply = _NOTHING
    connection = session.connection
    if not session.values.keys() <= call.session_values.keys():
        reply = await connection.reset()
        if reply.refusal is not None:
            return reply
        session.values.clear()
        session.prepared.clear()
    for name, value in call.session_values.items() - session.values.items():
        reply = await connection.set_value(name, value)
        if reply.refusal is not None:
            return reply
        session.values[name] = value
    if call.prepared is not None and call.prepared not in session.prepared:
        reply = await connection.prepare(call.prepared)
        if reply.refusal is None:
            session.prepared.add(call.prepared)
    return reply


_NOTHING = TargetReply((), SessionPhase.IDLE, None)
