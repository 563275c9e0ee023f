"""The answers to clients, by the replies of control."""

import math

import msgspec
from starlette.responses import Response

from cicadatray.internal.control.graphs import graph_codes
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.graph_messages import GraphState, QueueState
from cicadatray.internal.wire.relay_server import UNKNOWN_CALL_CODE
from cicadatray.internal.wire.rpc_server import BUSY_CODE

JSON_TYPE = "application/json"
# In seconds. An election takes up to 2 s, so a client that resends after this time often finds a
# leader.
RETRY_AFTER_S = "1"
STATUS_BY_CODE = {
    graph_codes.QUEUES_UNSET: 503,
    graph_codes.QUEUE_UNKNOWN: 404,
    graph_codes.CREDENTIAL_UNKNOWN: 401,
    graph_codes.ACCOUNT_MISMATCH: 403,
    graph_codes.GRAPH_ID_MALFORMED: 400,
    graph_codes.GRAPH_ID_TAKEN: 409,
    graph_codes.GRAPH_UNKNOWN: 410,
    graph_codes.NOT_FEASIBLE: 422,
    graph_codes.NOT_NOW: 429,
    # The call has not reached a handler.
    BUSY_CODE: 503,
    UNKNOWN_CALL_CODE: 503,
}


def tells_outcome(reply: MessageStruct) -> bool:
    """Returns whether a reply tells if control has acted on the call.

    A handler may have failed after its command was committed, and a control process of another
    version may reply with what this one does not know.
    """
    if isinstance(reply, Failure):
        return reply.code in STATUS_BY_CODE
    return isinstance(reply, GraphState | QueueState)


def render_reply(reply: MessageStruct) -> Response:
    """Returns the answer to a client for a reply of control."""
    if isinstance(reply, GraphState):
        return _json(200, {"State": reply.state})
    if isinstance(reply, QueueState):
        return _json(200, {"Pending": reply.waiting})
    if isinstance(reply, Failure):
        response = render_error(STATUS_BY_CODE.get(reply.code, 503), reply.detail)
        if reply.code == graph_codes.NOT_NOW:
            response.headers["Retry-After"] = str(max(1, math.ceil(reply.retry_after_s)))
        return response
    return render_error(503, "unexpected reply from control")


def _json(status: int, body: object) -> Response:
    return Response(msgspec.json.encode(body), status, media_type=JSON_TYPE)


def render_error(status: int, detail: str) -> Response:
    """Returns an answer that names a failure; from 500 on, with the time to come back."""
    response = _json(status, {"Error": detail})
    if status >= 500:
        response.headers["Retry-After"] = RETRY_AFTER_S
    return response
