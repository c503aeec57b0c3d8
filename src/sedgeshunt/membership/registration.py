"""Check whether the store lists this process."""

from asyncio import timeout
from contextlib import suppress

from sedgeshunt.identifiers import Seconds
from sedgeshunt.ownership.lease import Registration
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.registry.keys import make_instance_key
from sedgeshunt.registry.store_view import StoreView


class StoreViewRegistration(Registration):
    """Look up this process in the view of the store."""

    def __init__(self, view: StoreView, own: InstanceEntry) -> None:
        """Look up the entry `own`."""
        self._view = view
        self._own = own

    async def wait_listed(self, limit: Seconds) -> None:
        """Wait until the view is loaded, or for `limit` at the most."""
        with suppress(TimeoutError):
            async with timeout(limit):
                await self._view.loaded.wait()

    def is_missing(self) -> bool:
        """Return whether the store certainly does not list this process."""
        if not (self._view.is_reached and self._view.loaded.is_set()):
            return False
        pair = self._view.get(make_instance_key(self._own.name))
        if pair is None:
            return True
        return self._view.read_entry(pair, InstanceEntry) != self._own
