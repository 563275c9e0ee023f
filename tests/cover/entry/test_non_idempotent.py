"""Tests of non-idempotent requests with entries, control and agents in memory."""

import asyncio

import pytest
from deployment import Deployment

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.key_state import key_name
from cicadatray.internal.entry.request_outcome import OutcomeKind
from cicadatray.internal.wire.messages.key_messages import KeyState

ACCOUNT = "acueducto"


def recorded_state(deployment: Deployment, key: str) -> KeyState:
    return deployment.control.state.keys[key_name(ACCOUNT, key)].state


@pytest.mark.parametrize("answer_bytes", [20, 4096, 4097, 100_000])
def test_a_resend_through_another_entry_gets_the_same_answer(answer_bytes: int) -> None:
    """Guards against a second run, and against losing a large answer that only the agent holds."""

    async def main() -> None:
        deployment = Deployment(entries=2)
        for agent in deployment.agents:
            agent.endpoint.answer_bytes = answer_bytes
        await deployment.poll()
        first = await deployment.send("invoice", non_idempotent=True)
        second = await deployment.send("invoice", non_idempotent=True, entry=1)
        assert first.kind is OutcomeKind.COMPLETED
        assert (second.status_code, second.body) == (first.status_code, first.body)
        assert len(first.body) == answer_bytes
        assert deployment.executions("invoice") == 1

    run_virtual(main())


def test_a_resend_joins_a_request_in_progress_at_another_entry() -> None:
    """Guards against a resend that runs the request again on another agent."""

    async def main() -> None:
        deployment = Deployment(entries=2, service_s=1.0)
        await deployment.poll()
        first = deployment.send("invoice", non_idempotent=True)
        await asyncio.sleep(0.2)
        second = deployment.send("invoice", non_idempotent=True, entry=1)
        outcomes = await asyncio.gather(first, second)
        assert [outcome.body for outcome in outcomes] == [b"answer to invoice"] * 2
        assert deployment.executions("invoice") == 1

    run_virtual(main())


def test_accounts_and_keys_with_slashes_do_not_share_an_attempt() -> None:
    """Guards against mixing up accounts whose concatenated name and key are equal."""

    async def main() -> None:
        deployment = Deployment(agents=1, slots=4, service_s=1.0)
        await deployment.poll()
        calls = [
            deployment.send("one", account="a/b", key="c", non_idempotent=False),
            deployment.send("two", account="a", key="b/c", non_idempotent=False),
        ]
        outcomes = await asyncio.gather(*calls)
        assert [outcome.body for outcome in outcomes] == [b"answer to one", b"answer to two"]

    run_virtual(main())


def test_a_key_cannot_be_reused_for_different_content() -> None:
    """Guards against returning the answer of a different request."""

    async def main() -> None:
        deployment = Deployment()
        await deployment.poll()
        await deployment.send("one", key="k", non_idempotent=True)
        outcome = await deployment.send("two", key="k", non_idempotent=True)
        assert (outcome.kind, outcome.code) == (OutcomeKind.NOT_RUN, "key_reused")

    run_virtual(main())


def test_idempotent_and_non_idempotent_requests_do_not_share_a_run() -> None:
    """Guards against retrying a non-idempotent request that joined an idempotent one."""

    async def main() -> None:
        deployment = Deployment(service_s=1.0)
        await deployment.poll()
        idempotent = deployment.send("invoice")
        non_idempotent = deployment.send("invoice", non_idempotent=True)
        await asyncio.gather(idempotent, non_idempotent)
        assert recorded_state(deployment, "invoice") is KeyState.COMPLETED

    run_virtual(main())


def test_without_control_the_outcome_is_unknown_and_nothing_runs() -> None:
    """Guards against `not_run` for a request that an earlier send may have run."""

    async def main() -> None:
        deployment = Deployment()
        await deployment.poll()
        deployment.control.available = False
        outcome = await deployment.send("invoice", non_idempotent=True, deadline_s=30.0)
        assert (outcome.kind, outcome.code) == (OutcomeKind.UNKNOWN, "control_unavailable")
        assert outcome.retry_after_s > 0
        assert deployment.executions("invoice") == 0

    run_virtual(main())


def test_an_unresponsive_leader_does_not_delay_the_outcome_long_after_the_deadline() -> None:
    """Guards against waiting for the control timeout instead of the caller's deadline."""

    async def main() -> None:
        deployment = Deployment()
        await deployment.poll()
        deployment.control.available = False
        started_s = asyncio.get_running_loop().time()
        outcome = await deployment.send("invoice", non_idempotent=True, deadline_s=0.5)
        assert outcome.kind is OutcomeKind.UNKNOWN
        assert asyncio.get_running_loop().time() - started_s <= 2.6

    run_virtual(main())


