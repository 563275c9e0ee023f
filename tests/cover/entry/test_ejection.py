"""Tests of the ejection, probing and selection of endpoints."""

import asyncio
import random

import pytest
from deployment import Deployment

from cicadatray.internal.bench.requests_simulation.simulated_agent import SERVICE
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.entry.attempt_verdict import Verdict, classify_reply
from cicadatray.internal.entry.endpoint_health import (
    EJECT_AFTER_FAILURES,
    EJECTION_JITTER,
    MAX_EJECTION_S,
    PROBES_TO_ADMIT,
    EndpointHealth,
)
from cicadatray.internal.entry.endpoint_selector import EndpointChoice
from cicadatray.internal.entry.health_lifecycle import HealthState, next_health
from cicadatray.internal.entry.request_outcome import OutcomeKind
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import (
    AgentLoad,
    AttemptAnswer,
    AttemptFailed,
    AttemptRefused,
)

LOAD = AgentLoad(0, 0, 8, False)


def refused(code: str) -> AttemptRefused:
    return AttemptRefused(code=code, detail="", retry_after_s=0.1, load=LOAD)


def failed(code: str) -> AttemptFailed:
    return AttemptFailed(code=code, detail="", load=LOAD)


def answered(status_code: int) -> AttemptAnswer:
    return AttemptAnswer(status_code=status_code, content_type="", body=b"", load=LOAD)


@pytest.mark.parametrize(
    ("reply", "verdict"),
    [
        (answered(200), Verdict.SUCCESS),
        (answered(404), Verdict.SUCCESS),
        (answered(500), Verdict.FAILURE),
        (failed("endpoint_failed"), Verdict.FAILURE),
        (refused("endpoint_unreachable"), Verdict.FAILURE),
        (refused("no_slot"), Verdict.NEUTRAL),
        (refused("draining"), Verdict.NEUTRAL),
        (failed("agent_restarted"), Verdict.NEUTRAL),
        (failed("attempt_forgotten"), Verdict.NEUTRAL),
    ],
)
def test_classification_of_replies(reply: MessageStruct, verdict: Verdict) -> None:
    """Guards against ejecting an endpoint that is full, and keeping one that is down."""
    assert classify_reply(reply) is verdict


@pytest.mark.parametrize(
    ("state", "trigger", "expected"),
    [
        (HealthState.HEALTHY, "eject", HealthState.EJECTED),
        (HealthState.EJECTED, "probe", HealthState.PROBING),
        (HealthState.PROBING, "admit", HealthState.HEALTHY),
        (HealthState.PROBING, "eject", HealthState.EJECTED),
        (HealthState.PROBING, "postpone", HealthState.EJECTED),
        (HealthState.EJECTED, "admit", None),
        (HealthState.HEALTHY, "probe", None),
    ],
)
def test_health_lifecycle(state: HealthState, trigger: str, expected: HealthState | None) -> None:
    """Guards against admitting an ejected endpoint without a probe."""
    assert next_health(state, trigger) is expected


def test_ejections_back_off_up_to_a_limit_with_jitter() -> None:
    """Guards against probing a broken endpoint every second indefinitely."""
    health = EndpointHealth(random.Random(1))
    now_s, durations = 0.0, []
    health.eject(now_s)
    for _ in range(8):
        durations.append(health.ejected_until_s - now_s)
        now_s = health.ejected_until_s
        assert health.is_probe_due(now_s)
        health.start_probe()
        assert not health.is_probe_due(now_s)
        health.end_probe(True, now_s)
    assert durations[0] <= 1 + EJECTION_JITTER
    assert durations[3] > durations[1] > durations[0]
    assert max(durations) <= MAX_EJECTION_S * (1 + EJECTION_JITTER)
    assert len({round(duration, 3) for duration in durations}) == len(durations)


