"""Define what a proxy answers to other proxies and to operators."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from sedgeshunt.identifiers import GroupId, ProxyId, Revision, Seconds
from sedgeshunt.ports import ConfigurationCopy, PrimaryReport, ProxyReport


class PeerService(ABC):
    """Answer the calls that peers make."""

    @abstractmethod
    async def report(self) -> ProxyReport:
        """Tell what this proxy runs with."""

    @abstractmethod
    async def report_primary(self, group: GroupId) -> PrimaryReport:
        """Tell when this proxy last heard a group's primary."""

    @abstractmethod
    async def copy_configuration(
        self,
        known: Revision,
    ) -> ConfigurationCopy | None:
        """Return a configuration newer than `known`, None if there is none."""

    @abstractmethod
    async def announce_leaving(self, name: str) -> None:
        """Take note that instance `name` is leaving."""

    @abstractmethod
    async def explain(self, question: bytes) -> bytes:
        """Tell how a request would be routed; both are JSON documents."""

    @abstractmethod
    async def copy_tallies(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> Sequence[bytes]:
        """Return counts and copies, those of `proxies` or all."""
