"""Define the connections for frames between proxies."""

from abc import ABC, abstractmethod

from sedgeshunt.forwarding.messages import Frame
from sedgeshunt.identifiers import Seconds
from sedgeshunt.ports import Address


class FrameChannel(ABC):
    """Send and receive frames on one connection."""

    @abstractmethod
    async def receive(self) -> Frame | None:
        """Return the next frame, None once the connection is closed."""

    @abstractmethod
    def send(self, frame: Frame) -> None:
        """Send a frame without waiting; a broken connection drops it.

        Raise FrameTooLong for a call or a reply beyond the limit of frames.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection at once; closing twice is harmless."""


class FrameConnector(ABC):
    """Open connections to other proxies."""

    @abstractmethod
    async def connect(self, address: Address, limit: Seconds) -> FrameChannel:
        """Open a connection; raise PeerUnreachable."""
