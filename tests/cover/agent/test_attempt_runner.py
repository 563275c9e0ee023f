"""Tests of attempts at the agent."""

import asyncio

import pytest
from attempts import cancel_call, new_agent, run_call

from cicadatray.internal.agent.endpoint_client import EndpointAnswer
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.messages.attempt_messages import (
    AttemptAnswer,
    AttemptFailed,
    AttemptRefused,
)


@pytest.mark.parametrize("claim_index", [0, 7])
def test_cancel_after_the_end_does_not_claim_that_the_attempt_never_ran(claim_index: int) -> None:
    """Guards against `not_run` for a request that ended before its cancellation arrived."""

    async def main() -> None:
        agent = new_agent()
        answer = await agent.runner.run(run_call(agent, "a", claim_index))
        assert isinstance(answer, AttemptAnswer)
        reply = agent.runner.cancel(cancel_call(agent, "a", claim_index))
        assert isinstance(reply, AttemptFailed)

    run_virtual(main())


def test_cancel_of_a_forgotten_attempt_does_not_claim_that_it_never_ran() -> None:
    """Guards against `not_run` for an attempt that ran and was evicted from the ledger."""

    async def main() -> None:
        agent = new_agent()
        agent.runner.ledger.limit_bytes = 0
        await agent.runner.run(run_call(agent, "a", 7))
        assert isinstance(agent.runner.cancel(cancel_call(agent, "a", 7)), AttemptFailed)
        assert isinstance(await agent.runner.run(run_call(agent, "a", 7)), AttemptFailed)
        assert agent.endpoint.executions[b"a"] == 1

    run_virtual(main())


def test_an_attempt_cancelled_before_it_arrives_never_runs() -> None:
    """Guards against a delayed call that runs after the key was resolved as not run."""

    async def main() -> None:
        agent = new_agent()
        assert isinstance(agent.runner.cancel(cancel_call(agent, "a", 7)), AttemptRefused)
        assert isinstance(await agent.runner.run(run_call(agent, "a", 7)), AttemptRefused)
        assert agent.endpoint.executions[b"a"] == 0

    run_virtual(main())


def test_callers_of_one_attempt_share_its_run() -> None:
    """Guards against a second execution when a resend joins through another entry."""

    async def main() -> None:
        agent = new_agent()
        calls = [agent.runner.run(run_call(agent, "a", 7)) for _ in range(3)]
        replies = await asyncio.gather(*calls)
        assert len({reply.body for reply in replies}) == 1
        assert agent.endpoint.executions[b"a"] == 1

    run_virtual(main())


def test_another_incarnation_never_answers_for_an_attempt() -> None:
    """Guards against running an attempt again that an earlier incarnation may have run."""

    async def main() -> None:
        agent = new_agent()
        call, cancel = run_call(agent, "a", 7), cancel_call(agent, "a", 7)
        agent.start()
        for reply in (await agent.runner.run(call), agent.runner.cancel(cancel)):
            assert isinstance(reply, AttemptFailed) and reply.code == "agent_restarted"
        assert agent.endpoint.received == 0

    run_virtual(main())


def test_slots_are_never_exceeded_and_the_rest_is_refused() -> None:
    """Guards against more concurrent requests at the endpoint than it has slots."""

    async def main() -> None:
        agent = new_agent(slots=2)
        calls = [agent.runner.run(run_call(agent, str(n), n + 1)) for n in range(7)]
        replies = await asyncio.gather(*calls)
        refused = [reply for reply in replies if isinstance(reply, AttemptRefused)]
        assert agent.endpoint.peak_running == 2
        assert [reply.code for reply in refused] == ["no_slot"] * 3
        assert agent.runner.limiter.running == 0

    run_virtual(main())


def test_slot_of_a_cancelled_attempt_goes_to_the_next_one() -> None:
    """Guards against losing a slot that is granted to an attempt as it is cancelled."""

    async def main() -> None:
        agent = new_agent(slots=2)
        waiting = [asyncio.create_task(agent.runner.run(run_call(agent, str(n)))) for n in range(4)]
        await asyncio.sleep(0)
        agent.runner.limiter.release(0.1)  # grants the slot to attempt 2, which has not resumed yet
        assert isinstance(agent.runner.cancel(cancel_call(agent, "2")), AttemptRefused)
        await asyncio.wait(waiting)
        assert agent.endpoint.executions[b"2"] == 0
        assert agent.endpoint.executions[b"3"] == 1

    run_virtual(main())


def test_refusals_of_idempotent_attempts_do_not_displace_kept_results() -> None:
    """Guards against the eviction of answers by a burst of refusals."""

    async def main() -> None:
        agent = new_agent()
        agent.runner.ledger.limit_bytes = 2000
        await agent.runner.run(run_call(agent, "kept", 7))
        agent.runner.limiter.draining = True
        for number in range(50):
            await agent.runner.run(run_call(agent, f"refused-{number}"))
        assert isinstance(await agent.runner.run(run_call(agent, "kept", 7)), AttemptAnswer)

    run_virtual(main())


def test_a_defect_in_the_endpoint_client_does_not_leave_an_attempt_open() -> None:
    """Guards against a drain that never ends because an attempt has no reply."""

    async def main() -> None:
        agent = new_agent()

        class Defective:
            __slots__ = ()

            async def send(self, *_: object) -> EndpointAnswer:
                raise ValueError("malformed")

        agent.runner.endpoint = Defective()
        reply = await asyncio.wait_for(agent.runner.run(run_call(agent, "a", 7)), 5.0)
        assert isinstance(reply, AttemptFailed)
        await agent.runner.finish()

    run_virtual(main())


def test_abandon_distinguishes_queued_from_started_attempts() -> None:
    """Guards against a second stop signal that reports a started attempt as not run."""

    async def main() -> None:
        agent = new_agent()
        calls = [
            asyncio.create_task(agent.runner.run(run_call(agent, str(n), n + 1))) for n in (0, 1)
        ]
        await asyncio.sleep(0.01)
        agent.runner.abandon()
        started, queued = await asyncio.gather(*calls)
        assert isinstance(started, AttemptFailed) and isinstance(queued, AttemptRefused)
        assert agent.endpoint.executions == {b"0": 1}

    run_virtual(main())
