"""Define how the way in from callers reaches the rest of the proxy."""

from abc import ABC, abstractmethod

from result import Result

from sedgeshunt.identifiers import GroupId, Seconds, TraceId, TrafficClass
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.requests.request import Request

DEFAULT_DEADLINE = Seconds(2)


class CallerSession(ABC):
    """Answer one caller's requests to one group, one after the other."""

    @property
    @abstractmethod
    def in_transaction(self) -> bool:
        """Tell whether the caller has a transaction to end.

        Stay True for a lost transaction until the caller ends it: its
        statements would otherwise commit one by one.
        """

    @property
    @abstractmethod
    def token(self) -> str:
        """Return the latest session token, signed."""

    @abstractmethod
    async def answer(self, request: Request) -> Result[Answer, Refusal]:
        """Carry one request to its one outcome."""

    @abstractmethod
    async def close(self) -> None:
        """Undo an open transaction; closing twice does no harm."""

    def find_deadline(self, traffic_class: TrafficClass) -> Seconds:
        """Return the time to answer when the caller names none."""
        return DEFAULT_DEADLINE


class CallerSessionFactory(ABC):
    """Let callers in."""

    @abstractmethod
    async def open_session(
        self,
        group: GroupId,
        trace: TraceId,
    ) -> CallerSession:
        """Open a session; an unknown group refuses each request."""
