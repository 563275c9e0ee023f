"""Tests of idempotent requests: retries, retry budget and outcomes."""

import asyncio

import pytest
from deployment import Deployment

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.entry.request_outcome import OutcomeKind
from cicadatray.internal.entry.retry_budget import RETRY_BUCKET_CAPACITY, RETRY_RATIO, RetryBudget


def test_budget_is_a_tenth_of_the_requests_plus_the_initial_tokens() -> None:
    """Guards against retries that multiply the load when every request fails."""
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.record_request()
        retries += budget.try_spend(0.0)
    allowed = RETRY_BUCKET_CAPACITY + 1000 * RETRY_RATIO
    assert allowed - 1 <= retries <= allowed


def test_retries_do_not_accumulate_without_failures() -> None:
    """Guards against a burst of retries after a long time without failures."""
    budget = RetryBudget()
    for _ in range(10_000):
        budget.record_request()
    assert sum(budget.try_spend(3600.0) for _ in range(1000)) == RETRY_BUCKET_CAPACITY


def test_all_endpoints_failing_adds_at_most_the_budget_to_the_load() -> None:
    """Guards against sending each request to every endpoint when all endpoints fail."""

    async def main() -> None:
        deployment = Deployment(agents=6, slots=8, queue_limit=1000)
        for agent in deployment.agents:
            agent.endpoint.failing = True
        await deployment.poll()
        outcomes = await asyncio.gather(*(deployment.send(str(n)) for n in range(300)))
        received = sum(agent.endpoint.received for agent in deployment.agents)
        assert received <= 300 * (1 + RETRY_RATIO) + RETRY_BUCKET_CAPACITY + 6
        assert {outcome.status_code for outcome in outcomes} == {500}

    run_virtual(main())


def test_one_failing_endpoint_is_hidden_by_retries() -> None:
    """Guards against returning a failure to the caller although other endpoints work."""

    async def main() -> None:
        deployment = Deployment(agents=3)
        deployment.agents[0].endpoint.truncating = True
        await deployment.poll()
        outcomes = [await deployment.send(str(n)) for n in range(20)]
        assert {outcome.kind for outcome in outcomes} == {OutcomeKind.COMPLETED}

    run_virtual(main())


@pytest.mark.parametrize(
    ("fault", "kind", "status_code"),
    [
        ("failing", OutcomeKind.COMPLETED, 500),
        ("truncating", OutcomeKind.UNKNOWN, 502),
        ("refusing", OutcomeKind.NOT_RUN, 503),
    ],
)
def test_outcome_when_every_endpoint_has_the_same_fault(
    fault: str, kind: OutcomeKind, status_code: int
) -> None:
    """Guards against `not_run` for a request that ran and `completed` for a truncated answer."""

    async def main() -> None:
        deployment = Deployment(agents=3)
        for agent in deployment.agents:
            setattr(agent.endpoint, fault, True)
        await deployment.poll()
        outcome = await deployment.send("query")
        assert (outcome.kind, outcome.status_code) == (kind, status_code)

    run_virtual(main())


@pytest.mark.parametrize(
    ("lost", "kind"),
    [("lose_requests", OutcomeKind.UNKNOWN), ("lose_replies", OutcomeKind.UNKNOWN)],
)
def test_lost_calls_are_never_reported_as_not_run(lost: str, kind: OutcomeKind) -> None:
    """Guards against reporting a request as not run because its connection broke."""

    async def main() -> None:
        deployment = Deployment(agents=1)
        setattr(deployment.agents[0], lost, 10)
        await deployment.poll()
        assert (await deployment.send("query")).kind is kind

    run_virtual(main())


def test_a_request_whose_deadline_passes_in_the_agents_queue_is_not_run() -> None:
    """Guards against `outcome_unknown` for a request that never started."""

    async def main() -> None:
        deployment = Deployment(agents=1, slots=1, service_s=5.0)
        await deployment.poll()
        deployment.entries[0].requests.resources.admission.service("meters").limiter.share = 2.0
        running = deployment.send("first", deadline_s=30.0)
        await asyncio.sleep(0.1)
        outcome = await deployment.send("second", deadline_s=0.5)
        assert (outcome.kind, outcome.code) == (OutcomeKind.NOT_RUN, "deadline_exceeded")
        await running
        assert deployment.executions("second") == 0

    run_virtual(main())


def test_the_outcome_is_unknown_when_the_deadline_passes_after_the_start() -> None:
    """Guards against `not_run` for a request that an endpoint is running."""

    async def main() -> None:
        deployment = Deployment(agents=1, service_s=5.0)
        await deployment.poll()
        outcome = await deployment.send("query", deadline_s=0.5)
        assert (outcome.kind, outcome.code) == (OutcomeKind.UNKNOWN, "deadline_exceeded")

    run_virtual(main())


def test_an_answer_that_races_with_the_cancellation_is_never_not_run() -> None:
    """Guards against `not_run` when the deadline passes while the answer is in transit."""

    async def main(deadline_s: float) -> None:
        deployment = Deployment(agents=1, slots=1, service_s=0.1)
        await deployment.poll()
        outcome = await deployment.send("query", deadline_s=deadline_s)
        if deployment.executions("query"):
            assert outcome.kind is not OutcomeKind.NOT_RUN

    for tick in range(500):
        run_virtual(main(0.0004 * tick + 0.0001))
