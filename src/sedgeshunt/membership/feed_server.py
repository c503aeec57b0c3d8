"""Hand the store's changes on to peers of the zone."""

from asyncio import sleep

from sedgeshunt.identifiers import Revision, Seconds
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.registry.feeds import ChangeReceiver
from sedgeshunt.registry.store_view import StoreView

# Followers ask the store themselves as soon as they hear that this instance
# does not hear it; a cut shows to its callers' balancer that much later.
LOOK_EVERY = Seconds(0.05)


class FeedServer:
    """Serve followers while this instance itself hears the store."""

    # A follower takes each open feed for a sign that the store answers, and
    # renews its own lease rarely. A feed that stayed open without the store
    # would keep a part that is cut off from noticing it.

    def __init__(self, view: StoreView, lease: InstanceLease) -> None:
        """Have no follower."""
        self._view = view
        self._lease = lease

    def add_follower(self, receive: ChangeReceiver, after: Revision) -> None:
        """Hand a peer what the store changes after a revision."""
        if self._hears_store():
            self._view.followers.add(receive, after)
        else:
            receive(None)

    def remove_follower(self, receive: ChangeReceiver) -> None:
        """Hand a peer nothing more."""
        self._view.followers.remove(receive)

    async def run(self) -> None:
        """End all feeds whenever the store falls silent, until cancelled."""
        while True:
            await sleep(LOOK_EVERY)
            if not self._hears_store():
                self._view.followers.end_all()

    def _hears_store(self) -> bool:
        return self._view.is_watching and not self._lease.is_overdue()
