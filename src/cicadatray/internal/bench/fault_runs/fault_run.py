"""A deployment under load, and the faults that can be injected into it."""

import asyncio
import secrets
import shutil
import signal
from pathlib import Path

from cicadatray.internal.bench.deployment.caller import Caller
from cicadatray.internal.bench.deployment.deployment_plan import DeploymentPlan
from cicadatray.internal.bench.deployment.local_deployment import LocalDeployment
from cicadatray.internal.bench.deployment.operator import Operator
from cicadatray.internal.bench.fault_runs.version_watch import VersionWatch
from cicadatray.internal.bench.job_load import JobLoad, SubmittedJob
from cicadatray.internal.bench.request_load import RequestLoad
from cicadatray.internal.settings.common import Address
from cicadatray.internal.standins.forwarder import Forwarder
from cicadatray.scheduling.rules import Guarantee, Rules
from cicadatray.scheduling.shape import Scope, Shape

ACCOUNT = "acueducto"
REQUEST_CONCURRENCY = 8
REQUEST_WORK_S = 0.1
REQUEST_COUNT = 300
JOB_COUNT = 4
JOB_RUN_S = 4.0
JOB_TIMEOUT_S = 60.0
PROBE_TIMEOUT_S = 30.0
PROBE_PAUSE_S = 0.1


class FaultRun:
    """Runs a deployment under load; fault cases call its methods to inject faults."""

    __slots__ = (
        "deployment",
        "fault_at_s",
        "forwarders",
        "job_load",
        "leaving_at_s",
        "leaving_endpoint",
        "operator",
        "probes",
        "recovery_s",
        "request_load",
        "watch",
    )

    def __init__(self, folder: Path) -> None:
        self.deployment = LocalDeployment(folder, DeploymentPlan(forward_control=True))
        self.operator = Operator(self.deployment)
        urls = self.deployment.entry_urls()
        credential = secrets.token_hex(16)
        caller = Caller(urls, credential)
        service = self.deployment.plan.service
        self.request_load = RequestLoad(caller, service, "load", REQUEST_CONCURRENCY)
        self.probes = RequestLoad(caller, service, "probe", 1)
        self.job_load = JobLoad(caller)
        self.watch = VersionWatch(self.operator.caller, urls)
        self.forwarders: list[Forwarder] = []
        self.fault_at_s = 0.0
        self.recovery_s: float | None = None
        self.leaving_endpoint = ""
        self.leaving_at_s = 0.0

    async def set_up(self) -> None:
        """Starts the forwarders and all processes, and configures the deployment."""
        members = zip(
            self.deployment.control_members, self.deployment.listen_addresses, strict=True
        )
        for member, target in members:
            forwarder = Forwarder(Address(member.host, member.port), target)
            await forwarder.start()
            self.forwarders.append(forwarder)
        self.deployment.start()
        await self.operator.wait_until_ready()
        await self.operator.set_accounts({ACCOUNT: self.job_load.caller.credential})
        await self.operator.set_inventory()
        guarantee = Guarantee(ACCOUNT, Shape(8, Scope.WORKER))
        rules = Rules("compact", Shape(16, Scope.RACK), guarantees=(guarantee,))
        await self.operator.wait_until_in_effect(await self.operator.set_rules(rules))

    async def tear_down(self) -> dict[str, int]:
        """Stops all processes and forwarders, and returns the exit codes by process."""
        for forwarder in self.forwarders:
            forwarder.heal()
        exit_codes = await asyncio.to_thread(self.deployment.stop)
        for forwarder in self.forwarders:
            await forwarder.stop()
        return exit_codes

    async def run_load(self) -> None:
        """Sends all requests and runs all jobs to their end."""
        requests = self.request_load.run(REQUEST_COUNT, REQUEST_WORK_S)
        await asyncio.gather(requests, self._run_jobs())

    async def _run_jobs(self) -> None:
        jobs = []
        for number in range(JOB_COUNT):
            size, scope = (16, Scope.RACK) if number % 2 else (8, Scope.WORKER)
            jobs.append(await self.job_load.submit(f"job-{number}", size, scope, JOB_RUN_S))
        await asyncio.gather(*(self._wait_for_job(job) for job in jobs))

    async def _wait_for_job(self, job: SubmittedJob) -> None:
        await self.job_load.wait(job, JOB_TIMEOUT_S)

    def mark_fault(self) -> None:
        """Records the time of the fault, from which the recovery time is measured."""
        self.fault_at_s = asyncio.get_running_loop().time()

    async def measure_recovery(self) -> None:
        """Sends non-idempotent probes until one completes, and records the recovery time."""
        loop = asyncio.get_running_loop()
        number = len(self.probes.sent)
        while loop.time() < self.fault_at_s + PROBE_TIMEOUT_S:
            if await self.probes.send_probe(number):
                self.recovery_s = round(loop.time() - self.fault_at_s, 3)
                return
            number += 1
            await asyncio.sleep(PROBE_PAUSE_S)

    async def leader_name(self) -> str:
        """Returns the name of the control instance that leads."""
        return await self.operator.leader_name()

    async def kill(self, name: str) -> None:
        """Kills a process."""
        await asyncio.to_thread(self.deployment.handles[name].kill)

    async def stop(self, name: str) -> int:
        """Stops a process as planned and returns its exit code."""
        return await asyncio.to_thread(self.deployment.handles[name].stop)

    def mark_leaving(self, endpoint: str) -> None:
        """Records that the endpoint is leaving; it must start no work later than 3 s from now."""
        self.leaving_endpoint = endpoint
        self.leaving_at_s = asyncio.get_running_loop().time()

    def start(self, name: str) -> None:
        """Starts a process again."""
        self.deployment.handles[name].start()

    def freeze(self, name: str) -> None:
        """Suspends a process with SIGSTOP."""
        self.deployment.handles[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resumes a frozen process with SIGCONT."""
        self.deployment.handles[name].send_signal(signal.SIGCONT)

    def remove_data(self, control_name: str) -> None:
        """Removes the data folder of a control instance that is not running."""
        shutil.rmtree(self.deployment.folder / "data" / control_name)

    def isolate(self, control_name: str) -> None:
        """Cuts all connections to a control instance and from it to the others, without a reset."""
        index = self._control_index(control_name)
        source = self.deployment.listen_addresses[index].host
        for position, forwarder in enumerate(self.forwarders):
            if position == index:
                forwarder.cut()
            else:
                forwarder.cut(source)

    def heal(self) -> None:
        """Restores all connections that were cut."""
        for forwarder in self.forwarders:
            forwarder.heal()

    async def replace_member(self, control_name: str) -> None:
        """Adds a control instance with a new data folder and promotes it."""
        member = self.deployment.control_members[self._control_index(control_name)]
        await self.operator.change_member("add", member)
        await self.operator.change_member("promote", member)

    def followers(self, leader: str) -> list[str]:
        """Returns the names of the control instances that do not lead."""
        return [m.name for m in self.deployment.control_members if m.name != leader]

    def _control_index(self, control_name: str) -> int:
        return [m.name for m in self.deployment.control_members].index(control_name)
