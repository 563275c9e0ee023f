"""Messages from entries to agents: attempts to run a request at an endpoint."""

import msgspec

from cicadatray.internal.wire.message import MessageStruct


class AgentLoad(msgspec.Struct, frozen=True):
    """The load of an agent, reported in each reply."""

    running: int
    queued: int
    slots: int
    draining: bool


class RunAttempt(MessageStruct, frozen=True):
    """Runs a request, or waits for the run that this attempt identifier already has.

    `claim_index` is the log index of the claim of a non-idempotent request and zero otherwise.
    `remaining_s` is the time left until the caller's deadline.
    """

    attempt_id: str
    agent_incarnation: str
    service: str
    body: bytes
    content_type: str
    remaining_s: float
    trace_id: str
    claim_index: int = 0


class CancelAttempt(MessageStruct, frozen=True):
    """Cancels an attempt whose caller has disconnected or whose deadline has passed.

    An attempt that has not started never starts.
    """

    attempt_id: str
    agent_incarnation: str
    claim_index: int = 0


class AttemptAnswer(MessageStruct, frozen=True):
    """The endpoint's complete answer."""

    status_code: int
    content_type: str
    body: bytes
    load: AgentLoad


class AttemptRefused(MessageStruct, frozen=True):
    """The attempt was not started and never will be."""

    code: str
    detail: str
    retry_after_s: float
    load: AgentLoad


class AttemptFailed(MessageStruct, frozen=True):
    """The attempt was started, or may have been, and its answer was lost."""

    code: str
    detail: str
    load: AgentLoad
