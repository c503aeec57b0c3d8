"""Sum the time that a statement waits, by cause."""

from collections.abc import Mapping
from contextvars import ContextVar
from enum import Enum
from types import TracebackType

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Seconds


class WaitCause(Enum):
    """List what a statement waits for."""

    OWNER = 'owner'
    CONNECTION = 'connection'
    QUEUE = 'queue'
    TARGET = 'target'
    PEER = 'peer'


Waits = Mapping[WaitCause, Seconds]


class WaitRecorder:
    """Divide the time of one statement among the causes of its waits."""

    # Attempts of a hedged read run at the same time and share the recorder.
    # Each moment is charged to one cause only, that of the wait which began
    # last and still lasts, so the sums never exceed the time spent.

    __slots__ = ('_is_finished', '_pending', '_since', '_sums')

    def __init__(self) -> None:
        """Start without waits."""
        self._sums: dict[WaitCause, float] = {}
        # The causes of the waits that last, the latest one at the end.
        self._pending: list[WaitCause] = []
        self._since: float = 0
        self._is_finished = False

    def begin(self, cause: WaitCause) -> None:
        """Charge the time from now on to a cause."""
        self._charge()
        self._pending.append(cause)

    def end(self, cause: WaitCause) -> None:
        """End a wait; the one before it is charged again."""
        self._charge()
        if self._pending[-1] is cause:
            self._pending.pop()
        else:
            self._pending.remove(cause)

    def take_reported(self, waits: Waits) -> None:
        """Divide the wait for a peer by what the peer reports."""
        # A peer whose clock is faster, or a late reply to an abandoned
        # attempt, may report more than was waited for it.
        for cause, spent in waits.items():
            at_peer = self._sums.get(WaitCause.PEER, 0)
            moved = min(at_peer, spent)
            self._sums[WaitCause.PEER] = at_peer - moved
            self._sums[cause] = self._sums.get(cause, 0) + moved

    def finish(self) -> Waits:
        """Return the sums; attempts that still run add nothing to them."""
        if self._pending:
            self._charge()
        self._is_finished = True
        return {
            cause: Seconds(spent)
            for cause, spent in self._sums.items()
            if spent
        }

    def _charge(self) -> None:
        if self._is_finished:
            return
        now = read_clock()
        if self._pending:
            cause = self._pending[-1]
            self._sums[cause] = self._sums.get(cause, 0) + now - self._since
        self._since = now


# Tasks that a statement starts inherit its recorder.
_recorder: ContextVar[WaitRecorder | None] = ContextVar(
    'wait_recorder',
    default=None,
)


class _Wait:
    """Charge the time inside a block to a cause."""

    __slots__ = ('_cause', '_recorder')

    def __init__(self, cause: WaitCause) -> None:
        self._cause = cause
        self._recorder = _recorder.get()

    def __enter__(self) -> None:
        if self._recorder is not None:
            self._recorder.begin(self._cause)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._recorder is not None:
            self._recorder.end(self._cause)


def start_recording() -> WaitRecorder:
    """Record the waits of a statement that this task runs from now on."""
    recorder = WaitRecorder()
    _recorder.set(recorder)
    return recorder


def measure_wait(cause: WaitCause) -> _Wait:
    """Return a block whose time is charged to a cause."""
    return _Wait(cause)


def take_reported(waits: Waits) -> None:
    """Divide the wait for a peer's reply by what the peer reports."""
    recorder = _recorder.get()
    if recorder is not None and waits:
        recorder.take_reported(waits)
