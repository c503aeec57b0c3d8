"""Send the store's changes to peers of the same zone."""

from asyncio import Event, sleep

from sedgeshunt.identifiers import Revision, Seconds
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.registry.feeds import ChangeReceiver
from sedgeshunt.registry.store_view import StoreView

# Followers query the store themselves once their feed ends, so this interval
# adds to the time in which a network partition shows to the load balancer.
CHECK_INTERVAL = Seconds(0.05)


class FeedServer:
    """Serve followers while this instance itself reaches the store."""

    # A follower takes an open feed as proof that the store answers, and renews
    # its own lease rarely. A feed that stayed open without the store would
    # keep the instances of a network partition from noticing it.

    def __init__(self, view: StoreView, lease: InstanceLease) -> None:
        """Start without followers."""
        self._view = view
        self._lease = lease
        # Only watchers have followers; all others have nothing to check.
        self._followed = Event()

    def add_follower(self, receive: ChangeReceiver, after: Revision) -> None:
        """Send a peer the store's changes after a revision."""
        if self._reaches_store():
            self._view.followers.add(receive, after)
            self._followed.set()
        else:
            receive(None)

    def remove_follower(self, receive: ChangeReceiver) -> None:
        """Stop sending changes to a peer."""
        self._view.followers.remove(receive)

    async def run(self) -> None:
        """End all feeds whenever the store stops answering."""
        while True:
            await self._followed.wait()
            self._followed.clear()
            while self._view.followers:
                await sleep(CHECK_INTERVAL)
                if not self._reaches_store():
                    self._view.followers.end_all()

    def _reaches_store(self) -> bool:
        return self._view.is_watching and not self._lease.is_overdue()
