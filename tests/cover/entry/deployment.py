"""A small deployment in memory for tests of the request path."""

import asyncio

from cicadatray.internal.bench.requests_simulation.simulated_agent import SERVICE, SimulatedAgent
from cicadatray.internal.bench.requests_simulation.simulated_control import SimulatedControl
from cicadatray.internal.bench.requests_simulation.simulated_endpoint import SimulatedEndpoint
from cicadatray.internal.bench.requests_simulation.simulated_entry import SimulatedEntry
from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.request_outcome import RequestOutcome


class Deployment:
    """Agents, a control leader and entries in memory; `poll` refreshes the entries' directories."""

    __slots__ = ("agents", "control", "entries")

    def __init__(
        self,
        agents: int = 3,
        slots: int = 2,
        service_s: float = 0.1,
        entries: int = 1,
        queue_limit: int = 16,
        shares: dict[str, float] | None = None,
    ) -> None:
        self.agents = [
            SimulatedAgent(f"agent-{n}", SimulatedEndpoint(service_s, seed=n), slots)
            for n in range(agents)
        ]
        self.control = SimulatedControl(self.agents, shares or {})
        self.entries = [
            SimulatedEntry(self.agents, self.control, queue_limit, seed=n) for n in range(entries)
        ]

    async def poll(self) -> None:
        """Refreshes the directory of every entry."""
        for entry in self.entries:
            await entry.directory.poll_once()

    def executions(self, subject: str) -> int:
        """Returns the number of runs of a request at all endpoints."""
        return sum(agent.endpoint.executions[subject.encode()] for agent in self.agents)

    def send(
        self,
        subject: str,
        account: str = "acueducto",
        non_idempotent: bool = False,
        deadline_s: float = 5.0,
        entry: int = 0,
        key: str | None = None,
    ) -> asyncio.Task[RequestOutcome]:
        """Starts a request whose body is its subject and returns its task."""
        request = new_request(subject, account, non_idempotent, deadline_s, key)
        return asyncio.create_task(self.entries[entry].requests.run(request))


def new_request(
    subject: str,
    account: str = "acueducto",
    non_idempotent: bool = False,
    deadline_s: float = 5.0,
    key: str | None = None,
    trace_id: str = "trace",
) -> CallerRequest:
    """Returns a request whose key is its subject by default."""
    return CallerRequest(
        client_account=account,
        service=SERVICE,
        body=subject.encode(),
        content_type="text/plain",
        key=subject if key is None else key,
        non_idempotent=non_idempotent,
        deadline_s=asyncio.get_running_loop().time() + deadline_s,
        trace_id=trace_id,
    )
