"""Answer other proxies as one with nothing new does."""

from collections.abc import Sequence

from sedgeshunt.identifiers import (
    GroupId,
    ProxyId,
    Revision,
    Seconds,
    Term,
    ZoneId,
)
from sedgeshunt.ports import (
    PeerService,
    ConfigurationCopy,
    PrimaryReport,
    ProxyReport,
)


class IdlePeer(PeerService):
    """Answer as a proxy with nothing new does."""

    def __init__(self, name: str) -> None:
        """Go by a name."""
        self._name = ProxyId(name)

    async def report(self) -> ProxyReport:
        """Tell the name."""
        return ProxyReport(
            self._name,
            ZoneId('zone-b'),
            Revision(0),
            stopping=False,
            document=b'',
        )

    async def report_primary(self, group: GroupId) -> PrimaryReport:
        """Know nothing of any group."""
        return PrimaryReport(group, Term(0), None, None)

    async def copy_configuration(
        self,
        known: Revision,
    ) -> ConfigurationCopy | None:
        """Have nothing newer."""

    async def announce_leaving(self, name: str) -> None:
        """Take no note."""

    async def explain(self, question: bytes) -> bytes:
        """Explain nothing."""
        return b'{}'

    async def copy_tallies(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> Sequence[bytes]:
        """Have counted nothing."""
        return ()
