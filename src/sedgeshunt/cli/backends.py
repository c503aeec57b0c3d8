"""Open what commands talk to."""

import sys
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from pathlib import Path

from sedgeshunt.cli.errors import FileUnreadable
from sedgeshunt.metrics import MetricsReader
from sedgeshunt.ports import Address, KeyValueService, PeerConnector

STANDARD_INPUT = '-'


class Backends(ABC):
    """Reach the platform, the proxies and the operator's files."""

    @abstractmethod
    def open_platform(
        self,
        address: Address,
    ) -> AbstractAsyncContextManager[KeyValueService]:
        """Open the key-value service for the length of a command."""

    @abstractmethod
    def make_connector(self) -> PeerConnector:
        """Return a connector to proxies."""

    @abstractmethod
    def make_metrics_reader(self) -> MetricsReader:
        """Return a reader of metrics pages."""

    @abstractmethod
    def read_file(self, path: str) -> str:
        """Return a file's text; raise FileUnreadable."""

    @abstractmethod
    def run_proxy(self, settings: Path) -> None:
        """Serve as a proxy until told to stop."""


class NetworkBackends(Backends):
    """Reach real services; adapters are loaded when they are needed."""

    @asynccontextmanager
    async def open_platform(
        self,
        address: Address,
    ) -> AsyncIterator[KeyValueService]:
        """Open the key-value service for the length of a command."""
        from sedgeshunt.adapters.platform import EtcdGateway

        gateway = EtcdGateway(address.host, address.port)
        try:
            yield gateway
        finally:
            await gateway.close()

    def make_connector(self) -> PeerConnector:
        """Return a connector to proxies."""
        from sedgeshunt.adapters.peers import ThriftPeerConnector

        return ThriftPeerConnector()

    def make_metrics_reader(self) -> MetricsReader:
        """Return a reader of metrics pages."""
        from sedgeshunt.adapters.metrics_reader import HttpMetricsReader

        return HttpMetricsReader()

    def read_file(self, path: str) -> str:
        """Return a file's text; raise FileUnreadable."""
        if path == STANDARD_INPUT:
            return sys.stdin.read()
        try:
            return Path(path).read_text(encoding='utf-8')
        except OSError as failure:
            raise FileUnreadable(path, str(failure.strerror)) from failure
        except UnicodeDecodeError as failure:
            raise FileUnreadable(path, 'it is no UTF-8 text') from failure

    def run_proxy(self, settings: Path) -> None:
        """Serve as a proxy until told to stop."""
        from sedgeshunt.daemon import run_proxy

        run_proxy(settings)
