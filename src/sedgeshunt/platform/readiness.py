"""Provide the readiness and metrics pages that the platform requests."""

from collections.abc import Callable, Mapping

from sedgeshunt.adapters.pages import NOT_READY, OK, MakePage, Page

READY_PATH = b'/ready'
METRICS_PATH = b'/metrics'


def list_readiness_pages(
    is_ready: Callable[[], bool],
) -> Mapping[bytes, MakePage]:
    """Return the page that the load balancer requests."""
    return {
        READY_PATH: lambda: Page(OK if is_ready() else NOT_READY),
    }


def list_metrics_pages(
    make_body: Callable[[], bytes],
) -> Mapping[bytes, MakePage]:
    """Return the page that the platform scrapes for metrics."""
    return {METRICS_PATH: lambda: Page(OK, make_body())}
