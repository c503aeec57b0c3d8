"""Start stand-ins, a proxy and loads as processes on loopback."""

import subprocess  # only benchmarks and tests start processes
import sys
from contextlib import ExitStack
from os import sysconf
from pathlib import Path
from socket import create_connection
from time import monotonic, sleep

from msgspec.json import decode

from benchmarks.documents import (
    GROUP,
    HOST,
    ZONES,
    find_port,
    write_objects,
    write_scenario,
    write_settings,
)
from benchmarks.load import LoadReport

ROOT = Path(__file__).resolve().parent.parent
LIFETIME = 300
START_LIMIT = 20
TICKS = sysconf('SC_CLK_TCK')
NANOSECONDS = 1_000_000_000
# Fields of /proc/PID/stat after the name's closing bracket.
USER_TICKS = 11
SYSTEM_TICKS = 12


class Process:
    """Own one started process."""

    def __init__(self, arguments: list[str], owned: ExitStack) -> None:
        """Start it; `owned` ends it."""
        self.child = subprocess.Popen(
            arguments,
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        owned.callback(self.end)

    def end(self) -> None:
        """End the process."""
        self.child.terminate()
        try:
            self.child.communicate(timeout=START_LIMIT)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.communicate()

    def read_line(self) -> str:
        """Read the next line of its output."""
        if self.child.stdout is None:
            return ''
        return self.child.stdout.readline()

    def read_cpu(self) -> float:
        """Return the seconds of CPU time that it has used."""
        stat = Path(f'/proc/{self.child.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        return (int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])) / TICKS

    def read_queued(self) -> float:
        """Return the seconds for which it was ready but had no core."""
        stat = Path(f'/proc/{self.child.pid}/schedstat').read_text()
        return int(stat.split()[1]) / NANOSECONDS

    def read_memory(self) -> int:
        """Return its resident memory in KB."""
        status = Path(f'/proc/{self.child.pid}/status').read_text()
        line = next(
            line for line in status.splitlines() if line.startswith('VmRSS')
        )
        return int(line.split()[1])


class Bench:
    """Run stand-ins and one proxy until closed."""

    def __init__(self, folder: Path, owned: ExitStack) -> None:
        """Start all and wait until the proxy serves its group."""
        self._owned = owned
        self.caller_port = find_port()
        peer_port = find_port()
        scenario = folder / 'scenario.toml'
        scenario.write_text(write_scenario())
        python = sys.executable
        command = [python, '-m', 'tests.standins.main', '--scenario']
        command += [str(scenario), '--seconds', str(LIFETIME)]
        self.standins = Process(command, owned)
        self.ports = decode(self.standins.read_line(), type=dict[str, int])
        platform = self.ports[f'platform@{ZONES[0]}']
        objects = folder / 'objects.toml'
        objects.write_text(write_objects(self.ports, peer_port))
        tool = str(Path(python).parent / 'sedgeshunt')
        command = [tool, 'apply', str(objects), '--message', 'benchmark']
        command += ['--platform', f'{HOST}:{platform}']
        subprocess.run(
            command,
            cwd=ROOT,
            check=True,
            timeout=START_LIMIT,
            stdout=subprocess.DEVNULL,
        )
        settings = folder / 'settings.toml'
        settings.write_text(
            write_settings(self.caller_port, peer_port, platform),
        )
        command = [tool, 'proxy', '--settings', str(settings)]
        self.log = (folder / 'proxy.log').open('w')
        owned.callback(self.log.close)
        self.proxy = ProxyProcess(command, self.log.fileno(), owned)
        self._wait_for_proxy()

    def load(self, port: int, sql: str, connections: int) -> LoadReport:
        """Load a port and return what the load saw."""
        command = self._write_load(port, connections)
        done = subprocess.run(
            [*command, '--sql', sql],
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
            timeout=START_LIMIT * 2,
        )
        *notes, report = done.stdout.splitlines()
        for note in notes:
            print(note)
        return decode(report, type=LoadReport)

    def hold(self, port: int, connections: int) -> Process:
        """Open idle connections; return once they are open."""
        holder = Process(self._write_load(port, connections), self._owned)
        if 'open' not in holder.read_line():
            raise AssertionError('the connections were not opened')
        return holder

    def _write_load(self, port: int, connections: int) -> list[str]:
        command = [sys.executable, '-m', 'benchmarks.load']
        command += ['--port', str(port), '--database', GROUP]
        return [*command, '--connections', str(connections)]

    def _wait_for_proxy(self) -> None:
        deadline = monotonic() + START_LIMIT
        while monotonic() < deadline:
            try:
                create_connection((HOST, self.caller_port), 1).close()
            except OSError:
                sleep(0.1)
                continue
            # The configuration arrives a moment after the port opens.
            sleep(2)
            return
        raise AssertionError('the proxy did not start')


class ProxyProcess(Process):
    """Own the proxy, whose log goes to a file."""

    def __init__(
        self,
        arguments: list[str],
        log: int,
        owned: ExitStack,
    ) -> None:
        """Start it; a pipe that nobody reads would stop it."""
        self.child = subprocess.Popen(
            arguments,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            text=True,
        )
        owned.callback(self.end)
