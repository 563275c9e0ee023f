"""Helpers that build agents and calls to their attempt runner."""

from cicadatray.internal.bench.requests_simulation.simulated_agent import SERVICE, SimulatedAgent
from cicadatray.internal.bench.requests_simulation.simulated_endpoint import SimulatedEndpoint
from cicadatray.internal.wire.messages.attempt_messages import CancelAttempt, RunAttempt


def new_agent(slots: int = 1, service_s: float = 1.0) -> SimulatedAgent:
    """Returns an agent whose endpoint takes 0.5 to 1.5 times `service_s` for a request."""
    return SimulatedAgent("agent", SimulatedEndpoint(service_s), slots)


def run_call(agent: SimulatedAgent, attempt_id: str, claim_index: int = 0) -> RunAttempt:
    """Returns a call whose body is its attempt identifier."""
    return RunAttempt(
        attempt_id=attempt_id,
        agent_incarnation=agent.incarnation(),
        service=SERVICE,
        body=attempt_id.encode(),
        content_type="text/plain",
        remaining_s=10.0,
        trace_id="trace",
        claim_index=claim_index,
    )


def cancel_call(agent: SimulatedAgent, attempt_id: str, claim_index: int = 0) -> CancelAttempt:
    """Returns a call that cancels an attempt that has not started."""
    return CancelAttempt(
        attempt_id=attempt_id, agent_incarnation=agent.incarnation(), claim_index=claim_index
    )
