"""Cost of one request in an entry, an agent and the control leader, with real processes."""

import asyncio
import secrets
import tempfile
from pathlib import Path

import msgspec

from cicadatray.internal.bench.capacity_runs.process_usage import read_usage
from cicadatray.internal.bench.deployment.caller import Caller
from cicadatray.internal.bench.deployment.deployment_plan import DeploymentPlan
from cicadatray.internal.bench.deployment.local_deployment import LocalDeployment
from cicadatray.internal.bench.deployment.operator import Operator
from cicadatray.internal.bench.request_load import RequestLoad

REQUEST_COUNT = 1_000
IDLE_S = 10.0
MS_PER_S = 1000.0


class RoleUsage(msgspec.Struct, frozen=True):
    """Usage of one process; `request_ms` is processor time for each request sent to the system."""

    resident_mb: float
    idle_processor_share: float
    request_ms: float


class RequestSlopes(msgspec.Struct, frozen=True):
    """Usage of one process of each role; half of the requests are non-idempotent."""

    entry: RoleUsage
    endpoint_agent: RoleUsage
    worker_agent: RoleUsage
    control: RoleUsage


async def measure_requests() -> RequestSlopes:
    """Measures a complete deployment with one entry and one endpoint."""
    with tempfile.TemporaryDirectory(prefix="cicadatray-") as folder:
        plan = DeploymentPlan(entries=1, endpoints=1, workers=1, slots=8, racks=1)
        deployment = LocalDeployment(Path(folder), plan)
        try:
            deployment.start()
            return await _measure(deployment)
        finally:
            await asyncio.to_thread(deployment.kill)


async def _measure(deployment: LocalDeployment) -> RequestSlopes:
    operator = Operator(deployment)
    await operator.wait_until_ready()
    credential = secrets.token_hex(16)
    await operator.wait_until_in_effect(await operator.set_accounts({"account": credential}))
    names = ("entry-0", "agent-e0", "agent-w0", await operator.leader_name())
    initial_s = [_processor_s(deployment, name) for name in names]
    await asyncio.sleep(IDLE_S)
    idle_end_s = [_processor_s(deployment, name) for name in names]
    caller = Caller(deployment.entry_urls(), credential)
    load = RequestLoad(caller, deployment.plan.service, "capacity", deployment.plan.slots)
    load_started_s = asyncio.get_running_loop().time()
    await load.run(REQUEST_COUNT, 0.0)
    elapsed_s = asyncio.get_running_loop().time() - load_started_s
    usages = []
    for position, name in enumerate(names):
        idle_share = (idle_end_s[position] - initial_s[position]) / IDLE_S
        used_s = _processor_s(deployment, name) - idle_end_s[position] - idle_share * elapsed_s
        resident_mb = _resident_mb(deployment, name)
        usages.append(RoleUsage(resident_mb, idle_share, used_s / REQUEST_COUNT * MS_PER_S))
    return RequestSlopes(*usages)


def _processor_s(deployment: LocalDeployment, name: str) -> float:
    process = deployment.handles[name].process
    assert process is not None
    return read_usage(process.pid).processor_s


def _resident_mb(deployment: LocalDeployment, name: str) -> float:
    process = deployment.handles[name].process
    assert process is not None
    return round(read_usage(process.pid).resident_bytes / 1e6, 1)
