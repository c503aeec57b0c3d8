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
from sedgeshunt.identifiers import Seconds
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
        except ServiceAway:
            return PromotionAnswer.NOT_TAKEN
        except CallFailed:
            return PromotionAnswer.UNANSWERED
        return read_answer(reply.status)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


def read_answer(status: int) -> PromotionAnswer:
    """Return what the status of an answer says about its order."""
    return _ANSWERS.get(status, PromotionAnswer.NOT_TAKEN)
