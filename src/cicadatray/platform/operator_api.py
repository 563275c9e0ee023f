"""The HTTP interface of operators: the configuration, and the evacuation of data centres."""

import msgspec
import structlog
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route

from cicadatray.internal.observability.document_digest import digest_document
from cicadatray.internal.observability.graph_metrics import configuration_answers
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.decision_watch import DecisionWatch, decision_fields
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.evacuation_messages import (
    EvacuationsReply,
    OrderEvacuation,
)
from cicadatray.internal.wire.messages.graph_messages import QueuesReply, ReadQueues, SetQueues
from cicadatray.platform.configuration_document import decode_configuration
from cicadatray.platform.decision_header import add_decision
from cicadatray.platform.errors import BodyTooLargeError, DocumentError
from cicadatray.platform.request_body import read_body
from cicadatray.replication.limits import COMMAND_LIMIT_BYTES

JSON_TYPE = "application/json"
# Operators try another instance after one second, so a longer timeout would not help them.
CALL_TIMEOUT_S = 2.0
# Orders to evacuate carry no number. One that is still being repeated when the operator has moved
# on to another instance could take effect after the opposite order that followed.
ORDER_TIMEOUT_S = 0.9
DOCUMENT_LIMIT_BYTES = 1024 * 1024
RETRY_AFTER_S = "1"

log = structlog.get_logger(__name__)


class OperatorApi:
    """The routes of operators; any control instance serves them by calling the leader.

    `data_centres` names the data centres that may be evacuated; if it is empty, all may.
    `requires_accounts` tells whether a configuration must list client accounts.
    """

    __slots__ = ("answers", "control", "data_centres", "decisions", "requires_accounts")

    def __init__(
        self,
        control: ControlClient,
        data_centres: frozenset[str] = frozenset(),
        metrics: MetricsRegistry | None = None,
        requires_accounts: bool = False,
    ) -> None:
        self.control = control
        self.data_centres = data_centres
        self.requires_accounts = requires_accounts
        registry = metrics or MetricsRegistry()
        self.answers = configuration_answers(registry)
        self.decisions = DecisionWatch(registry)

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
        """Replaces the configuration; responds 200 once it, or a newer one, is in effect.

        A document that is not valid gets 400 and one that is too large 413, which are final.
        """
        try:
            body = await read_body(request, DOCUMENT_LIMIT_BYTES)
        except ClientDisconnect:
            log.info("configuration refused", reason="the connection was lost")
            return _error(400, "the body is incomplete")
        except BodyTooLargeError as error:
            return self._refuse(b"", 413, str(error))
        try:
            configuration = decode_configuration(body, self.requires_accounts)
        except DocumentError as error:
            return self._refuse(body, 400, str(error))
        call = SetQueues(configuration=configuration, source=body)
        # An entry of the log holds the document beside its decoded form, and short keys take more
        # space when decoded.
        if len(self.control.codec.encode(0, call)) > COMMAND_LIMIT_BYTES:
            return self._refuse(body, 413, f"more than {COMMAND_LIMIT_BYTES} bytes when decoded")
        return await self._confirm(call)

    async def _confirm(self, call: SetQueues) -> Response:
        """Has the leader store a configuration, and returns the response to the operator."""
        version, digest = call.configuration.version, digest_document(call.source)
        reply: MessageStruct | None = None
        try:
            reply = await self.control.call(call, CALL_TIMEOUT_S)
            reason = str(reply)
        except ControlUnavailableError as error:
            reason = str(error)
        if not isinstance(reply, QueuesReply):
            self.answers.increment(answer="in_doubt")
            log.warning("configuration in doubt", version=version, digest=digest, reason=reason)
            return _error(503, "no leader confirmed the configuration in time")
        self.answers.increment(answer="overtaken" if reply.version > version else "confirmed")
        log.info(
            "configuration confirmed",
            version=version,
            in_force=reply.version,
            digest=digest,
            **decision_fields(reply),
        )
        return add_decision(Response(b"{}", 200, media_type=JSON_TYPE), reply)

    def _refuse(self, body: bytes, status: int, reason: str) -> Response:
        self.answers.increment(answer="refused")
        log.info(
            "configuration refused",
            status=status,
            reason=reason,
            bytes=len(body),
            digest=digest_document(body),
        )
        return _error(status, reason)

    async def read_configuration(self, request: Request) -> Response:
        """Returns the newest configuration, or 503 if it cannot be determined."""
        known = self.decisions.latest
        try:
            reply = await self.control.call(ReadQueues(), CALL_TIMEOUT_S)
        except ControlUnavailableError as error:
            self.answers.increment(answer="unreadable")
            log.warning("configuration not readable", reason=str(error))
            return _error(503, "no leader replied in time")
        if self.decisions.is_older(reply, known):
            self.answers.increment(answer="unreadable")
            return _error(503, "the newest configuration could not be determined")
        if not isinstance(reply, QueuesReply) or not reply.version:
            self.answers.increment(answer="unreadable")
            return _error(503, "there is no configuration yet")
        self.answers.increment(answer="read")
        log.info(
            "configuration read", digest=digest_document(reply.source), **decision_fields(reply)
        )
        return add_decision(Response(reply.source, 200, media_type=JSON_TYPE), reply)

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
            reply = await self.control.call(call, ORDER_TIMEOUT_S)
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
