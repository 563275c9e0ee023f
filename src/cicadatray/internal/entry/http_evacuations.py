"""HTTP routes for operators: evacuations of data centres."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from cicadatray.internal.entry.authentication import authenticate_operator
from cicadatray.internal.entry.entry_context import CONTROL_RETRY_AFTER_S, EntryContext
from cicadatray.internal.entry.errors import EntryError
from cicadatray.internal.entry.http_body import read_document
from cicadatray.internal.entry.http_responses import json_response
from cicadatray.internal.settings.value_formats import is_name
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.evacuation_messages import (
    EvacuationProgress,
    EvacuationsReply,
    OrderEvacuation,
    ReadEvacuations,
)

NAME_EXPECTED = "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit"
# An identifier takes part in the replicated state, which keeps several for each data centre.
MAX_OPERATION_ID_CHARACTERS = 128


class EvacuationOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of an order; a resend carries the same `operation_id`."""

    operation_id: str


class EvacuationDocument(msgspec.Struct, frozen=True):
    """One evacuation; `ordered_s` is in seconds since 1970."""

    data_centre: str
    ordered_s: float
    operator: str
    workers: int
    runs_left: int


class EvacuationsDocument(msgspec.Struct, frozen=True):
    """All evacuations in force."""

    evacuations: tuple[EvacuationDocument, ...]


class OrderDocument(msgspec.Struct, frozen=True):
    """The response to a confirmed order.

    `is_evacuated` is what is in force now. It differs from the order if that is the late repeat of
    one that was carried out before and has been taken back since.
    """

    data_centre: str
    is_evacuated: bool
    is_repeated: bool
    is_announced: bool
    unmet_accounts: tuple[str, ...]
    evacuations: tuple[EvacuationDocument, ...]


async def list_evacuations(request: Request) -> Response:
    """Returns the evacuations in force."""
    context: EntryContext = request.app.state.context
    authenticate_operator(request, context.directory)
    reply = await _call_control(context, ReadEvacuations())
    return json_response(EvacuationsDocument(_describe(reply.evacuations)))


async def order_evacuation(request: Request) -> Response:
    """Evacuates a data centre (PUT) or takes it back into use (DELETE)."""
    context: EntryContext = request.app.state.context
    account = authenticate_operator(request, context.directory)
    data_centre = request.path_params["data_centre"]
    if not is_name(data_centre):
        detail = f"data centre {data_centre!r}: expected {NAME_EXPECTED}"
        raise EntryError(422, "invalid_data_centre", detail)
    order = await read_document(request, EvacuationOrder)
    if not 1 <= len(order.operation_id) <= MAX_OPERATION_ID_CHARACTERS:
        detail = f"operation_id: expected 1 to {MAX_OPERATION_ID_CHARACTERS} characters"
        raise EntryError(400, "invalid_body", detail)
    call = OrderEvacuation(
        data_centre=data_centre,
        is_evacuated=request.method == "PUT",
        operation_id=order.operation_id,
        operator=account.client_account,
    )
    reply = await _call_control(context, call)
    evacuations = _describe(reply.evacuations)
    document = OrderDocument(
        data_centre=data_centre,
        is_evacuated=any(evacuation.data_centre == data_centre for evacuation in evacuations),
        is_repeated=reply.is_repeated,
        is_announced=reply.is_announced,
        unmet_accounts=reply.unmet_accounts,
        evacuations=evacuations,
    )
    return json_response(document)


async def _call_control(context: EntryContext, call: MessageStruct) -> EvacuationsReply:
    """Returns the leader's confirmation.

    Raises:
        EntryError: the order or read was not confirmed. A 503 always names a time for a retry,
            because an order can be repeated under its operation ID whatever became of it.
    """
    try:
        reply = await context.call_control(call)
    except EntryError as error:
        if error.status_code == 503 and error.retry_after_s == 0:
            error.retry_after_s = CONTROL_RETRY_AFTER_S
        raise
    if not isinstance(reply, EvacuationsReply):
        detail = f"control did not confirm: unexpected reply {type(reply).__name__}"
        raise EntryError(503, "control_unavailable", detail, CONTROL_RETRY_AFTER_S)
    return reply


def _describe(evacuations: tuple[EvacuationProgress, ...]) -> tuple[EvacuationDocument, ...]:
    return tuple(
        EvacuationDocument(
            data_centre=progress.evacuation.data_centre,
            ordered_s=progress.evacuation.ordered_s,
            operator=progress.evacuation.operator,
            workers=progress.workers,
            runs_left=progress.runs_left,
        )
        for progress in evacuations
    )