def test_one_success_does_not_admit_an_endpoint() -> None:
    """Guards against full traffic to a flaky endpoint after a single successful probe."""
    health = EndpointHealth(random.Random(1))
    health.eject(0.0)
    for probe in range(PROBES_TO_ADMIT):
        assert health.state is not HealthState.HEALTHY, probe
        health.start_probe()
        health.end_probe(False, 5.0)
    assert health.state is HealthState.HEALTHY
    assert health.penalty(5.0) == 0.0


@pytest.mark.parametrize(
    ("endpoints", "ejected"), [(1, 0), (2, 0), (3, 1), (5, 1), (6, 2), (10, 3)]
)
def test_at_most_a_third_of_the_endpoints_is_ejected(endpoints: int, ejected: int) -> None:
    """Guards against ejecting every endpoint when a shared dependency fails."""

    async def main() -> None:
        deployment = Deployment(agents=endpoints)
        await deployment.poll()
        selector = deployment.entries[0].requests.resources.selector
        peers = deployment.entries[0].directory.all_peers_of(SERVICE)
        for _ in range(EJECT_AFTER_FAILURES * 2):
            for peer in peers:
                selector.record_verdict(EndpointChoice(peer), Verdict.FAILURE)
        states = [peer.health.state for peer in peers]
        assert states.count(HealthState.EJECTED) == ejected

    run_virtual(main())


def test_a_success_between_failures_prevents_the_ejection() -> None:
    """Guards against ejecting an endpoint for failures that are not consecutive."""

    async def main() -> None:
        deployment = Deployment(agents=3)
        await deployment.poll()
        selector = deployment.entries[0].requests.resources.selector
        peer = deployment.entries[0].directory.all_peers_of(SERVICE)[0]
        results = [Verdict.FAILURE] * (EJECT_AFTER_FAILURES - 1) + [Verdict.SUCCESS]
        for verdict in results * 3:
            selector.record_verdict(EndpointChoice(peer), verdict)
        assert peer.health.state is HealthState.HEALTHY

    run_virtual(main())


def test_an_endpoint_that_fails_fast_gets_few_requests_until_it_is_repaired() -> None:
    """Guards against a broken endpoint that appears idle and attracts most of the requests."""

    async def main() -> None:
        deployment = Deployment(agents=3, slots=4, service_s=0.05)
        await deployment.poll()
        broken = deployment.agents[0].endpoint
        broken.failing = True
        for number in range(100):
            outcome = await deployment.send(f"early-{number}")
            assert outcome.status_code == 200
        assert broken.received <= EJECT_AFTER_FAILURES + 6
        broken.failing = False
        received = broken.received
        await asyncio.sleep(40.0)
        for number in range(60):
            await deployment.send(f"late-{number}")
        peers = deployment.entries[0].directory.all_peers_of(SERVICE)
        assert all(peer.health.state is HealthState.HEALTHY for peer in peers)
        assert broken.received > received + PROBES_TO_ADMIT

    run_virtual(main())


def test_an_ejected_endpoint_is_used_when_no_other_accepts_work() -> None:
    """Guards against refusing requests although an endpoint may have recovered."""

    async def main() -> None:
        deployment = Deployment(agents=3)
        await deployment.poll()
        entry = deployment.entries[0]
        peers = entry.directory.all_peers_of(SERVICE)
        peers[0].health.eject(0.0)
        for agent in deployment.agents[1:]:
            agent.runner.limiter.draining = True
        await deployment.poll()
        assert (await deployment.send("invoice")).kind is OutcomeKind.COMPLETED

    run_virtual(main())


def test_a_non_idempotent_request_is_not_used_as_an_early_probe() -> None:
    """Guards against unknown outcomes caused by probing a broken endpoint."""

    async def main() -> None:
        deployment = Deployment(agents=3)
        await deployment.poll()
        entry = deployment.entries[0]
        entry.directory.all_peers_of(SERVICE)[0].health.eject(0.0)
        await asyncio.sleep(2.0)
        selector = entry.requests.resources.selector
        choices = [selector.choose(SERVICE, set(), non_idempotent=True) for _ in range(20)]
        assert not any(choice.probe for choice in choices)
        assert selector.choose(SERVICE, set()).probe

    run_virtual(main())
