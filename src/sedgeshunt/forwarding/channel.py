"""Define the connections over which proxies exchange frames."""

from abc import ABC, abstractmethod

from sedgeshunt.forwarding.messages import Frame
from sedgeshunt.identifiers import Seconds
from sedgeshunt.ports import Address


class FrameChannel(ABC):
    """Carry frames both ways on one connection."""

    @abstractmethod
    async def receive(self) -> Frame | None:
        """Return the next frame, None once the connection has ended."""

    @abstractmethod
    def send(self, frame: Frame) -> None:
        """Send a frame without waiting; a broken connection takes any."""

    @abstractmethod
    def close(self) -> None:
        """Drop the connection at once; closing twice does no harm."""


class FrameConnector(ABC):
    """Open connections to other proxies."""

    @abstractmethod
    async def connect(self, address: Address, limit: Seconds) -> FrameChannel:
        """Open a connection; raise PeerUnreachable."""
