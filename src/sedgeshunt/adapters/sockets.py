"""Set the options by which the kernel ends silent connections."""

from asyncio import StreamWriter
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
    socket,
)
from typing import cast

# A peer behind a partition sends no reset. Unacknowledged bytes end the
# connection after this many milliseconds, an idle one is probed each second.
UNACKNOWLEDGED_MS = 2000
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 2


def watch_silence(writer: StreamWriter) -> None:
    """Have the kernel end the connection when the other side is silent."""
    endpoint = cast(socket, writer.get_extra_info('socket'))
    for level, option, setting in (
        (SOL_SOCKET, SO_KEEPALIVE, 1),
        (IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER_S),
        (IPPROTO_TCP, TCP_KEEPINTVL, PROBE_EVERY_S),
        (IPPROTO_TCP, TCP_KEEPCNT, PROBES),
        (IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        endpoint.setsockopt(level, option, setting)
