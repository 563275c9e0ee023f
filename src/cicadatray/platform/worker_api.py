"""The HTTP interface of an agent for its worker: announcements and withdrawal."""

import asyncio

import msgspec
import structlog
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cicadatray.internal.agent.tasks.errors import WorkerReplacedError, WorkerUnansweredError
from cicadatray.internal.agent.tasks.task_agent import TaskAgent
from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.platform.errors import DocumentError
from cicadatray.platform.worker_document import WorkerAnnouncement, decode_announcement
from cicadatray.platform.worker_http_port import WorkerHttpPort
from cicadatray.platform.worker_identity import WorkerIdentity

JSON_TYPE = "application/json"

log = structlog.get_logger(__name__)


class WorkerApi:
    """The routes for the worker.

    `latest_sequences` holds the highest sequence number of each incarnation, `places` the pool,
    host and port of its first announcement, and `latest_identities` the incarnation of each
    identifier that the agent accepted last.
    `data_centre` is that of the agent, which is also that of its worker.
    """

    __slots__ = (
        "agent",
        "data_centre",
        "late",
        "latest_identities",
        "latest_sequences",
        "places",
    )

    def __init__(self, agent: TaskAgent, data_centre: str = "") -> None:
        self.agent = agent
        self.data_centre = data_centre
        self.latest_identities: dict[str, WorkerIdentity] = {}
        self.latest_sequences: dict[str, int] = {}
        self.places: dict[str, tuple[str, str, int]] = {}
        self.late = RepeatedEvent("late announcement ignored")

    def application(self) -> Starlette:
        """Returns the application with all routes."""
        path = "/cicadatray/instances/{identifier}"
        return Starlette(
            routes=[
                Route(path, self.handle_announcement, methods=["PUT"]),
                Route(path, self.handle_withdrawal, methods=["DELETE"]),
            ]
        )

    async def handle_announcement(self, request: Request) -> Response:
        """Passes an announcement to the agent; responds 200 once the agent acts on it."""
        identifier = request.path_params["identifier"]
        try:
            announcement = decode_announcement(identifier, await request.body())
            self._check_writer(announcement)
        except DocumentError as error:
            log.info("announcement refused", worker=identifier, reason=str(error))
            return Response(b"{}", 400, media_type=JSON_TYPE)
        worker_id = announcement.offer.worker_id
        latest = self.latest_sequences.get(worker_id, 0)
        if announcement.sequence < latest:
            self.late.record_failure(
                worker_id,
                worker=worker_id,
                sequence=announcement.sequence,
                latest=latest,
            )
            return Response(b"{}", 200, media_type=JSON_TYPE)
        self.latest_sequences[worker_id] = announcement.sequence
        offer = announcement.offer
        if not offer.data_centre:
            # Otherwise an evacuation would have no effect on the worker.
            offer = msgspec.structs.replace(offer, data_centre=self.data_centre)
        is_accepted = await self.agent.receive_offer(offer, self._worker_port(announcement))
        if is_accepted or identifier not in self.latest_identities:
            # The starts of two processes do not tell their order: clocks may have been set back.
            self.latest_identities[identifier] = announcement.identity
        return Response(b"{}", 200 if is_accepted else 503, media_type=JSON_TYPE)

    def _check_writer(self, announcement: WorkerAnnouncement) -> None:
        """Compares an announcement with the earlier ones of the same worker.

        An incarnation of a worker keeps its pool and address, and either tells the start of its
        process each time or never.

        Raises:
            DocumentError: another process has written the announcement.
        """
        identity, offer = announcement.identity, announcement.offer
        latest = self.latest_identities.get(identity.identifier, identity)
        if latest.born_ms and not identity.born_ms:
            raise DocumentError("the start of the process is missing")
        place = (offer.pool, announcement.host, announcement.port)
        known = self.places.setdefault(identity.incarnation, place)
        if place != known:
            raise DocumentError(f"announced from {place}, but the worker is {known}")

    async def handle_withdrawal(self, request: Request) -> Response:
        """Notifies the agent that a worker is shutting down.

        The call names no incarnation. The last one that was announced is not meant if it works on
        without having announced that it drains: a withdrawal may arrive late.
        """
        identifier = request.path_params["identifier"]
        identity = self.latest_identities.get(identifier, WorkerIdentity(identifier))
        if await self._works_on(identity):
            log.info("late withdrawal ignored", worker=identity.incarnation)
        else:
            await self.agent.withdraw_worker(identity.incarnation)
        return Response(b"{}", 200, media_type=JSON_TYPE)

    async def _works_on(self, identity: WorkerIdentity) -> bool:
        """Returns whether the agent's worker is this incarnation, does not drain and answers.

        The identifier of a worker that does not tell the start of its process is not used again.
        """
        port, offer = self.agent.port, self.agent.offer
        if port is None or offer is None or not identity.born_ms:
            return False
        if offer.worker_id != identity.incarnation or offer.is_draining:
            return False
        try:
            await port.observe(self.agent.term, 0, 0.0, 0.0)
        except (WorkerUnansweredError, WorkerReplacedError) as error:
            log.info("worker ends", worker=identity.incarnation, reason=str(error))
            return False
        return True

    def _worker_port(self, announcement: WorkerAnnouncement) -> WorkerHttpPort:
        current = self.agent.port
        identity = announcement.identity
        if isinstance(current, WorkerHttpPort) and current.identity == identity:
            return current
        port = WorkerHttpPort(identity, announcement.host, announcement.port)
        if announcement.clock_s:
            port.clock.observe(announcement.clock_s, asyncio.get_running_loop().time())
        return port
