"""The HTTP application of an entry."""

from starlette.applications import Starlette
from starlette.routing import Route

from cicadatray.internal.entry import (
    http_diagnostics,
    http_evacuations,
    http_jobs,
    http_metrics,
    http_operators,
    http_requests,
)
from cicadatray.internal.entry.entry_context import EntryContext
from cicadatray.internal.entry.errors import EntryError
from cicadatray.internal.entry.http_responses import handle_entry_error


def build_application(context: EntryContext) -> Starlette:
    """Returns the application with all routes."""
    routes = [
        Route("/v1/services/{service}/requests", http_requests.send_request, methods=["POST"]),
        Route("/v1/jobs", http_jobs.submit_job, methods=["POST"]),
        Route("/v1/jobs", http_jobs.list_jobs, methods=["GET"]),
        Route("/v1/jobs/{job_id}", http_jobs.show_job, methods=["GET"]),
        Route("/v1/jobs/{job_id}", http_jobs.cancel_job, methods=["DELETE"]),
        Route("/v1/jobs/{job_id}/explanation", http_jobs.explain_job, methods=["GET"]),
        Route("/v1/configuration", http_operators.show_configuration, methods=["GET"]),
        Route("/v1/configuration/history", http_operators.show_history, methods=["GET"]),
        Route("/v1/configuration/{kind}", http_operators.change_configuration, methods=["PUT"]),
        Route("/v1/processes/{name}/dump", http_diagnostics.show_dump, methods=["GET"]),
        Route(
            "/v1/processes/{name}/metrics",
            http_diagnostics.show_process_metrics,
            methods=["GET"],
        ),
        Route("/v1/members", http_diagnostics.change_member, methods=["POST"]),
        Route("/v1/evacuations", http_evacuations.list_evacuations, methods=["GET"]),
        Route(
            "/v1/evacuations/{data_centre}",
            http_evacuations.order_evacuation,
            methods=["PUT", "DELETE"],
        ),
        Route("/v1/directory", http_operators.show_directory, methods=["GET"]),
        Route("/metrics", http_metrics.show_metrics, methods=["GET"]),
    ]
    application = Starlette(routes=routes, exception_handlers={EntryError: handle_entry_error})
    application.state.context = context
    return application
