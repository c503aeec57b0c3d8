"""Speak the wire protocol of the users' platform as a caller does."""

from asyncio import (
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    open_connection,
    timeout,
)
from contextlib import suppress

from tests.standins.statement_front import HOST

LINE_END = b'\r\n'
# Time in which a line that has arrived is read.
POLL_TIME = 0.001


class SessionDrained(Exception):
    """Say that the proxy asked the caller to leave."""


class Session:
    """Speak the wire protocol over one connection."""

    def __init__(self, port: int) -> None:
        """Connect in open()."""
        self.row = ''
        # The last answer: COMPLETE or an error's code.
        self.word = ''
        self._port = port
        self._reader: StreamReader
        self._writer: StreamWriter | None = None

    async def open(self, database: str) -> None:
        """Open a session; raise OSError."""
        opened = await open_connection(HOST, self._port)
        self._reader = opened[0]
        self._writer = opened[1]
        self._send(f'START {database} soak')
        line = await self._read_line()
        if not line.startswith('READY'):
            raise ConnectionRefusedError(line)

    async def ask(self, name: str, text: str) -> str:
        """Return COMPLETE or an error's code; raise OSError."""
        self._send(f'QUERY {name} {text}')
        word = ''
        while line := await self._read_line():
            kind, _, rest = line.partition(' ')
            if kind == 'ROW':
                self.row = rest
            if kind == 'COMPLETE':
                word = kind
            if kind == 'ERROR':
                word = rest.partition(' ')[0]
            if kind == 'READY':
                self.word = word
                return word
        raise ConnectionResetError(f'closed after {word}')

    async def check_drained(self) -> None:
        """Raise SessionDrained if the proxy has asked to leave."""
        with suppress(TimeoutError):
            async with timeout(POLL_TIME):
                await self._read_line()
                raise SessionDrained

    async def _read_line(self) -> str:
        """Return the next line, empty at the end of the connection."""
        try:
            line = await self._reader.readuntil(LINE_END)
        except IncompleteReadError:
            return ''
        return line.removesuffix(LINE_END).decode()

    def _send(self, line: str) -> None:
        if self._writer is not None:
            self._writer.write(f'{line}\r\n'.encode())

    def close(self) -> None:
        """Drop the connection; closing twice does no harm."""
        if self._writer is not None:
            self._writer.transport.abort()
