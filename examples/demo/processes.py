"""Start the processes of a deployment and end each by its own id."""

import sys
from asyncio import sleep, timeout, to_thread
from asyncio.subprocess import PIPE, Process, create_subprocess_exec
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from types import TracebackType

from aiohttp import ClientSession, ClientTimeout
from pymysql import MySQLError, connect

from examples.demo.layout import GROUP, HOST, Layout, plan_layout

ROOT = Path(__file__).resolve().parents[2]
COMMAND = str(Path(sys.executable).with_name('sedgeshunt'))
# The stand-ins end by themselves after so many seconds, whatever happens.
LONGEST_RUN = 90
START_LIMIT = 20
STOP_LIMIT = 15
POLL_EVERY = 0.1


class Cluster:
    """Own one process of stand-ins and one for each proxy."""

    def __init__(self, folder: Path) -> None:
        """Choose ports and write the files; start nothing yet."""
        self.layout: Layout = plan_layout(folder)
        self.running: dict[str, Process] = {}
        self._owned = AsyncExitStack()

    async def __aenter__(self) -> 'Cluster':
        """Start the stand-ins, apply the objects, start the proxies."""
        async with AsyncExitStack() as owned:
            owned.push_async_callback(self._end_all)
            self._http = await owned.enter_async_context(
                ClientSession(
                    f'http://{HOST}:{self.layout.find_platform()}',
                    timeout=ClientTimeout(total=5),
                ),
            )
            self.layout.write_files()
            await self._start_stand_ins()
            await self.run_client('apply', str(self.layout.objects))
            for proxy in self.layout.proxies:
                await self.start_proxy(proxy.name)
            await self.wait_ready()
            self._owned = owned.pop_all()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes."""
        await self._owned.aclose()

    async def start_proxy(self, name: str) -> None:
        """Start one proxy; its log goes to a file beside its settings."""
        settings = self.layout.find_settings(name)
        log = settings.with_suffix('.log')
        with log.open('ab') as output:
            self.running[name] = await create_subprocess_exec(
                COMMAND,
                'proxy',
                '--settings',
                str(settings),
                stdout=output,
                stderr=output,
            )

    async def kill(self, name: str) -> None:
        """End one process with no notice to anybody."""
        process = self.running.pop(name)
        process.kill()
        await process.wait()

    async def stop(self, name: str) -> int:
        """Stop one process gracefully and return its exit code."""
        process = self.running.pop(name)
        process.terminate()
        try:
            async with timeout(STOP_LIMIT):
                return await process.wait()
        except TimeoutError:
            process.kill()
            raise

    async def run_client(self, *arguments: str) -> str:
        """Run one command of an operator and return what it printed."""
        process = await create_subprocess_exec(
            COMMAND,
            *arguments,
            '--platform',
            f'{HOST}:{self.layout.find_platform()}',
            stdout=PIPE,
            stderr=PIPE,
        )
        async with timeout(START_LIMIT):
            output, errors = await process.communicate()
        if process.returncode:
            raise RuntimeError(f'{arguments}: {(output + errors).decode()}')
        return output.decode()

    async def make_fault(self, **fault: object) -> None:
        """Let the stand-ins fail or recover."""
        async with self._http.post('/fault', json=fault) as answer:
            answer.raise_for_status()

    async def read_history(self) -> list[dict[str, object]]:
        """Return what happened at the databases, oldest first."""
        async with self._http.get('/history') as answer:
            answer.raise_for_status()
            events: list[dict[str, object]] = await answer.json()
        return events

    async def wait_ready(self) -> None:
        """Wait until each proxy answers a read from a target."""
        async with timeout(START_LIMIT):
            for proxy in self.layout.proxies:
                while not await can_read(proxy.callers):
                    await sleep(POLL_EVERY)

    async def _start_stand_ins(self) -> None:
        process = await create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.standins.main',
            '--scenario',
            str(self.layout.scenario),
            '--seconds',
            str(LONGEST_RUN),
            stdout=PIPE,
            cwd=ROOT,
        )
        self.running['stand-ins'] = process
        if process.stdout is not None:
            async with timeout(START_LIMIT):
                await process.stdout.readline()

    async def _end_all(self) -> None:
        for process in self.running.values():
            with suppress(ProcessLookupError):
                process.terminate()
        for process in self.running.values():
            try:
                async with timeout(STOP_LIMIT):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()


async def can_read(port: int) -> bool:
    """Tell whether the proxy at `port` answers a read from a target."""
    return await to_thread(_try_read, port)


def _try_read(port: int) -> bool:
    try:
        connection = connect(
            host=HOST,
            port=port,
            user='demo',
            database=GROUP,
            connect_timeout=2,
            read_timeout=5,
        )
    except MySQLError:
        return False
    with connection, connection.cursor() as cursor:
        try:
            cursor.execute('SELECT 1 FROM turns LIMIT 1')
        except MySQLError:
            return False
    return True
