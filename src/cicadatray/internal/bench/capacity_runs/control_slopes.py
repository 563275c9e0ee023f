"""Cost of the control leader for each agent that announces itself and each idempotency key."""

import asyncio
import secrets
import tempfile
from pathlib import Path

import msgspec

from cicadatray.internal.bench.capacity_runs.line_fit import LineFit, Point, fit_line
from cicadatray.internal.bench.capacity_runs.process_usage import read_usage
from cicadatray.internal.bench.deployment.deployment_plan import DeploymentPlan
from cicadatray.internal.bench.deployment.local_deployment import LocalDeployment
from cicadatray.internal.control.leases import ANNOUNCE_INTERVAL_S
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.messages.diagnostic_messages import ReadDump, TextReply
from cicadatray.internal.wire.messages.directory_messages import (
    AgentRecord,
    Announce,
    AnnounceReply,
    RenewLease,
)
from cicadatray.internal.wire.messages.key_messages import (
    ClaimKey,
    KeyState,
    ResolveKey,
    StoredAnswer,
)
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.messages.task_digest import task_digest
from cicadatray.internal.wire.traffic import TrafficTotals

AGENT_COUNTS = (0, 50, 100, 200, 400)
MEASURE_S = 6.0
SETTLE_S = 3.0
KEY_COUNT = 400
CALL_TIMEOUT_S = 10.0
LEADER_TIMEOUT_S = 20.0


class LeaderSample(msgspec.Struct, frozen=True):
    """Totals of the leading control process at one moment."""

    processor_s: float
    resident_bytes: int
    traffic_bytes: int


class ControlSlopes(msgspec.Struct, frozen=True):
    """Costs for each agent that announces itself every second and each non-idempotent request."""

    processor_share: LineFit
    traffic_bytes_s: LineFit
    resident_bytes: LineFit
    key_processor_s: float
    key_traffic_bytes: float


class TrafficDump(msgspec.Struct):
    """The traffic section of a dump."""

    traffic: TrafficTotals


class ControlMeasurement:
    """Measures three real control processes with agents that only announce themselves."""

    __slots__ = ("clients", "deployment", "secret")

    def __init__(self, folder: Path) -> None:
        plan = DeploymentPlan(entries=0, endpoints=0, workers=0)
        self.deployment = LocalDeployment(folder, plan)
        self.secret = (folder / "secret").read_bytes()
        self.clients: list[ControlClient] = []

    async def run(self) -> ControlSlopes:
        """Measures the costs at every number of agents, and of keys."""
        self.deployment.start()
        client = self._client()
        await client.call(_announce(0), LEADER_TIMEOUT_S)
        samples = [await self._measure_agents(client, count) for count in AGENT_COUNTS]
        key_processor_s, key_traffic = await self._measure_keys(client)
        return ControlSlopes(
            processor_share=fit_line([s[0] for s in samples]),
            traffic_bytes_s=fit_line([s[1] for s in samples]),
            resident_bytes=fit_line([s[2] for s in samples]),
            key_processor_s=key_processor_s,
            key_traffic_bytes=key_traffic,
        )

    async def _measure_agents(
        self, client: ControlClient, count: int
    ) -> tuple[Point, Point, Point]:
        announcers = [asyncio.create_task(self._announce_forever(n)) for n in range(count)]
        await asyncio.sleep(SETTLE_S)
        before = await self._sample(client)
        await asyncio.sleep(MEASURE_S)
        after = await self._sample(client)
        for task in announcers:
            task.cancel()
        await asyncio.gather(*announcers, return_exceptions=True)
        return (
            Point(count, (after.processor_s - before.processor_s) / MEASURE_S),
            Point(count, (after.traffic_bytes - before.traffic_bytes) / MEASURE_S),
            Point(count, after.resident_bytes),
        )

    async def _announce_forever(self, number: int) -> None:
        client = self._client()
        try:
            reply = await client.call(_announce(number), CALL_TIMEOUT_S)
            assert isinstance(reply, AnnounceReply)
            renewal = RenewLease(
                term=reply.term, session=reply.session, tasks_digest=task_digest(())
            )
            while True:
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)
                await client.call(renewal, CALL_TIMEOUT_S)
        finally:
            await client.close()

    async def _measure_keys(self, client: ControlClient) -> tuple[float, float]:
        before = await self._sample(client)
        started_s = asyncio.get_running_loop().time()
        for number in range(KEY_COUNT):
            await self._claim_and_resolve(client, number)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        after = await self._sample(client)
        idle_before = await self._sample(client)
        await asyncio.sleep(elapsed_s)
        idle_after = await self._sample(client)
        idle_processor_s = idle_after.processor_s - idle_before.processor_s
        idle_traffic = idle_after.traffic_bytes - idle_before.traffic_bytes
        processor_s = after.processor_s - before.processor_s - idle_processor_s
        traffic = after.traffic_bytes - before.traffic_bytes - idle_traffic
        return processor_s / KEY_COUNT, traffic / KEY_COUNT

    async def _claim_and_resolve(self, client: ControlClient, number: int) -> None:
        claim = ClaimKey(
            client_account="account",
            key=f"key-{number:032}",
            digest=bytes(16),
            agent_id="agent-e0",
            agent_incarnation="0" * 16,
        )
        await client.call(claim, CALL_TIMEOUT_S)
        resolve = ResolveKey(
            client_account="account",
            key=f"key-{number:032}",
            attempt=1,
            state=KeyState.COMPLETED,
            answer=StoredAnswer(200, "application/json", b"x" * 200),
        )
        await client.call(resolve, CALL_TIMEOUT_S)

    async def _sample(self, client: ControlClient) -> LeaderSample:
        name = client.leader_name
        reply = await client.call_member(name, ReadDump(), CALL_TIMEOUT_S)
        assert isinstance(reply, TextReply)
        traffic = msgspec.json.decode(reply.text, type=TrafficDump).traffic
        process = self.deployment.handles[name].process
        assert process is not None
        usage = read_usage(process.pid)
        traffic_bytes = traffic.bytes_sent + traffic.bytes_received
        return LeaderSample(usage.processor_s, usage.resident_bytes, traffic_bytes)

    def _client(self) -> ControlClient:
        client = ControlClient(self.deployment.control_members, message_codec(), self.secret)
        self.clients.append(client)
        return client


def _announce(number: int) -> Announce:
    record = AgentRecord(
        agent_id=f"agent-{number}",
        incarnation=secrets.token_hex(8),
        host="127.0.0.1",
        port=20_000 + number,
        data_centre="centre-a",
        service="bookings",
        slots=8,
    )
    return Announce(agent=record)


async def measure_control() -> ControlSlopes:
    """Runs the measurement on three control processes and kills them afterwards."""
    with tempfile.TemporaryDirectory(prefix="cicadatray-") as folder:
        measurement = ControlMeasurement(Path(folder))
        try:
            return await measurement.run()
        finally:
            measurement.deployment.kill()
