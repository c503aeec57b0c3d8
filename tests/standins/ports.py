"""Find ports that no outgoing connection can occupy."""

from itertools import cycle
from os import getpid
from socket import socket

HOST = '127.0.0.1'
# Below the ports that the kernel gives to outgoing connections.
FIRST, LAST = 12000, 32000
# Processes begin at ports that are this far from each other.
STRIDE = 3989

_begin = FIRST + getpid() * STRIDE % (LAST - FIRST)
_ports = cycle((*range(_begin, LAST), *range(FIRST, _begin)))


def find_port() -> int:
    """Return a port that stays free while its listener is restarted."""
    for port in _ports:
        with socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port
    raise OSError('no free port')
