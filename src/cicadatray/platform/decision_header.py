"""The response header that names the configuration behind an answer."""

from starlette.responses import Response

from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.decision import Decision

DECISION_HEADER = "Configuration-Decision"


def add_decision(response: Response, reply: MessageStruct) -> Response:
    """Adds the version and the term that decided a reply; the term leads to the member's logs."""
    decision: Decision | None = getattr(reply, "decision", None)
    if decision is not None:
        response.headers[DECISION_HEADER] = f"version={decision.version}; term={decision.term}"
    return response
