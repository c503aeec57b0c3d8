"""Load the protocol between proxies and convert its structures."""

from asyncio import StreamReader, StreamWriter
from pathlib import Path
from typing import Any

from thriftpy2 import load
from thriftpy2.contrib.aio.protocol.binary import TAsyncBinaryProtocol
from thriftpy2.contrib.aio.socket import StreamHandler
from thriftpy2.contrib.aio.transport.buffered import TAsyncBufferedTransport
from thriftpy2.protocol.exc import TProtocolException
from thriftpy2.transport import TTransportException

from sedgeshunt.adapters.channel import ProtocolBroken
from sedgeshunt.decoding import MALFORMED
from sedgeshunt.identifiers import (
    GroupId,
    ProxyId,
    Revision,
    Seconds,
    TargetId,
    Term,
    ZoneId,
)
from sedgeshunt.ports import ConfigurationCopy, PrimaryReport, ProxyReport

MAX_FIELD = 16 * 1024 * 1024
# What ends a connection: it broke, or the other side is no proxy.
CONNECTION_FAILURES = (
    OSError,
    ProtocolBroken,
    TProtocolException,
    TTransportException,
    TimeoutError,
    *MALFORMED,
)

# Read at run time: no generator is needed.
peers_thrift: Any = load(
    str(Path(__file__).with_name('peers.thrift')),
    module_name='peers_thrift',
)


class BoundedHandler(StreamHandler):
    """Read from a peer no more than a message may hold."""

    async def read(self, size: int) -> bytes:
        """Read up to `size` bytes."""
        # A stray client's first bytes, taken for a length, would have the
        # proxy wait for gigabytes and keep them.
        if size > MAX_FIELD:
            raise ProtocolBroken('a field is too large')
        received: bytes = await super().read(size)
        return received


def make_protocol(reader: StreamReader, writer: StreamWriter) -> Any:
    """Speak the binary protocol over a connection."""
    return TAsyncBinaryProtocol(
        TAsyncBufferedTransport(BoundedHandler(reader, writer)),
    )


def write_report(report: ProxyReport) -> Any:
    """Turn a proxy's report into its structure."""
    return peers_thrift.ProxyReport(
        proxy=report.proxy,
        zone=report.zone,
        revision=report.revision,
        stopping=report.stopping,
        document=report.document,
    )


def read_report(given: Any) -> ProxyReport:
    """Read a proxy's report."""
    return ProxyReport(
        ProxyId(given.proxy),
        ZoneId(given.zone),
        Revision(given.revision),
        bool(given.stopping),
        given.document or b'',
    )


def write_primary(report: PrimaryReport) -> Any:
    """Turn a report on a primary into its structure."""
    return peers_thrift.PrimaryReport(
        group=report.group,
        term=report.term,
        primary=report.primary,
        heard_ago=report.heard_ago,
    )


def read_primary(given: Any) -> PrimaryReport:
    """Read a report on a primary."""
    return PrimaryReport(
        GroupId(given.group),
        Term(given.term),
        None if given.primary is None else TargetId(given.primary),
        None if given.heard_ago is None else Seconds(given.heard_ago),
    )


def write_copy(copy: ConfigurationCopy | None) -> Any:
    """Turn a copy of the configuration into its structure."""
    if copy is None:
        return peers_thrift.ConfigurationCopy(is_newer=False)
    return peers_thrift.ConfigurationCopy(
        is_newer=True,
        revision=copy.revision,
        document=copy.document,
    )


def read_copy(given: Any) -> ConfigurationCopy | None:
    """Read a copy of the configuration."""
    if not given.is_newer:
        return None
    return ConfigurationCopy(Revision(given.revision), given.document)