def test_the_outcome_stays_unknown_after_the_agent_restarted() -> None:
    """Guards against a second run after a restart of the agent that ran the request."""

    async def main() -> None:
        deployment = Deployment(entries=2, service_s=2.0)
        await deployment.poll()
        first = deployment.send("invoice", non_idempotent=True)
        await asyncio.sleep(0.5)
        for agent in deployment.agents:
            agent.crash()
            agent.start()
        assert (await first).kind is OutcomeKind.UNKNOWN
        await deployment.poll()
        assert (await deployment.send("invoice", non_idempotent=True, entry=1)).code == "agent_lost"
        assert deployment.executions("invoice") == 1

    run_virtual(main())


def test_a_refused_attempt_is_reassigned_and_runs_once() -> None:
    """Guards against refusing a request because the first endpoint was full."""

    async def main() -> None:
        deployment = Deployment(agents=3)
        await deployment.poll()
        for agent in deployment.agents[:2]:
            agent.runner.limiter.draining = True
        outcome = await deployment.send("invoice", non_idempotent=True)
        assert outcome.kind is OutcomeKind.COMPLETED
        assert deployment.executions("invoice") == 1

    run_virtual(main())


def test_not_run_is_recorded_before_it_is_reported_and_a_resend_may_run() -> None:
    """Guards against `not_run` while the key is still assigned to an agent that could run it."""

    async def main() -> None:
        deployment = Deployment(agents=3)
        await deployment.poll()
        for agent in deployment.agents:
            agent.runner.limiter.draining = True
        outcome = await deployment.send("invoice", non_idempotent=True)
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert recorded_state(deployment, "invoice") is KeyState.NOT_RUN
        for agent in deployment.agents:
            agent.start()
        await deployment.poll()
        assert (await deployment.send("invoice", non_idempotent=True)).kind is OutcomeKind.COMPLETED
        assert deployment.executions("invoice") == 1

    run_virtual(main())


def test_an_outcome_that_was_not_recorded_is_not_reported_as_completed() -> None:
    """Guards against an outcome that is later contradicted because it was never recorded."""

    async def main() -> None:
        deployment = Deployment(service_s=1.0)
        await deployment.poll()
        sent = deployment.send("invoice", non_idempotent=True)
        await asyncio.sleep(0.2)
        deployment.control.lose_replies = 1
        assert (await sent).kind is OutcomeKind.UNKNOWN
        assert (await deployment.send("invoice", non_idempotent=True)).kind is OutcomeKind.COMPLETED
        assert deployment.executions("invoice") == 1

    run_virtual(main())


def test_a_disconnect_after_the_start_keeps_the_answer_for_a_resend() -> None:
    """Guards against losing the answer with the agent although the request completed."""

    async def main() -> None:
        deployment = Deployment(service_s=1.0)
        await deployment.poll()
        sent = deployment.send("invoice", non_idempotent=True)
        await asyncio.sleep(0.2)
        sent.cancel()
        await asyncio.sleep(3.0)
        assert recorded_state(deployment, "invoice") is KeyState.COMPLETED
        for agent in deployment.agents:
            agent.crash()
            agent.start()
        outcome = await deployment.send("invoice", non_idempotent=True)
        assert outcome.body == b"answer to invoice"

    run_virtual(main())


def test_a_disconnect_before_the_start_prevents_the_run() -> None:
    """Guards against running a request without callers, and against a key that stays assigned."""

    async def main() -> None:
        deployment = Deployment(agents=1, slots=1, service_s=1.0, queue_limit=1)
        await deployment.poll()
        running = deployment.send("first")
        await asyncio.sleep(0.1)
        deployment.entries[0].requests.resources.admission.service("meters").limiter.share = 2.0
        queued = deployment.send("second", non_idempotent=True)
        await asyncio.sleep(0.1)
        assert recorded_state(deployment, "second") is KeyState.ASSIGNED
        queued.cancel()
        await running
        await asyncio.sleep(3.0)
        assert deployment.executions("second") == 0
        assert recorded_state(deployment, "second") is KeyState.NOT_RUN

    run_virtual(main())


def test_an_answer_whose_agent_restarted_is_lost_and_not_run_again() -> None:
    """Guards against a second run of a request whose large answer only its agent held."""

    async def main() -> None:
        deployment = Deployment()
        for agent in deployment.agents:
            agent.endpoint.answer_bytes = 10_000
        await deployment.poll()
        await deployment.send("invoice", non_idempotent=True)
        for agent in deployment.agents:
            agent.crash()
            agent.start()
        await deployment.poll()
        outcome = await deployment.send("invoice", non_idempotent=True)
        assert (outcome.kind, outcome.code) == (OutcomeKind.UNKNOWN, "answer_lost")
        assert deployment.executions("invoice") == 1

    run_virtual(main())
