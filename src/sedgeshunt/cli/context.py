"""Hand commands what they need."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from getpass import getuser
from ipaddress import ip_address
from typing import Annotated

from cyclopts import Parameter
from result import Err

from sedgeshunt.cli.backends import Backends
from sedgeshunt.cli.console import Console
from sedgeshunt.cli.errors import UsageError
from sedgeshunt.configuration.documents import (
    Document,
    OperatorFile,
    read_documents,
)
from sedgeshunt.configuration.errors import ObjectsInvalid
from sedgeshunt.configuration.registry import ConfigurationRegistry
from sedgeshunt.ports import Address, KeyValueService

PLATFORM_VARIABLE = 'SEDGESHUNT_PLATFORM'


class CommandContext:
    """Hold the streams and the services of one command."""

    def __init__(self, backends: Backends, console: Console) -> None:
        """Reach services through `backends`."""
        self.backends = backends
        self.console = console
        self.platform: str | None = None
        # Set while a command may change objects.
        self.registry: ConfigurationRegistry | None = None

    @asynccontextmanager
    async def open_platform(self) -> AsyncIterator[KeyValueService]:
        """Open the key-value service that the operator named."""
        if self.platform is None:
            raise UsageError(
                'the platform is not named; give --platform HOST:PORT or set '
                + PLATFORM_VARIABLE,
            )
        address = read_address(self.platform)
        async with self.backends.open_platform(address) as platform:
            yield platform

    @asynccontextmanager
    async def open_registry(
        self,
        author: str | None = None,
    ) -> AsyncIterator[ConfigurationRegistry]:
        """Open the registry in the author's name, or the user's."""
        async with self.open_platform() as platform:
            self.registry = ConfigurationRegistry(
                platform,
                author or getuser(),
            )
            yield self.registry

    def read_objects(self, paths: Sequence[str]) -> Document:
        """Read operator files; raise ObjectsInvalid or FileUnreadable."""
        if not paths:
            raise UsageError('no file is given; name one, or "-" for input')
        files = [
            OperatorFile(path, self.backends.read_file(path)) for path in paths
        ]
        document = read_documents(files)
        if isinstance(document, Err):
            raise ObjectsInvalid(document.err_value)
        return document.ok_value


# Handed over by the command line, never read from arguments.
Context = Annotated[CommandContext, Parameter(parse=False)]


def read_address(text: str) -> Address:
    """Read HOST:PORT; raise UsageError."""
    host, _, port = text.rpartition(':')
    host = host.strip('[]')
    try:
        return Address(str(ip_address(host)), int(port))
    except ValueError as failure:
        raise UsageError(
            f'"{text}" is no address; write an IP number and a port, such as '
            + '127.0.0.1:2379',
        ) from failure
