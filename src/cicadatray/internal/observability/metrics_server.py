"""The HTTP application that serves the metrics of one process."""

from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from cicadatray.internal.observability.metrics_registry import MetricsRegistry


def metrics_application(
    registry: MetricsRegistry, before_render: Callable[[], None] = lambda: None
) -> Starlette:
    """Returns an application that serves `/metrics` in the text exposition format.

    `before_render` is called for each request before the metrics are read.
    """

    async def show(request: Request) -> Response:
        before_render()
        return PlainTextResponse(registry.render_text())

    return Starlette(routes=[Route("/metrics", show, methods=["GET"])])
