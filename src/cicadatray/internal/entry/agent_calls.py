"""Calls to agents on behalf of a request."""

import asyncio

from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import CancelAttempt, RunAttempt

# The agent's own deadline for an attempt expires first, so its reply usually still arrives.
REPLY_GRACE_S = 1.0
CANCEL_TIMEOUT_S = 1.0


def start_attempt(
    request: CallerRequest,
    peer: AgentPeer,
    attempt_id: str,
    claim_index: int = 0,
    extra_wait_s: float = 0.0,
) -> asyncio.Task[MessageStruct]:
    """Sends a request to an agent and returns the task that waits for the reply.

    The task waits until `extra_wait_s` after the request's deadline.
    """
    remaining_s = max(0.0, request.remaining_s())
    call = RunAttempt(
        attempt_id=attempt_id,
        agent_incarnation=peer.record.incarnation,
        service=request.service,
        body=request.body,
        content_type=request.content_type,
        remaining_s=remaining_s,
        trace_id=request.trace_id,
        claim_index=claim_index,
    )
    return asyncio.create_task(peer.call(call, remaining_s + extra_wait_s + REPLY_GRACE_S))


async def cancel_attempt(peer: AgentPeer, attempt_id: str, claim_index: int = 0) -> MessageStruct:
    """Asks an agent to cancel an attempt; an `AttemptRefused` reply means that it will never start.

    Raises:
        WireError: the agent did not reply.
    """
    call = CancelAttempt(
        attempt_id=attempt_id,
        agent_incarnation=peer.record.incarnation,
        claim_index=claim_index,
    )
    return await peer.call(call, CANCEL_TIMEOUT_S)
