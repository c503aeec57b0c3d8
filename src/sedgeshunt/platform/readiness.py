"""Tell the platform's balancer whether this proxy takes callers."""

from collections.abc import Callable, Mapping

from sedgeshunt.adapters.pages import NOT_READY, OK, MakePage, Page

READY_PATH = b'/ready'
METRICS_PATH = b'/metrics'


def list_readiness_pages(
    is_ready: Callable[[], bool],
) -> Mapping[bytes, MakePage]:
    """Return the page that the balancer asks for."""
    return {
        READY_PATH: lambda: Page(OK if is_ready() else NOT_READY),
    }


def list_metrics_pages(write: Callable[[], bytes]) -> Mapping[bytes, MakePage]:
    """Return the page that the platform reads metrics from."""
    return {METRICS_PATH: lambda: Page(OK, write())}
