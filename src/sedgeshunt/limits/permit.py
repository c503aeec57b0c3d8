"""Reserve and release slots for the statements that a target runs."""

from asyncio import CancelledError
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Seconds

# Called with the latency, None if not measured, and whether it was answered.
ReleaseCallback = Callable[[Seconds | None, bool], None]


class Measurement:
    """Measure one statement's latency and whether it was answered."""

    def __init__(self) -> None:
        """Start as not answered."""
        self.ok = False
        self._started = read_clock()

    def read_elapsed(self) -> Seconds:
        """Return the time since the measurement began."""
        return Seconds(read_clock() - self._started)


class Permit:
    """Entitle its holder to run one statement on the target."""

    def __init__(self, on_release: ReleaseCallback) -> None:
        """Hold one slot until `on_release` is called."""
        self._on_release = on_release
        self._released = False

    def release(self, latency: Seconds, *, ok: bool) -> None:
        """Release the slot; releasing twice is harmless."""
        self._release(latency, ok=ok)

    def cancel(self) -> None:
        """Release the slot without a measurement."""
        self._release(None, ok=True)

    @contextmanager
    def measure(self) -> Iterator[Measurement]:
        """Measure the time inside, then release the permit with it."""
        measured = Measurement()
        try:
            yield measured
        except CancelledError:
            # A cancelled call is no measurement of the target.
            self.cancel()
            raise
        finally:
            self.release(measured.read_elapsed(), ok=measured.ok)

    def _release(self, latency: Seconds | None, *, ok: bool) -> None:
        if self._released:
            return
        self._released = True
        self._on_release(latency, ok)
