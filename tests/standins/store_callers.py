"""Hold what the store does to the calls of one proxy."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from json import dumps, loads
from random import Random
from re import Match
from re import compile as compile_pattern

from sedgeshunt.registry.keys import INSTANCES_PREFIX

ADDRESS = compile_pattern(rb'127\.0\.0\.1:(\d+)')
HOST = '127.0.0.1'
LATE_ANSWERS = (0.2, 0.9)


@dataclass
class StoreCaller:
    """Hold the faults that the store shows to one proxy alone."""

    name: str = ''
    # If set, the status of every response.
    refusal: int | None = None
    # While true, each connection is reset.
    is_reset: bool = False
    # While true, no call is answered or executed.
    is_silent: bool = False
    # Share of the calls that are executed at once and answered late.
    slow_share: float = 0
    # While true, claims of groups are executed and not answered yet.
    holds_claims: bool = False
    # While true, renewals of leases are refused, as reads beyond the limit.
    refuses_renewals: bool = False
    # Share of the calls that are executed and never answered.
    lost_share: float = 0
    # Share of the calls that are executed `late_by` later, never answered.
    late_share: float = 0
    late_by: float = 0
    random: Random = field(default_factory=Random)
    # Ports at which this proxy reaches others, by the ports that they name.
    ports: Mapping[int, int] = field(default_factory=dict)

    @property
    def is_refused(self) -> bool:
        """Return whether no call of this proxy is answered."""
        return self.refusal is not None or self.is_reset or self.is_silent

    def heal(self) -> None:
        """End all faults."""
        self.refusal = None
        self.is_reset = False
        self.is_silent = False
        self.slow_share = 0
        self.holds_claims = False
        self.refuses_renewals = False
        self.lost_share = 0
        self.late_share = 0

    def draw_delay(self) -> float:
        """Return how much later an answer is sent."""
        if self.random.random() >= self.slow_share:
            return 0
        return self.random.uniform(*LATE_ANSWERS)

    def translate(self, key: str, content: bytes) -> bytes:
        """Return what this proxy reads, with the ports by which it connects."""
        if key.startswith(INSTANCES_PREFIX):
            return self._translate_instance(content)
        return _replace_ports(content, self.ports)

    def restore(self, content: bytes) -> bytes:
        """Return what this proxy writes, with the ports of the listeners."""
        known = {port: listened for listened, port in self.ports.items()}
        return _replace_ports(content, known)

    def _translate_instance(self, content: bytes) -> bytes:
        entry = loads(content)
        port = self.ports.get(entry['port'], entry['port'])
        return dumps({**entry, 'port': port}).encode()


def _replace_ports(content: bytes, ports: Mapping[int, int]) -> bytes:
    def replace(found: Match[bytes]) -> bytes:
        port = int(found[1])
        return f'{HOST}:{ports.get(port, port)}'.encode()

    return ADDRESS.sub(replace, content)
