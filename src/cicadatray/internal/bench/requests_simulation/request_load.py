"""The measured load: four accounts, one failing and one slow endpoint, one burst of failures."""

import asyncio
import random

import msgspec

from cicadatray.internal.bench.requests_simulation.request_variant import (
    RequestVariant,
    apply_variant,
)
from cicadatray.internal.bench.requests_simulation.simulated_agent import SERVICE, SimulatedAgent
from cicadatray.internal.bench.requests_simulation.simulated_control import SimulatedControl
from cicadatray.internal.bench.requests_simulation.simulated_endpoint import SimulatedEndpoint
from cicadatray.internal.bench.requests_simulation.simulated_entry import SimulatedEntry
from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.request_outcome import OutcomeKind, RequestOutcome

ENTRIES = 2
ENDPOINTS = 10
SLOTS = 8
SERVICE_S = 0.2
SLOW_SERVICE_S = 0.8
FAILING_INDEX = 0
SLOW_INDEX = 1
# The requests per second that eight ordinary endpoints and the slow one complete, about 330.
CAPACITY_PER_S = (ENDPOINTS - 2) * SLOTS / SERVICE_S + SLOTS / SLOW_SERVICE_S
RUN_S = 12.0
BURST_START_S = 5.0
BURST_END_S = 6.0
BURST_ENDPOINTS = range(2, 7)
DEADLINE_S = 2.0
SHARED_ACCOUNT = "all"
SMALL_ACCOUNT = "small"
# The shares of the arrivals by account; all accounts have the same weight.
ARRIVAL_SHARES = {"large": 0.6, "medium": 0.25, "minor": 0.12, SMALL_ACCOUNT: 0.03}


class RequestReport(msgspec.Struct, frozen=True):
    """The result of one run.

    `small_share` is the share of the small account's requests that completed, `sent_per_request`
    the number of requests that endpoints received for each request of a caller.
    """

    variant: str
    load: float
    requests: int
    completed: int
    failed: int
    not_run: int
    unknown: int
    p50_ms: float
    p99_ms: float
    sent_per_request: float
    small_share: float
    sent_to_failing: int
    ejections: int


class _Result(msgspec.Struct, frozen=True):
    account: str
    outcome: RequestOutcome
    duration_s: float

    def is_success(self) -> bool:
        return self.outcome.kind is OutcomeKind.COMPLETED and self.outcome.status_code == 200


class RequestLoad:
    """Runs the load on one variant, on the virtual clock."""

    __slots__ = ("agents", "entries", "load", "random", "results", "variant")

    def __init__(self, variant: RequestVariant, load: float) -> None:
        self.variant = variant
        self.load = load
        self.random = random.Random(7)
        self.agents = [
            SimulatedAgent(f"agent-{n}", SimulatedEndpoint(SERVICE_S, seed=n), SLOTS)
            for n in range(ENDPOINTS)
        ]
        self.agents[FAILING_INDEX].endpoint.failing = True
        self.agents[SLOW_INDEX].endpoint.service_s = SLOW_SERVICE_S
        control = SimulatedControl(self.agents, {})
        self.entries = [SimulatedEntry(self.agents, control, seed=n) for n in range(ENTRIES)]
        for entry in self.entries:
            apply_variant(variant, entry, SERVICE)
        self.results: list[_Result] = []

    async def run(self) -> RequestReport:
        """Sends all requests and returns the report."""
        polling = [asyncio.create_task(entry.directory.run()) for entry in self.entries]
        bursting = asyncio.create_task(self._fail_in_burst())
        await asyncio.sleep(1.0)
        sending: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        end_s = loop.time() + RUN_S
        while loop.time() < end_s:
            await asyncio.sleep(self.random.expovariate(CAPACITY_PER_S * self.load))
            sending.append(asyncio.create_task(self._send(len(sending))))
        await asyncio.gather(*sending, bursting)
        for task in polling:
            task.cancel()
        await asyncio.gather(*polling, return_exceptions=True)
        return self._report()

    async def _fail_in_burst(self) -> None:
        """Makes half of the endpoints fail for a second."""
        await asyncio.sleep(BURST_START_S)
        for number in BURST_ENDPOINTS:
            self.agents[number].endpoint.failing = True
        await asyncio.sleep(BURST_END_S - BURST_START_S)
        for number in BURST_ENDPOINTS:
            self.agents[number].endpoint.failing = False

    async def _send(self, number: int) -> None:
        started_s = asyncio.get_running_loop().time()
        account = self.random.choices(list(ARRIVAL_SHARES), list(ARRIVAL_SHARES.values()))[0]
        request = CallerRequest(
            client_account=account if self.variant.fair_queue else SHARED_ACCOUNT,
            service=SERVICE,
            body=str(number).encode(),
            content_type="text/plain",
            key="",
            non_idempotent=False,
            deadline_s=started_s + DEADLINE_S,
            trace_id=str(number),
        )
        entry = self.random.choice(self.entries)
        outcome = await entry.requests.run(request)
        duration_s = asyncio.get_running_loop().time() - started_s
        self.results.append(_Result(account, outcome, duration_s))

    def _report(self) -> RequestReport:
        successes = sorted(r.duration_s for r in self.results if r.is_success())
        kinds = [result.outcome.kind for result in self.results]
        small = [result for result in self.results if result.account == SMALL_ACCOUNT]
        received = sum(agent.endpoint.received for agent in self.agents)
        ejections = sum(
            sum(entry.requests.resources.metrics.ejections.label_sets.values.values())
            for entry in self.entries
        )
        return RequestReport(
            variant=self.variant.name,
            load=self.load,
            requests=len(self.results),
            completed=len(successes),
            failed=kinds.count(OutcomeKind.COMPLETED) - len(successes),
            not_run=kinds.count(OutcomeKind.NOT_RUN),
            unknown=kinds.count(OutcomeKind.UNKNOWN),
            p50_ms=_quantile_ms(successes, 0.5),
            p99_ms=_quantile_ms(successes, 0.99),
            sent_per_request=round(received / len(self.results), 3),
            small_share=round(sum(r.is_success() for r in small) / len(small), 3),
            sent_to_failing=self.agents[FAILING_INDEX].endpoint.received,
            ejections=int(ejections),
        )


def _quantile_ms(durations_s: list[float], quantile: float) -> float:
    if not durations_s:
        return 0.0
    return round(durations_s[int(quantile * (len(durations_s) - 1))] * 1000, 1)
