"""Run one real proxy on loopback against stand-ins of a chosen size."""

import subprocess  # only benchmarks and tests start processes
import sys
from asyncio import sleep
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from socket import create_connection
from time import monotonic

from msgspec.json import decode

from benchmarks.capacity_documents import (
    SETTINGS,
    Plan,
    write_objects,
    write_scenario,
)
from benchmarks.documents import HOST, ZONES, find_port
from benchmarks.processes import ROOT, START_LIMIT, Process, ProxyProcess

LIFETIME = 200
SETTLE = 2.5


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold what one process spends."""

    # Seconds of CPU time in a second.
    cpu: float
    memory_kb: float
    bytes_in: float
    bytes_out: float
    # Calls of the system that write, one for each message.
    messages: float


class Stage:
    """Run stand-ins and one proxy until closed."""

    def __init__(self, plan: Plan, folder: Path, owned: ExitStack) -> None:
        """Start both; the proxy serves a moment later."""
        self.caller_port = find_port()
        peer = find_port()
        scenario = folder / 'scenario.toml'
        scenario.write_text(write_scenario(plan))
        command = [sys.executable, '-m', 'tests.standins.main', '--scenario']
        command += [str(scenario), '--seconds', str(LIFETIME)]
        standins = Process(command, owned)
        ports = decode(standins.read_line(), type=dict[str, int])
        platform = ports[f'platform@{ZONES[0]}']
        objects = folder / 'objects.toml'
        objects.write_text(write_objects(plan, ports, peer))
        tool = str(Path(sys.executable).parent / 'sedgeshunt')
        command = [tool, 'apply', str(objects), '--message', 'capacity']
        subprocess.run(
            [*command, '--platform', f'{HOST}:{platform}'],
            cwd=ROOT,
            check=True,
            timeout=START_LIMIT,
            stdout=subprocess.DEVNULL,
        )
        settings = folder / 'settings.toml'
        seeds = ', '.join(
            f"{{ host = '127.0.0.1', port = {port} }}" for port in plan.peers
        )
        settings.write_text(
            SETTINGS.format(
                callers=self.caller_port,
                peer=peer,
                platform=platform,
                seeds=seeds,
            ),
        )
        log = owned.enter_context((folder / 'proxy.log').open('w'))
        command = [tool, 'proxy', '--settings', str(settings)]
        self.proxy = ProxyProcess(command, log.fileno(), owned)

    async def settle(self) -> None:
        """Wait until the proxy serves and is quiet."""
        deadline = monotonic() + START_LIMIT
        while monotonic() < deadline:
            try:
                create_connection((HOST, self.caller_port), 1).close()
            except OSError:
                await sleep(0.1)
            else:
                await sleep(SETTLE)
                return
        raise AssertionError('the proxy did not start')

    async def measure(self, seconds: float) -> Usage:
        """Watch the proxy for a while."""
        started = monotonic()
        cpu = self.proxy.read_cpu()
        before = self._read_traffic()
        await sleep(seconds)
        spent = monotonic() - started
        after = self._read_traffic()
        return Usage(
            (self.proxy.read_cpu() - cpu) / spent,
            self.proxy.read_memory(),
            (after['rchar'] - before['rchar']) / spent,
            (after['wchar'] - before['wchar']) / spent,
            (after['syscw'] - before['syscw']) / spent,
        )

    def _read_traffic(self) -> dict[str, int]:
        # The event loop reads and writes its sockets by read and write, which
        # the kernel counts for each process; what is counted besides, such as
        # the log, is the same at all sizes.
        text = Path(f'/proc/{self.proxy.child.pid}/io').read_text()
        pairs = (line.split(': ') for line in text.splitlines())
        return {name: int(figure) for name, figure in pairs}
