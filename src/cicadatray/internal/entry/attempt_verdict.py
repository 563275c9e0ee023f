"""Classification of attempt results for the health of the endpoint."""

from enum import Enum

from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import (
    AttemptAnswer,
    AttemptFailed,
    AttemptRefused,
)

FIRST_SERVER_ERROR = 500
ENDPOINT_UNREACHABLE_CODE = "endpoint_unreachable"
# These codes concern the agent or the attempt itself, not the endpoint.
NEUTRAL_FAILURE_CODES = frozenset(
    {"agent_restarted", "agent_stopped", "attempt_forgotten", "cancelled"}
)


class Verdict(Enum):
    """The effect of an attempt on the endpoint's health.

    `NEUTRAL` results, such as a refusal for lack of slots, do not affect it.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NEUTRAL = "neutral"


def classify_reply(reply: MessageStruct) -> Verdict:
    """Returns the verdict on the endpoint for an agent's reply to an attempt."""
    if isinstance(reply, AttemptAnswer):
        return Verdict.SUCCESS if reply.status_code < FIRST_SERVER_ERROR else Verdict.FAILURE
    if isinstance(reply, AttemptRefused):
        # An endpoint that is down refuses faster than others and would attract the most requests.
        unreachable = reply.code == ENDPOINT_UNREACHABLE_CODE
        return Verdict.FAILURE if unreachable else Verdict.NEUTRAL
    if isinstance(reply, AttemptFailed) and reply.code in NEUTRAL_FAILURE_CODES:
        return Verdict.NEUTRAL
    return Verdict.FAILURE
