"""An agent in memory, with the real attempt runner."""

import asyncio

from cicadatray.internal.agent.attempt_runner import AttemptRunner
from cicadatray.internal.bench.requests_simulation.simulated_endpoint import SimulatedEndpoint
from cicadatray.internal.settings.agent_settings import AgentSettings, EndpointSettings
from cicadatray.internal.settings.common import Address
from cicadatray.internal.wire.errors import PeerLostError, PeerUnreachableError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import CancelAttempt, RunAttempt
from cicadatray.internal.wire.messages.directory_messages import AgentRecord

SERVICE = "meters"
LATENCY_S = 0.0005
ADDRESS = Address("127.0.0.1", 1)


class SimulatedAgent:
    """An agent whose crash fails its calls, while requests at its endpoint continue.

    `lose_requests` and `lose_replies` are the numbers of further calls whose connection breaks
    before and after the agent has handled them.
    """

    __slots__ = (
        "agent_id",
        "calls",
        "endpoint",
        "incarnation_number",
        "lose_replies",
        "lose_requests",
        "runner",
        "settings",
        "up",
    )

    def __init__(self, agent_id: str, endpoint: SimulatedEndpoint, slots: int = 8) -> None:
        self.agent_id = agent_id
        self.endpoint = endpoint
        self.settings = AgentSettings(
            name=agent_id,
            data_centre="centre",
            listen=ADDRESS,
            secret_file="secret",
            control=(),
            endpoint=EndpointSettings(SERVICE, ADDRESS, slots),
        )
        self.incarnation_number = 0
        self.lose_requests = 0
        self.lose_replies = 0
        self.up = False
        self.calls: set[asyncio.Task[MessageStruct]] = set()
        self.start()

    def start(self) -> None:
        """Starts a new incarnation, which has no record of earlier attempts."""
        assert self.settings.endpoint is not None
        self.incarnation_number += 1
        self.runner = AttemptRunner(self.settings, self.settings.endpoint, self.incarnation())
        self.runner.endpoint = self.endpoint  # type: ignore[assignment]
        self.up = True

    def crash(self) -> None:
        """Ends this incarnation; its callers lose their connections."""
        self.up = False
        for call in self.calls:
            call.cancel()

    def incarnation(self) -> str:
        """Returns the name of the current incarnation."""
        return f"{self.agent_id}-{self.incarnation_number}"

    def record(self) -> AgentRecord:
        """Returns the agent's record in the directory."""
        assert self.settings.endpoint is not None
        return AgentRecord(
            agent_id=self.agent_id,
            incarnation=self.incarnation(),
            host=ADDRESS.host,
            port=ADDRESS.port,
            data_centre="centre",
            service=SERVICE,
            slots=self.settings.endpoint.slots,
            draining=self.runner.limiter.draining,
        )

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        """Replaces `RpcClient.call`."""
        await asyncio.sleep(LATENCY_S)
        if not self.up:
            raise PeerUnreachableError("connection refused")
        if self.lose_requests > 0:
            self.lose_requests -= 1
            raise PeerLostError("connection lost")
        call = asyncio.create_task(self._answer(message))
        self.calls.add(call)
        call.add_done_callback(self.calls.discard)
        await asyncio.wait((call,), timeout=timeout_s)
        if not call.done():
            raise PeerLostError("no reply in time")
        if call.cancelled():
            raise PeerLostError("connection lost")
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise PeerLostError("connection lost")
        await asyncio.sleep(LATENCY_S)
        return call.result()

    async def close(self) -> None:
        """Replaces `RpcClient.close`."""

    async def _answer(self, message: MessageStruct) -> MessageStruct:
        if isinstance(message, RunAttempt):
            return await self.runner.run(message)
        assert isinstance(message, CancelAttempt)
        return self.runner.cancel(message)
