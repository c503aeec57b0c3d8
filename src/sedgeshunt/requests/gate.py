"""Define the interface between client protocols and request handling."""

from abc import ABC, abstractmethod

from result import Result

from sedgeshunt.identifiers import GroupId, Seconds, TraceId, TrafficClass
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.requests.request import Request

DEFAULT_DEADLINE = Seconds(2)


class CallerSession(ABC):
    """Answer the requests of one caller to one group, in order."""

    @property
    @abstractmethod
    def in_transaction(self) -> bool:
        """Return whether the caller has a transaction to end.

        Remains True for a lost transaction until the caller ends it.
        Otherwise its further statements would commit one by one.
        """

    @property
    @abstractmethod
    def token(self) -> str:
        """Return the signed token of the current session state."""

    @abstractmethod
    async def answer(self, request: Request) -> Result[Answer, Refusal]:
        """Run one request and return its outcome."""

    @abstractmethod
    async def close(self) -> None:
        """Roll back an open transaction; closing again has no effect."""

    def find_deadline(self, traffic_class: TrafficClass) -> Seconds:
        """Return the time limit of a request that sets no deadline."""
        return DEFAULT_DEADLINE


class CallerGate(ABC):
    """Open sessions for callers."""

    @abstractmethod
    async def open_session(
        self,
        group: GroupId,
        trace: TraceId,
    ) -> CallerSession:
        """Open a session; for an unknown group, it refuses each request."""
