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
# These statuses say that a call was rejected. Others, such as those of a server
# error or a gateway, may come from a platform that still carries it out.
_REJECTIONS = range(400, 500)
# The request or its answer was late; the platform may have received it.
_REQUEST_TIMEOUT = 408


class PlatformPromotions(PromotionService):
    """Send promotion orders to the HTTP interface of the platform."""

    def __init__(self, address: Address) -> None:
        """Open a new connection for each order."""
        # A new connection fails at once if the platform is down; data sent on
        # one that has broken unnoticed would be lost.
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
        return read_answer(reply.status)

    def describe_reply(self, group: GroupId) -> str:
        """Return the status or failure of the latest order of a group."""
        return self._replies.get(group, '')

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


def read_answer(status: int) -> PromotionAnswer:
    """Return what the status of an answer says about its order."""
    known = _ANSWERS.get(status)
    if known is not None:
        return known
    if status in _REJECTIONS and status != _REQUEST_TIMEOUT:
        return PromotionAnswer.NOT_TAKEN
    return PromotionAnswer.UNANSWERED
