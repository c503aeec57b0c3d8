"""Define the query to the other proxies about a group's primary."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from sedgeshunt.identifiers import GroupId
from sedgeshunt.ports import PrimaryReport


class PeerQuery(ABC):
    """Query to all reachable proxies at once."""

    @abstractmethod
    async def query_primary(self, group: GroupId) -> Sequence[PrimaryReport]:
        """Return the reports that arrive within a timeout; never raise."""
