"""Tell the platform's balancer whether this proxy takes callers."""

from collections.abc import Callable
from contextlib import AsyncExitStack

from aiohttp.web import (
    Application,
    AppRunner,
    Request,
    Response,
    TCPSite,
)

from sedgeshunt.ports import Address

READY = 200
NOT_READY = 503


class ReadinessServer:
    """Answer the balancer's question."""

    def __init__(self, address: Address, is_ready: Callable[[], bool]) -> None:
        """Ask `is_ready` at each question."""
        self.address = address
        self._is_ready = is_ready
        self._owned = AsyncExitStack()

    async def start(self) -> None:
        """Listen; raise OSError."""
        application = Application()
        application.router.add_get('/ready', self._answer)
        runner = AppRunner(application, access_log=None)
        await runner.setup()
        self._owned.push_async_callback(runner.cleanup)
        await TCPSite(runner, self.address.host, self.address.port).start()

    async def stop(self) -> None:
        """Listen no more."""
        await self._owned.aclose()

    async def _answer(self, request: Request) -> Response:
        return Response(status=READY if self._is_ready() else NOT_READY)
