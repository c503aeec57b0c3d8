"""Write decisions and sampled statements as JSON lines."""

from collections.abc import Mapping
from enum import Enum
from logging import WARNING, getLogger
from sys import stdout
from typing import IO

from eliot import Action, add_global_fields, log_message, start_action, to_file
from eliot.stdlib import EliotHandler

from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    ProxyId,
    Seconds,
    TraceId,
    ZoneId,
)

# A statement slower than this is logged, whatever the sample says.
SLOW_STATEMENT = Seconds(0.5)
# One in this many of the other statements is logged.
SAMPLE_EVERY = 1000
# Refusals logged in one second; the rest is counted by metrics only.
MAX_REFUSALS = 20


class LogLevel(Enum):
    """Order the lines by how much they ask for attention."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


_ORDER = {level: place for place, level in enumerate(LogLevel)}


class ProcessEvent(Enum):
    """Name what happens to the process itself, as it stands in the log."""

    STARTED = 'proxy-started'
    STOPPING = 'proxy-stopping'
    STOPPED = 'proxy-stopped'
    RELOADED = 'settings-reloaded'
    HANDOVER_FAILED = 'handover-failed'
    CALLER_FAILED = 'caller-failed'
    PEER_FAILED = 'peer-failed'
    STATEMENT = 'statement'


# Decisions that ask for more attention than the usual line.
_DECISION_LEVELS = {
    DecisionKind.INVARIANT_BROKEN: LogLevel.ERROR,
    DecisionKind.ENTRY_FAILED: LogLevel.ERROR,
    DecisionKind.CONFIGURATION_REFUSED: LogLevel.WARNING,
    DecisionKind.WRITES_REFUSED: LogLevel.WARNING,
    DecisionKind.ZONE_CUT: LogLevel.WARNING,
    DecisionKind.PAUSED: LogLevel.WARNING,
    DecisionKind.GROUP_KEY_LOST: LogLevel.WARNING,
    DecisionKind.SESSION_CUT: LogLevel.WARNING,
    DecisionKind.CALL_CUT: LogLevel.WARNING,
    DecisionKind.ANSWER_VOIDED: LogLevel.WARNING,
}


class EventLog(DecisionLog):
    """Write decisions and process events, one JSON line each."""

    def __init__(self, threshold: LogLevel = LogLevel.INFO) -> None:
        """Drop lines below `threshold`."""
        self._threshold = _ORDER[threshold]

    def record(self, decision: Decision) -> None:
        """Write one decision with its reasons."""
        self._write(
            decision.kind.value,
            _DECISION_LEVELS.get(decision.kind, LogLevel.INFO),
            {
                'group': decision.group,
                'target': decision.target,
                'reasons': dict(decision.reasons),
            },
        )

    def note(
        self,
        event: ProcessEvent,
        level: LogLevel = LogLevel.INFO,
        **details: object,
    ) -> None:
        """Write one event with its details."""
        self._write(event.value, level, details)

    def follow(
        self,
        event: ProcessEvent,
        trace: TraceId,
        **details: object,
    ) -> Action:
        """Open an action whose lines, to its end, belong to `trace`."""
        return start_action(action_type=event.value, trace=trace, **details)

    def _write(
        self,
        name: str,
        level: LogLevel,
        details: Mapping[str, object],
    ) -> None:
        if _ORDER[level] < self._threshold:
            return
        said = {key: text for key, text in details.items() if text is not None}
        log_message(message_type=name, level=level.value, **said)


class StatementLog:
    """Write a few statements: refused and slow ones and a sample."""

    def __init__(self, events: EventLog) -> None:
        """Start the sample with the first statement."""
        self._events = events
        self._seen = 0
        self._refusals = 0
        self._window = 0

    def note(
        self,
        trace: TraceId,
        group: GroupId,
        outcome: str,
        spent: Seconds,
        now: Monotonic,
    ) -> None:
        """Write the statement if it is worth a line; `outcome` '' is done."""
        self._seen += 1
        if outcome:
            worth = self._may_log_refusal(now)
        else:
            worth = spent >= SLOW_STATEMENT or self._seen % SAMPLE_EVERY == 1
        if worth:
            self._events.note(
                ProcessEvent.STATEMENT,
                LogLevel.WARNING if outcome else LogLevel.INFO,
                trace=trace,
                group=group,
                outcome=outcome or 'done',
                spent_ms=round(spent * 1000, 3),
            )

    def _may_log_refusal(self, now: Monotonic) -> bool:
        # Under overload every statement is refused; a line for each would
        # take the time that the rest needs.
        window = int(now)
        if window != self._window:
            self._window = window
            self._refusals = 0
        self._refusals += 1
        return self._refusals <= MAX_REFUSALS


def open_log(
    proxy: ProxyId,
    zone: ZoneId,
    threshold: LogLevel,
    output: IO[str] = stdout,
) -> EventLog:
    """Send all lines to `output`, each naming the proxy and its zone.

    What libraries log goes there too, from warnings up.
    """
    to_file(output)
    add_global_fields(proxy=proxy, zone=zone)
    getLogger().addHandler(EliotHandler(WARNING))
    return EventLog(threshold)
