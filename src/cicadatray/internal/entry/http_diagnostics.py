"""HTTP routes for operators: processes and members of the control group."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from cicadatray.internal.entry.authentication import authenticate_operator
from cicadatray.internal.entry.entry_context import EntryContext
from cicadatray.internal.entry.errors import EntryError
from cicadatray.internal.entry.http_body import read_document
from cicadatray.internal.entry.http_responses import JSON_TYPE, json_response
from cicadatray.internal.observability.state_dump import StateDump
from cicadatray.internal.observability.text_format import TEXT_CONTENT_TYPE
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.diagnostic_messages import (
    ChangeMember,
    MemberAction,
    ReadDump,
    ReadMetrics,
    TextReply,
)

DUMP_TIMEOUT_S = 3.0
# A promotion waits until the learner has caught up.
MEMBER_TIMEOUT_S = 20.0
PROCESS_RETRY_AFTER_S = 2.0


class MemberChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a membership change of the control group."""

    action: MemberAction
    name: str
    host: str = ""
    port: int = 0


class ChangeDone(msgspec.Struct, frozen=True):
    """The response to a membership change that is in effect."""

    name: str
    action: MemberAction


async def show_dump(request: Request) -> Response:
    """Returns the state dump of this entry, a control instance or an agent."""
    context: EntryContext = request.app.state.context
    authenticate_operator(request, context.directory)
    name = request.path_params["name"]
    if name == context.settings.name:
        dump: StateDump = request.app.state.dump
        return Response(dump.render(), media_type=JSON_TYPE)
    text = await _read_text(context, name, ReadDump())
    return Response(text, media_type=JSON_TYPE)


async def show_process_metrics(request: Request) -> Response:
    """Returns the metrics of a control instance."""
    context: EntryContext = request.app.state.context
    authenticate_operator(request, context.directory)
    name = request.path_params["name"]
    if name not in context.control.clients:
        raise EntryError(404, "process_unknown", f"there is no control instance named {name!r}")
    text = await _read_text(context, name, ReadMetrics())
    return Response(text, media_type=TEXT_CONTENT_TYPE)


async def change_member(request: Request) -> Response:
    """Adds, promotes or removes a control instance."""
    context: EntryContext = request.app.state.context
    authenticate_operator(request, context.directory)
    change = await read_document(request, MemberChange)
    call = ChangeMember(action=change.action, name=change.name, host=change.host, port=change.port)
    await context.call_control(call, MEMBER_TIMEOUT_S)
    return json_response(ChangeDone(change.name, change.action))


async def _read_text(context: EntryContext, name: str, call: MessageStruct) -> str:
    """Calls a process and returns the text of its reply.

    Raises:
        EntryError: the process is unknown or did not reply.
    """
    try:
        reply = await _call_process(context, name, call)
    except WireError as error:
        detail = f"{name} did not reply: {error}"
        raise EntryError(503, "process_unreachable", detail, PROCESS_RETRY_AFTER_S) from error
    if not isinstance(reply, TextReply):
        raise EntryError(
            503, "process_unreachable", f"unexpected reply from {name}: {type(reply).__name__}"
        )
    return reply.text


async def _call_process(context: EntryContext, name: str, call: MessageStruct) -> MessageStruct:
    if name in context.control.clients:
        return await context.control.call_member(name, call, DUMP_TIMEOUT_S)
    peer = context.directory.peers.get(name)
    if peer is None:
        raise EntryError(404, "process_unknown", f"no process named {name!r} is registered")
    return await peer.client.call(call, DUMP_TIMEOUT_S)
