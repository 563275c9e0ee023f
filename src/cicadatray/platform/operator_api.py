"""The HTTP interface of operators: the configuration, and the evacuation of data centres."""

import msgspec
import structlog
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.messages.evacuation_messages import (
    EvacuationsReply,
    OrderEvacuation,
)
from cicadatray.internal.wire.messages.graph_messages import QueuesReply, ReadQueues, SetQueues
from cicadatray.platform.configuration_document import decode_configuration
from cicadatray.platform.errors import DocumentError

JSON_TYPE = "application/json"
# Operators try another instance after one second, so a longer timeout would not help them.
CALL_TIMEOUT_S = 2.0
RETRY_AFTER_S = "1"

log = structlog.get_logger(__name__)


class OperatorApi:
    """The routes of operators; any control instance serves them by calling the leader.

    `data_centres` names the data centres that may be evacuated; if it is empty, all may.
    """

    __slots__ = ("control", "data_centres")

    def __init__(self, control: ControlClient, data_centres: frozenset[str] = frozenset()) -> None:
        self.control = control
        self.data_centres = data_centres

    def application(self) -> Starlette:
        """Returns the application with all routes."""
        return Starlette(
            routes=[
                Route("/cicadatray/config", self.set_configuration, methods=["PUT"]),
                Route("/cicadatray/config", self.read_configuration, methods=["GET"]),
                Route("/cicadatray/evacuate/{data_centre}", self.evacuate, methods=["POST"]),
                Route("/cicadatray/evacuate/{data_centre}", self.take_back, methods=["DELETE"]),
            ]
        )

    async def set_configuration(self, request: Request) -> Response:
        """Replaces the configuration; responds 200 once it, or a newer one, is in effect."""
        body = await request.body()
        try:
            configuration = decode_configuration(body)
        except DocumentError as error:
            log.info("configuration refused", reason=str(error), bytes=len(body))
            return _error(400, str(error))
        try:
            reply = await self.control.call(
                SetQueues(configuration=configuration, source=body), CALL_TIMEOUT_S
            )
        except ControlUnavailableError as error:
            log.warning("configuration in doubt", version=configuration.version, reason=str(error))
            return _error(503, "no leader confirmed the configuration in time")
        if not isinstance(reply, QueuesReply):
            log.warning("configuration in doubt", version=configuration.version, reply=str(reply))
            return _error(503, "the configuration was not confirmed")
        log.info("configuration confirmed", version=configuration.version, in_force=reply.version)
        return Response(b"{}", 200, media_type=JSON_TYPE)

    async def read_configuration(self, request: Request) -> Response:
        """Returns the newest configuration, or 503 if it cannot be determined."""
        try:
            reply = await self.control.call(ReadQueues(), CALL_TIMEOUT_S)
        except ControlUnavailableError as error:
            log.warning("configuration not readable", reason=str(error))
            return _error(503, "no leader replied in time")
        if not isinstance(reply, QueuesReply) or not reply.version:
            return _error(503, "there is no configuration yet")
        return Response(reply.source, 200, media_type=JSON_TYPE)

    async def evacuate(self, request: Request) -> Response:
        """Evacuates a data centre; responds 200 once the order is durable."""
        return await self._order(request, is_evacuated=True)

    async def take_back(self, request: Request) -> Response:
        """Takes an evacuated data centre back into use; responds 200 once that is durable."""
        return await self._order(request, is_evacuated=False)

    async def _order(self, request: Request, is_evacuated: bool) -> Response:
        data_centre = request.path_params["data_centre"]
        if self.data_centres and data_centre not in self.data_centres:
            log.info("evacuation refused", data_centre=data_centre, is_evacuated=is_evacuated)
            return _error(404, f"the settings list no data centre {data_centre!r}")
        call = OrderEvacuation(data_centre=data_centre, is_evacuated=is_evacuated)
        try:
            reply = await self.control.call(call, CALL_TIMEOUT_S)
            reason = "" if isinstance(reply, EvacuationsReply) else str(reply)
        except ControlUnavailableError as error:
            reason = str(error)
        if reason:
            log.warning(
                "evacuation in doubt",
                data_centre=data_centre,
                is_evacuated=is_evacuated,
                reason=reason,
            )
            return _error(503, "no leader confirmed the order in time")
        log.info("evacuation confirmed", data_centre=data_centre, is_evacuated=is_evacuated)
        return Response(b"{}", 200, media_type=JSON_TYPE)


def _error(status: int, detail: str) -> Response:
    response = Response(msgspec.json.encode({"Error": detail}), status, media_type=JSON_TYPE)
    if status >= 500:
        response.headers["Retry-After"] = RETRY_AFTER_S
    return response
