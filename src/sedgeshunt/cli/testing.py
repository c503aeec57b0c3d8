"""Run commands in-process, with input in and output out."""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from io import StringIO
from pathlib import Path

from sedgeshunt.cli.backends import Backends
from sedgeshunt.cli.console import Console
from sedgeshunt.cli.errors import FileUnreadable
from sedgeshunt.cli.line import CommandLine
from sedgeshunt.exceptions import ExitCode, PeerUnreachable
from sedgeshunt.metrics import MetricsReader, Samples
from sedgeshunt.ports import Address, KeyValueService, PeerConnector

PLATFORM_OPTION = '--platform=127.0.0.1:2379'


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Hold what a command left behind."""

    exit_code: ExitCode
    stdout: str
    stderr: str


class MemoryMetricsReader(MetricsReader):
    """Hand out metrics that stand in memory."""

    def __init__(self, pages: Mapping[Address, Samples]) -> None:
        """Keep the metrics of each instance."""
        self._pages = {
            f'{address.host}:{address.port}': samples
            for address, samples in pages.items()
        }

    async def read(self, address: Address) -> str:
        """Return an instance's name; raise PeerUnreachable."""
        name = f'{address.host}:{address.port}'
        if name not in self._pages:
            raise PeerUnreachable(name, 'refused')
        return name

    def parse(self, page: str) -> Samples:
        """Return the metrics of the instance that was read."""
        return self._pages[page]


@dataclass
class MemoryBackends(Backends):
    """Hand out services and files that stand in memory."""

    platform: KeyValueService
    peers: PeerConnector
    files: Mapping[str, str]
    started: list[Path]
    pages: Mapping[Address, Samples] = field(default_factory=dict)

    @asynccontextmanager
    async def open_platform(
        self,
        address: Address,
    ) -> AsyncIterator[KeyValueService]:
        """Hand out the same service for every address."""
        yield self.platform

    def make_connector(self) -> PeerConnector:
        """Return the connector that was given."""
        return self.peers

    def make_metrics_reader(self) -> MetricsReader:
        """Return a reader of the metrics that were given."""
        return MemoryMetricsReader(self.pages)

    def read_file(self, path: str) -> str:
        """Return a file's text; raise FileUnreadable."""
        if path not in self.files:
            raise FileUnreadable(path, 'no such file')
        return self.files[path]

    def run_proxy(self, settings: Path) -> None:
        """Take down the settings only."""
        self.started.append(settings)


class CommandRunner:
    """Run commands against services in memory."""

    def __init__(self, platform: KeyValueService, peers: PeerConnector) -> None:
        """Keep the services between commands."""
        # The settings that proxies were started with.
        self.started: list[Path] = []
        # The metrics of instances, by the address of their page.
        self.pages: dict[Address, Samples] = {}
        self._platform = platform
        self._peers = peers

    async def invoke(
        self,
        arguments: Sequence[str],
        files: Mapping[str, str] | None = None,
    ) -> CommandResult:
        """Run one command; a cancelled task counts as an interrupt."""
        backends = MemoryBackends(
            self._platform,
            self._peers,
            files or {},
            self.started,
            self.pages,
        )
        console = Console(StringIO(), StringIO())
        line = CommandLine(backends, console)
        code = await line.run_inside([PLATFORM_OPTION, *arguments])
        return CommandResult(code, _read(console.out), _read(console.err))


def _read(stream: object) -> str:
    return stream.getvalue() if isinstance(stream, StringIO) else ''
