"""Request promotions from the platform."""

from sedgeshunt.adapters.json_client import (
    CallFailed,
    JsonClient,
    ServiceAway,
)
from sedgeshunt.groups.orders import (
    PromotionAnswer,
    PromotionOrder,
    PromotionService,
)
from sedgeshunt.identifiers import GroupId, Seconds
from sedgeshunt.ports import Address

_ANSWERS = {
    200: PromotionAnswer.ACCEPTED,
    409: PromotionAnswer.TARGET_DOWN,
}


class PlatformPromotions(PromotionService):
    """Send promotion orders to the HTTP interface of the platform."""

    def __init__(self, address: Address) -> None:
        """Open a new connection for each order."""
        # Data delayed by a partition is lost with its connection, so that no
        # order arrives after its sender's timeout.
        self._client = JsonClient([address])
        self._replies: dict[GroupId, str] = {}

    def move(self, address: Address) -> None:
        """Use another address from the next order on."""
        self._client.move(address)

    async def order(
        self,
        order: PromotionOrder,
        limit: Seconds,
    ) -> PromotionAnswer:
        """Send an order and return its outcome within `limit` seconds."""
        try:
            reply = await self._client.exchange(
                'POST',
                '/promote',
                {'service': order.group, 'id': order.target},
                {
                    'X-Lease-Holder': order.holder,
                    'X-Fencing-Token': str(order.token),
                },
                limit,
            )
        except ServiceAway as away:
            self._replies[order.group] = str(away)
            return PromotionAnswer.NOT_TAKEN
        except CallFailed as failure:
            self._replies[order.group] = str(failure)
            return PromotionAnswer.UNANSWERED
        self._replies[order.group] = str(reply.status)
        return _ANSWERS.get(reply.status, PromotionAnswer.NOT_TAKEN)

    def describe_reply(self, group: GroupId) -> str:
        """Return the status or failure of the latest order of a group."""
        return self._replies.get(group, '')

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
