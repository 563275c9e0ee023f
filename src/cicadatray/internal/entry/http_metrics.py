"""HTTP route for metrics."""

from starlette.requests import Request
from starlette.responses import Response

from cicadatray.internal.entry.entry_context import EntryContext

EXPOSITION_TYPE = "text/plain; version=0.0.4; charset=utf-8"


async def show_metrics(request: Request) -> Response:
    """Returns the metrics of this entry; they hold no secrets, so no credential is required."""
    context: EntryContext = request.app.state.context
    headers = {"Content-Type": EXPOSITION_TYPE}
    return Response(context.metrics.render_text(), headers=headers)
