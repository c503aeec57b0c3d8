"""Read the platform's list of instances."""

from collections.abc import Sequence

from msgspec import Struct, ValidationError, convert

from sedgeshunt.adapters.json_client import CallFailed, JsonClient
from sedgeshunt.exceptions import PlatformUnavailable
from sedgeshunt.identifiers import ZoneId
from sedgeshunt.ports import (
    Address,
    InstanceList,
    InstanceState,
    ListedInstance,
)


class InstanceLine(Struct, frozen=True):
    """Hold one line of the list as the platform writes it."""

    name: str
    host: str
    port: int
    zone: str
    state: InstanceState

    def make_instance(self) -> ListedInstance:
        """Return it as the ports want it."""
        return ListedInstance(
            self.name,
            Address(self.host, self.port),
            ZoneId(self.zone),
            self.state,
        )


class HttpInstanceList(InstanceList):
    """Read the list of instances over HTTP."""

    def __init__(self, host: str, port: int) -> None:
        """Connect to nothing yet."""
        self._client = JsonClient([Address(host, port)])

    async def read_instances(self) -> Sequence[ListedInstance]:
        """Return the list; raise PlatformUnavailable."""
        try:
            listed = convert(
                await self._client.get('/instances'),
                list[InstanceLine],
            )
        except (CallFailed, ValidationError) as failure:
            raise PlatformUnavailable(str(failure)) from failure
        return [line.make_instance() for line in listed]

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
