"""Read the metrics pages of instances over HTTP."""

from asyncio import open_connection
from os import strerror

from prometheus_client.parser import text_string_to_metric_families

from sedgeshunt.adapters.http_connection import (
    HttpBroken,
    HttpConnection,
    HttpReply,
    HttpRequest,
)
from sedgeshunt.exceptions import PeerUnreachable
from sedgeshunt.metrics import MetricSample, MetricsReader, Samples
from sedgeshunt.ports import Address

OK_STATUS = 200
PAGE = '/metrics'


class HttpMetricsReader(MetricsReader):
    """Request each page on a connection of its own."""

    async def read(self, address: Address) -> str:
        """Return an instance's page; raise PeerUnreachable."""
        name = f'{address.host}:{address.port}'
        try:
            reply = await _request_page(address, name)
        except (OSError, HttpBroken) as failure:
            raise PeerUnreachable(name, _describe(failure)) from failure
        if reply.status != OK_STATUS:
            raise PeerUnreachable(name, f'{PAGE} has status {reply.status}')
        return reply.body.decode(errors='replace')

    def parse(self, page: str) -> Samples:
        """Return the samples of a page; raise ValueError."""
        return {
            family.name: [
                MetricSample(sample.labels, sample.value)
                for sample in family.samples
            ]
            for family in text_string_to_metric_families(page)
        }


async def _request_page(address: Address, name: str) -> HttpReply:
    reader, writer = await open_connection(address.host, address.port)
    connection = HttpConnection(reader, writer)
    try:
        return await connection.exchange(name, HttpRequest('GET', PAGE))
    finally:
        connection.close()


def _describe(failure: OSError | HttpBroken) -> str:
    if isinstance(failure, HttpBroken):
        return failure.reason
    # The event loop puts the address into the text.
    return strerror(failure.errno) if failure.errno else str(failure)
