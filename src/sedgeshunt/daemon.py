"""Run one proxy under the process's signals."""

from asyncio import FIRST_COMPLETED, Task, create_task, wait
from pathlib import Path

from aiomisc import Service, entrypoint
from uvloop import new_event_loop

from sedgeshunt.adapters.callers import LAST_STATEMENT
from sedgeshunt.identifiers import Seconds
from sedgeshunt.logs import open_log
from sedgeshunt.process import ProxyProcess
from sedgeshunt.settings import read_settings

# Time for everything but callers to end.
LAST_STEPS = Seconds(10)


class ProxyService(Service):
    """Run one proxy in one task, under the entry point's signals."""

    def __init__(self, process: ProxyProcess) -> None:
        """Own a process that runs from start to stop."""
        super().__init__()
        self._process = process
        self._task: Task[None] | None = None

    async def start(self) -> None:
        """Start and wait until callers can come in; raise what fails."""
        task = create_task(self._process.run())
        self._task = task
        started = create_task(self._process.started.wait())
        await wait((task, started), return_when=FIRST_COMPLETED)
        started.cancel()
        if task.done():
            await task
        task.add_done_callback(self._end_loop)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop gracefully."""
        self._process.stopping.set()
        if self._task is not None:
            await wait((self._task,))

    def raise_failure(self) -> None:
        """Raise what ended the process before its time, if anything did."""
        if self._task is not None and self._task.done():
            self._task.result()

    def _end_loop(self, task: Task[None]) -> None:
        if not self._process.stopping.is_set():
            self.loop.stop()


def run_proxy(settings_path: Path) -> None:
    """Run a proxy until a signal; raise SettingsInvalid or ListenFailed."""
    settings = read_settings(settings_path)
    log = open_log(settings.proxy, settings.zone_id, settings.log_level)
    service = ProxyService(ProxyProcess(settings, log))
    with entrypoint(
        service,
        loop_factory=new_event_loop,
        log_config=False,
        shutdown_timeout=settings.grace + LAST_STATEMENT + LAST_STEPS,
    ) as loop:
        loop.run_forever()
        service.raise_failure()
