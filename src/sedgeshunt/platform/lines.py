"""Read and write the messages that callers and targets exchange."""

from asyncio import (
    IncompleteReadError,
    LimitOverrunError,
    StreamReader,
)
from collections.abc import Sequence

from sedgeshunt.exceptions import SedgeshuntError

# Longest message, in bytes; source: the platform's page on the wire.
MAX_MESSAGE_BYTES = 1024 * 1024
LINE_END = b'\r\n'
BLANK = ' '


class MessageTooLong(SedgeshuntError):
    """Say that a line does not end within the longest message."""

    def format_message(self) -> str:
        """Name the limit."""
        return (
            f'a message is longer than {MAX_MESSAGE_BYTES} bytes; '
            + 'split it into smaller ones'
        )


class MessageMalformed(SedgeshuntError):
    """Say that a line is no message."""

    def __init__(self, reason: str) -> None:
        """Keep what is wrong with it."""
        super().__init__(reason)
        self.reason = reason

    def format_message(self) -> str:
        """Tell what is wrong."""
        return f'{self.reason}; send a word, its fields and a line end'


async def read_line(reader: StreamReader) -> str | None:
    """Return the next line without its end, None when there is none.

    Raise MessageTooLong or MessageMalformed.
    """
    try:
        line = await reader.readuntil(b'\n')
    except IncompleteReadError:
        return None
    except LimitOverrunError as failure:
        raise MessageTooLong from failure
    try:
        return line.rstrip(LINE_END).decode()
    except UnicodeDecodeError as failure:
        raise MessageMalformed('the line is no UTF-8 text') from failure


def split_line(line: str, fields: int) -> list[str]:
    """Split a line into its word and fields; the last one keeps blanks."""
    parts = line.split(BLANK, fields)
    parts.extend('' for _ in range(fields + 1 - len(parts)))
    return parts


def make_line(*parts: str) -> bytes:
    """Build a line from a word and its fields."""
    return BLANK.join(parts).encode() + LINE_END


def make_lines(messages: Sequence[Sequence[str]]) -> bytes:
    """Build several lines to be sent at once."""
    return b''.join(make_line(*message) for message in messages)
