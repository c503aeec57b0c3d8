"""Hold one place among the statements that a target runs at once."""

from asyncio import CancelledError
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Seconds

# Takes the latency, None if nothing was learnt, and whether it was answered.
GiveBack = Callable[[Seconds | None, bool], None]


class Measurement:
    """Say whether the target answered the measured statement."""

    def __init__(self) -> None:
        """Start as not answered."""
        self.ok = False
        self._started = read_clock()

    def read_elapsed(self) -> Seconds:
        """Return the time since the measurement began."""
        return Seconds(read_clock() - self._started)


class Permit:
    """Entitle its holder to run one statement on the target."""

    def __init__(self, give_back: GiveBack) -> None:
        """Hold one place, which `give_back` returns."""
        self._give_back = give_back
        self._released = False

    def release(self, latency: Seconds, *, ok: bool) -> None:
        """Give the place back; releasing twice does no harm."""
        self._return(latency, ok=ok)

    def cancel(self) -> None:
        """Give the place back with nothing learnt of the target."""
        self._return(None, ok=True)

    @contextmanager
    def measure(self) -> Iterator[Measurement]:
        """Release the permit with the time spent inside."""
        measured = Measurement()
        try:
            yield measured
        except CancelledError:
            # A caller that left says nothing of the target.
            self.cancel()
            raise
        finally:
            self.release(measured.read_elapsed(), ok=measured.ok)

    def _return(self, latency: Seconds | None, *, ok: bool) -> None:
        if self._released:
            return
        self._released = True
        self._give_back(latency, ok)
