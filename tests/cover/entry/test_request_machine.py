"""A state machine test of requests through two entries while agents, links and control fail."""

import asyncio

from deployment import Deployment, new_request
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from hypothesis.strategies import booleans, integers, sampled_from
from request_journal import NumberedEndpoint, RequestJournal

from cicadatray.internal.bench.requests_simulation.simulated_agent import SimulatedAgent
from cicadatray.internal.bench.requests_simulation.simulated_entry import SimulatedEntry
from cicadatray.internal.bench.virtual_time_loop import VirtualTimeLoop
from cicadatray.internal.entry.directory_cache import POLL_INTERVAL_S

AGENTS = 3
KEYS = 4
SETTLING_S = 120.0

agents = integers(0, AGENTS - 1)
entries = integers(0, 1)
keys = integers(0, KEYS - 1)


class RequestMachine(RuleBasedStateMachine):
    """The real request path with agents, endpoints and control in memory."""

    __slots__ = ("deployment", "journal", "loop", "open_sends", "overlapped", "polling", "sends")

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.sends = 0
        self.open_sends: dict[str, dict[str, asyncio.Task[None]]] = {}
        self.overlapped: set[str] = set()

    @initialize(answer_bytes=sampled_from([0, 5000]), slots=sampled_from([1, 2]))
    def build(self, answer_bytes: int, slots: int) -> None:
        self.run(self._build(answer_bytes, slots))

    async def _build(self, answer_bytes: int, slots: int) -> None:
        deployment = self.deployment = Deployment(agents=0, queue_limit=4)
        for number in range(AGENTS):
            endpoint = NumberedEndpoint(0.3, seed=number)
            endpoint.name = f"endpoint-{number}".encode()
            endpoint.answer_bytes = answer_bytes
            deployment.agents.append(SimulatedAgent(f"agent-{number}", endpoint, slots))
        deployment.entries = [
            SimulatedEntry(deployment.agents, deployment.control, 4, seed) for seed in (0, 1)
        ]
        await deployment.poll()
        self.polling = [asyncio.create_task(entry.directory.run()) for entry in deployment.entries]
        self.journal = RequestJournal(deployment)

    def run(self, coroutine) -> None:
        self.loop.run_until_complete(coroutine)

    @rule(
        entry=entries,
        key=keys,
        once=booleans(),
        deadline_s=sampled_from([0.05, 0.4, 2.0, 10.0]),
        disconnect_after_s=sampled_from([None, None, 0.0, 0.004, 0.2, 0.6]),
    )
    def send(
        self, entry: int, key: int, once: bool, deadline_s: float, disconnect_after_s: float | None
    ) -> None:
        subject = f"{'once' if once else 'many'}-{key}"
        self.run(self._start(subject, once, entry, deadline_s, disconnect_after_s))

    async def _start(
        self,
        subject: str,
        once: bool,
        entry: int,
        deadline_s: float,
        disconnect_after_s: float | None,
    ) -> None:
        self.sends += 1
        trace_id = f"send-{self.sends}"
        others = self.open_sends.setdefault(subject, {})
        if others:
            self.overlapped |= {trace_id, *others}
        request = new_request(subject, "acueducto", once, deadline_s, trace_id=trace_id)
        answering = self.deployment.entries[entry].requests.run(request)
        others[trace_id] = asyncio.create_task(
            self._wait(subject, trace_id, asyncio.create_task(answering), disconnect_after_s)
        )

    async def _wait(
        self, subject: str, trace_id: str, answering: asyncio.Task, disconnect_after_s: float | None
    ) -> None:
        await asyncio.wait((answering,), timeout=disconnect_after_s)
        if answering.done():
            overlapped = trace_id in self.overlapped
            self.journal.record(subject, trace_id, answering.result(), overlapped)
        else:
            answering.cancel()
        del self.open_sends[subject][trace_id]

    @rule(key=keys, entry=entries, pause_s=sampled_from([0.0, 0.002, 0.1, 0.5]))
    def send_twice(self, key: int, entry: int, pause_s: float) -> None:
        self.run(self._start(f"once-{key}", True, entry, 10.0, None))
        self.run(asyncio.sleep(pause_s))
        self.run(self._start(f"once-{key}", True, 1 - entry, 10.0, None))

    @rule(pause_s=sampled_from([0.001, 0.01, 0.1, 0.5, 4.0]))
    def advance(self, pause_s: float) -> None:
        self.run(asyncio.sleep(pause_s))

    @rule(agent=agents)
    def crash(self, agent: int) -> None:
        self.deployment.agents[agent].crash()

    @rule(agent=agents)
    def restart(self, agent: int) -> None:
        self.deployment.agents[agent].crash()
        self.run(self._start_agent(agent))

    async def _start_agent(self, agent: int) -> None:
        self.deployment.agents[agent].start()

    @rule(agent=agents)
    def drain(self, agent: int) -> None:
        self.deployment.agents[agent].runner.limiter.draining = True

    @rule(agent=agents, requests=integers(0, 2), replies=integers(0, 2))
    def lose_calls(self, agent: int, requests: int, replies: int) -> None:
        self.deployment.agents[agent].lose_requests = requests
        self.deployment.agents[agent].lose_replies = replies

    @rule(agent=agents, fault=sampled_from(["failing", "truncating", "refusing"]), on=booleans())
    def break_endpoint(self, agent: int, fault: str, on: bool) -> None:
        setattr(self.deployment.agents[agent].endpoint, fault, on)

    @rule(agent=agents, service_s=sampled_from([0.05, 0.3, 3.0]))
    def slow_down(self, agent: int, service_s: float) -> None:
        self.deployment.agents[agent].endpoint.service_s = service_s

    @rule(agent=agents)
    def shrink_ledger(self, agent: int) -> None:
        self.deployment.agents[agent].runner.ledger.limit_bytes = 600

    @rule(agent=agents, listed=booleans())
    def lose_announcements(self, agent: int, listed: bool) -> None:
        name = self.deployment.agents[agent].agent_id
        (set.discard if listed else set.add)(self.deployment.control.unlisted, name)

    @rule(available=booleans(), lose_replies=integers(0, 2))
    def disturb_control(self, available: bool, lose_replies: int) -> None:
        self.deployment.control.available = available
        self.deployment.control.lose_replies = lose_replies

    @invariant()
    def answers_agree_with_runs(self) -> None:
        if hasattr(self, "journal"):
            self.journal.check()

    def teardown(self) -> None:
        if hasattr(self, "journal"):
            self.run(self._settle())
        self.loop.close()

    @rule()
    def repair(self) -> None:
        self.run(self._repair())

    async def _repair(self) -> None:
        self.deployment.control.available, self.deployment.control.lose_replies = True, 0
        self.deployment.control.unlisted.clear()
        for number, agent in enumerate(self.deployment.agents):
            agent.lose_requests = agent.lose_replies = 0
            agent.endpoint.failing = agent.endpoint.truncating = agent.endpoint.refusing = False
            agent.endpoint.service_s = 0.3
            if not agent.up or agent.runner.limiter.draining:
                await self._start_agent(number)
        await asyncio.sleep(POLL_INTERVAL_S * 2)

    async def _settle(self) -> None:
        """Checks that nothing stays in progress after a repair and that resends agree."""
        await self._repair()
        await asyncio.sleep(SETTLING_S)
        assert not any(self.open_sends.values()), "a send has no answer"
        for entry in self.deployment.entries:
            description = entry.context.describe()
            assert (description.requests_in_progress, description.background_attempts) == (0, 0)
            assert (
                description.waiting,
                [service.in_use for service in description.services if service.in_use],
            ) == (0, [])
        assert all(agent.runner.limiter.running == 0 for agent in self.deployment.agents)
        for subject in [key for key in self.journal.answers if key.startswith("once")]:
            for entry in (0, 1):
                await self._start(subject, True, entry, 10.0, None)
                await asyncio.sleep(20.0)
        self.journal.check()
        for task in self.polling:
            task.cancel()
        await asyncio.gather(*self.polling, return_exceptions=True)


TestRequestMachine = RequestMachine.TestCase
TestRequestMachine.settings = settings(max_examples=500, stateful_step_count=40)
