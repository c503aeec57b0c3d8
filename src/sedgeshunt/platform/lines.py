"""Encode and decode the messages of the line protocol."""

from asyncio import (
    IncompleteReadError,
    LimitOverrunError,
    StreamReader,
    get_running_loop,
)
from collections.abc import Sequence
from typing import Any

from sedgeshunt.exceptions import SedgeshuntError

# Limit of the platform's wire protocol.
MAX_MESSAGE_BYTES = 1024 * 1024
LINE_END = b'\r\n'
# A reader with this limit refuses longer messages, with or without a line end.
READER_LIMIT = MAX_MESSAGE_BYTES - len(LINE_END) + 1
FIELD_SEPARATOR = ' '
# Any number of so many digits fits into 64 bits.
MAX_DIGITS = 18
MAX_QUOTED = 40
# Longest free text in an error. Names in it may be as long as a message.
MAX_REASON = 400


class MessageInvalid(SedgeshuntError):
    """Signal that a message can be neither sent nor read."""


class MessageTooLong(MessageInvalid):
    """Signal that a line exceeds the maximum message size."""

    def format_message(self) -> str:
        """Return the limit and the remedy."""
        return (
            f'a message is longer than {MAX_MESSAGE_BYTES} bytes; '
            + 'split it into smaller ones'
        )


class MessageMalformed(MessageInvalid):
    """Signal that a line is not a valid message."""

    def __init__(self, reason: str) -> None:
        """Store the reason."""
        super().__init__(reason)
        self.reason = reason

    def format_message(self) -> str:
        """Return the reason and the expected format."""
        return f'{self.reason}; send a word, its fields and a line end'


class MessageReader(StreamReader):
    """Read a connection and count the bytes that have not been read yet."""

    def __init__(self) -> None:
        """Start on the running loop with the limit of a message."""
        super().__init__(limit=READER_LIMIT, loop=get_running_loop())
        self.unread = 0

    def feed_data(self, data: Any) -> None:
        """Add bytes that have arrived."""
        self.unread += len(data)
        super().feed_data(data)

    async def readuntil(self, separator: Any = LINE_END) -> bytes:
        """Return the bytes up to the end of a message."""
        line = await super().readuntil(separator)
        self.unread -= len(line)
        return line


async def read_line(reader: StreamReader) -> str | None:
    """Return the next line without its line end; None at end of stream.

    Raise MessageTooLong or MessageMalformed.
    """
    try:
        line = await reader.readuntil(LINE_END)
    except IncompleteReadError:
        return None
    except LimitOverrunError as failure:
        raise MessageTooLong from failure
    try:
        return line.removesuffix(LINE_END).decode()
    except UnicodeDecodeError as failure:
        raise MessageMalformed('the line is no UTF-8 text') from failure


def split_line(line: str, fields: int) -> list[str]:
    """Split a line into its word and fields; the last keeps its spaces."""
    parts = line.split(FIELD_SEPARATOR, fields)
    parts.extend('' for _ in range(fields + 1 - len(parts)))
    return parts


def parse_number(text: str) -> int:
    """Parse a count of at most 18 digits; raise MessageMalformed."""
    if not text.isdecimal() or len(text) > MAX_DIGITS:
        raise MessageMalformed(f'"{text[:MAX_QUOTED]}" is no count')
    return int(text)


def make_line(*parts: str) -> bytes:
    """Encode a word and its fields as one line; the last may contain spaces.

    Raise MessageTooLong or MessageMalformed unless read_line() and split_line()
    return the same parts.
    """
    if any(FIELD_SEPARATOR in part for part in parts[:-1]):
        raise MessageMalformed('a field before the last one contains a space')
    line = _encode(FIELD_SEPARATOR.join(parts))
    if len(line) > READER_LIMIT:
        raise MessageTooLong
    return line + LINE_END


def make_lines(messages: Sequence[Sequence[str]]) -> bytes:
    """Encode several messages as consecutive lines; raise as make_line()."""
    return b''.join(make_line(*message) for message in messages)


def shorten_reason(reason: str) -> str:
    """Return the reason of an error so that it fits into a message."""
    return ' '.join(reason[:MAX_REASON].splitlines())


def _encode(text: str) -> bytes:
    try:
        line = text.encode()
    except UnicodeEncodeError as failure:
        raise MessageMalformed('a field is no UTF-8 text') from failure
    if LINE_END in line:
        raise MessageMalformed('a field contains a line end')
    return line
