"""Order promotions from the platform."""

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
    """Post promotions to the platform's own interface."""

    def __init__(self, address: Address) -> None:
        """Connect anew for each order."""
        # Bytes that a partition holds up are lost with the connection, so
        # that no order arrives after its sender has given it up.
        self._client = JsonClient([address])

    def move(self, address: Address) -> None:
        """Order at another address from the next order on."""
        self._client.move(address)

    async def order(
        self,
        order: PromotionOrder,
        limit: Seconds,
    ) -> PromotionAnswer:
        """Send one order and wait for its answer within `limit`."""
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
        return _ANSWERS.get(reply.status, PromotionAnswer.NOT_TAKEN)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
