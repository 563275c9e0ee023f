"""Tests of admission: fairness, limits, refusals and the adaptive limit."""

import asyncio
from collections import Counter

import pytest
from deployment import Deployment

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.entry.adaptive_limit import AdaptiveLimit, ServiceLoad
from cicadatray.internal.entry.fair_queue import FairQueue
from cicadatray.internal.entry.queue_ticket import QueueTicket, TicketOutcome
from cicadatray.internal.entry.request_outcome import OutcomeKind


@pytest.mark.parametrize(
    ("weights", "expected"),
    [
        ({"a": 1.0, "b": 1.0}, {"a": 20, "b": 20}),
        ({"a": 3.0, "b": 1.0}, {"a": 30, "b": 10}),
        ({"a": 2.0, "b": 1.0, "c": 1.0}, {"a": 20, "b": 10, "c": 10}),
        ({"a": 1.0, "b": 0.0}, {"a": 39, "b": 1}),
    ],
)
def test_accounts_are_served_by_weight(weights: dict[str, float], expected: dict[str, int]) -> None:
    """Guards against serving accounts in proportion to their number of requests."""

    async def main() -> None:
        queue = FairQueue()
        for account, weight in weights.items():
            for _ in range(100 if account == "a" else 40):
                queue.push(QueueTicket(account, weight, 60.0))
        served = Counter(queue.pop().client_account for _ in range(40))
        assert served == expected

    run_virtual(main())


def test_an_idle_account_accumulates_no_credit() -> None:
    """Guards against serving only an account that was idle, to make up for its idle time."""

    async def main() -> None:
        queue = FairQueue()
        for _ in range(200):
            queue.push(QueueTicket("busy", 1.0, 60.0))
        for _ in range(100):
            queue.pop()
        for _ in range(50):
            queue.push(QueueTicket("back", 1.0, 60.0))
        served = Counter(queue.pop().client_account for _ in range(40))
        assert abs(served["busy"] - served["back"]) <= 1

    run_virtual(main())


def test_an_account_with_few_requests_is_not_displaced_by_one_with_many() -> None:
    """Guards against refusing the requests of a small account when a large one fills the queue."""

    async def main() -> None:
        deployment = Deployment(agents=1, slots=1, service_s=0.5, queue_limit=8)
        await deployment.poll()
        large = [deployment.send(f"l-{n}", "large", deadline_s=60.0) for n in range(12)]
        await asyncio.sleep(0.1)
        small = [deployment.send(f"s-{n}", "small", deadline_s=60.0) for n in range(3)]
        large_outcomes, small_outcomes = await asyncio.gather(
            asyncio.gather(*large), asyncio.gather(*small)
        )
        assert {outcome.kind for outcome in small_outcomes} == {OutcomeKind.COMPLETED}
        refused = [result for result in large_outcomes if result.kind is OutcomeKind.NOT_RUN]
        assert len(refused) == 6 and {result.code for result in refused} == {"queue_full"}
        assert all(outcome.retry_after_s > 0 for outcome in refused)

    run_virtual(main())


def test_a_request_that_would_wait_beyond_its_deadline_is_refused_at_once() -> None:
    """Guards against queueing a request until its deadline and then refusing it."""

    async def main() -> None:
        deployment = Deployment(agents=1, slots=1, service_s=1.0, queue_limit=100)
        await deployment.poll()
        await deployment.send("measured")
        running = [deployment.send(str(n), deadline_s=60.0) for n in range(10)]
        await asyncio.sleep(0.01)
        before_s = asyncio.get_running_loop().time()
        outcome = await deployment.send("late", deadline_s=3.0)
        assert asyncio.get_running_loop().time() == before_s
        assert (outcome.kind, outcome.code) == (OutcomeKind.NOT_RUN, "overloaded")
        assert 5.0 <= outcome.retry_after_s <= 15.0
        await asyncio.gather(*running)

    run_virtual(main())


