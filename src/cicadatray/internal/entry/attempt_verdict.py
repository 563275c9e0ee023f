"""What the end of an attempt tells about the endpoint."""

from enum import Enum

from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import (
    AttemptAnswer,
    AttemptFailed,
    AttemptRefused,
)

FIRST_SERVER_ERROR = 500
ENDPOINT_UNREACHABLE_CODE = "endpoint_unreachable"
# The agent tells something about itself or about the attempt with these, not about its endpoint.
NEUTRAL_FAILURE_CODES = frozenset(
    {"agent_restarted", "agent_stopped", "attempt_forgotten", "cancelled"}
)


class Verdict(Enum):
    """`NEUTRAL` ends, such as a refusal for lack of slots, tell nothing about health."""

    SUCCESS = "success"
    FAILURE = "failure"
    NEUTRAL = "neutral"


def judge_reply(reply: MessageStruct) -> Verdict:
    """Returns the verdict for an agent's reply to an attempt."""
    if isinstance(reply, AttemptAnswer):
        return Verdict.SUCCESS if reply.status_code < FIRST_SERVER_ERROR else Verdict.FAILURE
    if isinstance(reply, AttemptRefused):
        # A closed endpoint refuses faster than any other and would attract the most requests.
        unreachable = reply.code == ENDPOINT_UNREACHABLE_CODE
        return Verdict.FAILURE if unreachable else Verdict.NEUTRAL
    if isinstance(reply, AttemptFailed) and reply.code in NEUTRAL_FAILURE_CODES:
        return Verdict.NEUTRAL
    return Verdict.FAILURE
