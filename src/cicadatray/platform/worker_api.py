"""The HTTP interface of an agent for its worker: announcements and withdrawal."""

import asyncio

import structlog
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cicadatray.internal.agent.tasks.task_agent import TaskAgent
from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.platform.errors import DocumentError
from cicadatray.platform.worker_document import WorkerAnnouncement, decode_announcement
from cicadatray.platform.worker_http_port import WorkerHttpPort

JSON_TYPE = "application/json"

log = structlog.get_logger(__name__)


class WorkerApi:
    """The routes for the worker.

    `latest_sequences` holds the highest sequence number of each worker incarnation.
    """

    __slots__ = ("agent", "late", "latest_sequences")

    def __init__(self, agent: TaskAgent) -> None:
        self.agent = agent
        self.latest_sequences: dict[str, int] = {}
        self.late = RepeatedEvent("late announcement ignored")

    def application(self) -> Starlette:
        """Returns the application with all routes."""
        path = "/cicadatray/instances/{worker_id}"
        return Starlette(
            routes=[
                Route(path, self.handle_announcement, methods=["PUT"]),
                Route(path, self.handle_withdrawal, methods=["DELETE"]),
            ]
        )

    async def handle_announcement(self, request: Request) -> Response:
        """Passes an announcement to the agent; responds 200 once the agent acts on it."""
        worker_id = request.path_params["worker_id"]
        try:
            announcement = decode_announcement(worker_id, await request.body())
        except DocumentError as error:
            log.info("announcement refused", worker=worker_id, reason=str(error))
            return Response(b"{}", 400, media_type=JSON_TYPE)
        latest = self.latest_sequences.get(worker_id, 0)
        if announcement.sequence < latest:
            self.late.record_failure(
                f"{worker_id} {announcement.born_ms}",
                worker=worker_id,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
                latest=latest,
            )
            return Response(b"{}", 200, media_type=JSON_TYPE)
        self.latest_sequences[worker_id] = announcement.sequence
        is_accepted = await self.agent.receive_offer(
            announcement.offer, self._worker_port(announcement)
        )
        return Response(b"{}", 200 if is_accepted else 503, media_type=JSON_TYPE)

    async def handle_withdrawal(self, request: Request) -> Response:
        """Notifies the agent that a worker is shutting down."""
        await self.agent.withdraw_worker(request.path_params["worker_id"])
        return Response(b"{}", 200, media_type=JSON_TYPE)

    def _worker_port(self, announcement: WorkerAnnouncement) -> WorkerHttpPort:
        current = self.agent.port
        worker_id = announcement.offer.worker_id
        if isinstance(current, WorkerHttpPort) and current.worker_id == worker_id:
            return current
        port = WorkerHttpPort(worker_id, announcement.host, announcement.port)
        if announcement.clock_s:
            port.clock.observe(announcement.clock_s, asyncio.get_running_loop().time())
        return port
