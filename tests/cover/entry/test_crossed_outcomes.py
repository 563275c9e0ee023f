"""Tests of conflicting outcomes: resolved keys, abandoned attempts, keys claimed meanwhile."""

import asyncio

import pytest
from deployment import Deployment

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.key_state import key_name
from cicadatray.internal.entry.request_outcome import OutcomeKind


def test_an_answer_after_the_key_was_resolved_is_discarded() -> None:
    """Guards against `completed` at one entry after another one has reported a final unknown."""

    async def main() -> None:
        deployment = Deployment(agents=3, entries=2, service_s=2.0)
        await deployment.poll()
        first = deployment.send("invoice", non_idempotent=True)
        await asyncio.sleep(0.2)
        deployment.control.unlisted = {agent.agent_id for agent in deployment.agents}
        await deployment.entries[1].directory.poll_once()
        resend = await deployment.send("invoice", non_idempotent=True, entry=1)
        assert resend.code == "agent_lost" and not first.done()
        assert (await first).code == "agent_lost"
        assert deployment.executions("invoice") == 1

    run_virtual(main())


@pytest.mark.parametrize("listed", [True, False])
def test_an_abandoned_attempt_that_never_arrived_is_not_started_later(listed: bool) -> None:
    """Guards against running an abandoned attempt whose start and cancellation were both lost."""

    async def main() -> None:
        deployment = Deployment(agents=1)
        await deployment.poll()
        agent = deployment.agents[0]
        agent.lose_requests = 1_000
        sent = deployment.send("invoice", non_idempotent=True, deadline_s=1.0)
        assert (await sent).kind is OutcomeKind.UNKNOWN
        if not listed:
            deployment.control.unlisted = {agent.agent_id}
            await deployment.poll()
        agent.lose_requests = 0
        await asyncio.sleep(5.0)
        assert deployment.executions("invoice") == 0
        record = deployment.control.state.keys[key_name("acueducto", "invoice")]
        assert record.state.value == ("not_run" if listed else "unknown")

    run_virtual(main())


def test_a_failed_attempt_is_never_reassigned() -> None:
    """Guards against a second run after the answer of the first was truncated."""

    async def main() -> None:
        deployment = Deployment(agents=3)
        for agent in deployment.agents:
            agent.endpoint.truncating = True
        await deployment.poll()
        outcome = await deployment.send("invoice", non_idempotent=True)
        assert (outcome.kind, outcome.code) == (OutcomeKind.UNKNOWN, "agent_lost")
        assert deployment.executions("invoice") == 1

    run_virtual(main())


def test_a_key_claimed_while_a_send_waited_is_not_reported_as_not_run() -> None:
    """Guards against reporting `not_run` from a key record read before queueing."""

    async def main() -> None:
        deployment = Deployment(agents=1, slots=1, entries=2, service_s=2.0)
        await deployment.poll()
        admission = deployment.entries[1].requests.resources.admission
        admission.service("meters").in_use = 99  # no permit is free at this entry
        waiting = deployment.send("invoice", non_idempotent=True, deadline_s=1.0, entry=1)
        await asyncio.sleep(0.01)
        first = deployment.send("invoice", non_idempotent=True, deadline_s=9.0)
        assert (await waiting).kind is OutcomeKind.UNKNOWN
        assert (await first).kind is OutcomeKind.COMPLETED

    run_virtual(main())