@pytest.mark.parametrize("ending", ["disconnect", "deadline"])
def test_a_request_without_a_waiting_caller_leaves_the_queue_at_once(ending: str) -> None:
    """Guards against permits and queue capacity used for callers that have disconnected."""

    async def main() -> None:
        deployment = Deployment(agents=1, slots=1, service_s=5.0)
        await deployment.poll()
        running = deployment.send("first", deadline_s=60.0)
        await asyncio.sleep(0.1)
        waiting = deployment.send("second", deadline_s=1.0)
        await asyncio.sleep(0.1)
        admission = deployment.entries[0].requests.resources.admission
        assert admission.waiting_count() == 1
        if ending == "disconnect":
            waiting.cancel()
            await asyncio.sleep(0.01)
        else:
            assert (await waiting).kind is OutcomeKind.NOT_RUN
        assert admission.waiting_count() == 0
        await running
        await asyncio.sleep(0.1)
        assert deployment.executions("second") == 0
        assert admission.service("meters").in_use == 0

    run_virtual(main())


def test_a_resend_of_a_known_key_is_not_queued() -> None:
    """Guards against refusing a resend because of overload although its request has completed."""

    async def main() -> None:
        deployment = Deployment(agents=1, slots=1, service_s=0.2, queue_limit=1)
        await deployment.poll()
        await deployment.send("invoice", non_idempotent=True)
        load = [deployment.send(str(n), deadline_s=60.0) for n in range(5)]
        await asyncio.sleep(0.05)
        outcome = await deployment.send("invoice", non_idempotent=True)
        assert outcome.body == b"answer to invoice"
        refused = await deployment.send("new", non_idempotent=True)
        assert (refused.kind, refused.code) == (OutcomeKind.NOT_RUN, "queue_full")
        assert "acueducto/new" not in deployment.control.state.keys
        await asyncio.gather(*load)

    run_virtual(main())


def test_entries_share_the_slots_without_communicating() -> None:
    """Guards against refusals because each entry tries to use all slots."""

    async def main() -> None:
        deployment = Deployment(agents=4, slots=8, service_s=0.1, entries=3, queue_limit=500)
        await deployment.poll()
        calls = [deployment.send(str(n), entry=n % 3, deadline_s=60.0, key="") for n in range(1200)]
        await asyncio.sleep(0)
        outcomes = await asyncio.gather(*calls)
        assert {outcome.kind for outcome in outcomes} == {OutcomeKind.COMPLETED}
        limits = [
            entry.requests.resources.admission.service("meters").concurrency_limit()
            for entry in deployment.entries
        ]
        assert 32 * 0.7 <= sum(limits) <= 64
        assert all(agent.endpoint.peak_running <= 8 for agent in deployment.agents)

    run_virtual(main())


def test_limit_follows_loads_and_endpoints() -> None:
    """Guards against a limit that stays high after refusals or after the loss of endpoints."""
    limit = AdaptiveLimit()
    assert (limit.max_in_flight(80), limit.max_in_flight(40), limit.max_in_flight(0)) == (80, 40, 1)
    full = ServiceLoad(slots=80, queued=60)
    limit.observe_refusal(full, mean_hold_s=1.0, now_s=10.0)
    limit.observe_refusal(full, mean_hold_s=1.0, now_s=10.5)
    assert limit.max_in_flight(80) == 68
    calm = ServiceLoad(slots=80, queued=8)
    limit.observe_refusal(calm, mean_hold_s=1.0, now_s=15.0)
    limit.observe_reply(calm, in_use=10, mean_hold_s=1.0, now_s=20.0)
    assert limit.max_in_flight(80) == 68
    for _ in range(68 * 10):
        limit.observe_reply(calm, in_use=80, mean_hold_s=1.0, now_s=20.0)
    assert limit.max_in_flight(80) > 75


def test_a_permit_that_comes_too_late_goes_to_the_next_request() -> None:
    """Guards against slots wasted on requests whose outcome is unknown at their deadline."""

    async def main() -> None:
        deployment = Deployment(agents=1, slots=1)
        await deployment.poll()
        service = deployment.entries[0].requests.resources.admission.service("meters")
        service.mean_hold_s = 1.0
        late, early = QueueTicket("a", 1.0, 0.5), QueueTicket("a", 1.0, 10.0)
        service.queue.push(late)
        service.queue.push(early)
        service.dispatch()
        assert late.outcome.result() is TicketOutcome.TOO_LATE
        assert early.outcome.result() is TicketOutcome.GRANTED

    run_virtual(main())
