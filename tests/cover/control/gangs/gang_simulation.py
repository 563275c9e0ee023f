"""A simulated deployment of two control instances and several agents on a virtual clock."""

import asyncio
import random
import traceback
from collections.abc import Callable
from contextlib import ExitStack
from types import ModuleType, SimpleNamespace
from typing import Any
from unittest.mock import patch

from cicadatray.internal.agent import announcer, task_table
from cicadatray.internal.control import (
    control_daemon,
    gang_driver,
    leader_session,
    scheduling_loop,
)
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.configuration_messages import ChangeConfiguration
from cicadatray.internal.wire.messages.job_messages import (
    FINAL_JOB_STATES,
    CancelJob,
    JobState,
    SubmitJob,
)
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.shape import Scope, Shape
from cover.control.gangs.gang_checks import ELECTION_S, GangChecks
from cover.control.gangs.link_layer import LinkLayer
from cover.control.gangs.shared_log import SharedLog
from cover.control.gangs.simulated_agent import CONTROL_NAMES, SimulatedAgent
from cover.control.gangs.simulated_control import SimulatedControl
from cover.control.gangs.simulated_worker import SimulatedWorker, payload_of
from cover.replication.process_loop import ProcessLoop, end_other_tasks
from scheduling_helpers import inventory, rules

ACCELERATORS = 8
TICK_S = 0.1
ACCOUNT = "a"
LOGGING_MODULES: tuple[ModuleType, ...] = (
    announcer,
    control_daemon,
    gang_driver,
    scheduling_loop,
    task_table,
)


class GangSimulation:
    """Runs the processes of one deployment, injects faults, and checks the invariants of gangs."""

    __slots__ = (
        "agents",
        "checks",
        "controls",
        "layer",
        "log",
        "loop",
        "outage_s",
        "patches",
        "workers",
    )

    def __init__(self, seed: int, size: int) -> None:
        self.loop = ProcessLoop()
        asyncio.set_event_loop(self.loop)
        self.patches = ExitStack()
        self._patch_modules()
        self.outage_s = 0.0
        self.layer = LinkLayer(random.Random(seed))
        self.log = SharedLog(lambda: self.checks.check_capacity())
        fleet = inventory((ACCELERATORS,) * size)
        worker_ids = [record.worker_id for record in fleet.workers]
        self.workers = {worker_id: self._make_worker(worker_id) for worker_id in worker_ids}
        self.checks = GangChecks(self.log, self.workers)
        self.controls = {
            name: self.in_loop(lambda name=name: SimulatedControl(name, self.log, self.layer))
            for name in CONTROL_NAMES
        }
        for replaced, document in enumerate(({"inventory": fleet}, {"rules": rules()})):
            change = ChangeConfiguration(
                operation_id=str(replaced), operator="o", replaces_version=replaced, **document
            )
            self.log.commit(self.log.state.encode_command(change))
        self.log.elect(CONTROL_NAMES[0])
        self.agents = [
            self.in_loop(lambda n=n, w=w: SimulatedAgent(f"a{n}", w, self.layer))
            for n, w in enumerate(self.workers.values(), 1)
        ]

    def close(self) -> None:
        """Ends all tasks and closes the event loop."""
        processes = [c.process for c in self.controls.values()]
        for agent in self.agents:
            processes += [agent.process, *agent.ended]
        for process in processes:
            process.thaw()
        self.loop.run_until_complete(end_other_tasks())
        self.loop.close()
        asyncio.set_event_loop(None)
        self.patches.close()

    def in_loop(self, make: Callable[[], Any]) -> Any:
        """Calls a function inside the event loop and returns its result."""

        async def main() -> Any:
            return make()

        return self.loop.run_until_complete(main())

    def advance(self, duration_s: float) -> None:
        """Lets `duration_s` pass and checks the invariants after every tick."""
        end_s = self.loop.time() + duration_s
        while self.loop.time() < end_s and not self.checks.violations:
            self.loop.run_until_complete(asyncio.sleep(TICK_S))
            self._replace_unreachable_leader()
            self.checks.check_capacity()
            self.checks.check_partial(self.loop.time())
        assert not self.checks.violations, self.checks.violations

    def call(self, message: MessageStruct) -> None:
        """Sends a call to the leader without waiting for the reply."""
        leader = self.leader

        async def run() -> None:
            await leader.answer(message)

        self.layer.spawn(leader.process, run)

    def submit(self, job_id: str, accelerators: int, run_s: float) -> None:
        """Submits a checkpointable job."""
        shape = Shape(accelerators, Scope.RACK)
        request = JobRequest(job_id, ACCOUNT, shape, run_s, True, False, 0.0)
        self.call(SubmitJob(request=request, payload=payload_of(run_s), digest=b""))

    def cancel(self, job_id: str) -> None:
        """Cancels a job."""
        self.call(CancelJob(job_id=job_id, client_account=ACCOUNT))

    @property
    def leader(self) -> SimulatedControl:
        """The instance whose proposals the log accepts."""
        leader: SimulatedControl = self.controls[self.log.leader]
        return leader

    def change_leader(self) -> None:
        """Elects the other instance if it is reachable."""
        other = next(name for name in CONTROL_NAMES if name != self.log.leader)
        if self.log.is_reachable(other):
            self.checks.leaderless_s += max(0.0, self.outage_s - ELECTION_S)
            self.outage_s = 0.0
            self.log.elect(other)

    def thaw_control(self, control: SimulatedControl) -> None:
        """Resumes an instance, which acts on its old state until it receives the log."""
        control.process.thaw()
        self.log.after_round_trip(self.log.update_members)

    def restart_agent(self, agent: SimulatedAgent) -> None:
        """Crashes an agent and starts its next incarnation."""
        agent.crash()
        self.in_loop(agent.start)

    def heal(self) -> None:
        """Ends every fault and restarts agents that have crashed or drain."""
        self.layer.has_random_faults = False
        self.layer.cuts.clear()
        self.log.cut_members.clear()
        for control in self.controls.values():
            self.thaw_control(control)
        for agent in self.agents:
            if not agent.is_running or agent.table.draining:
                self.restart_agent(agent)
            agent.process.thaw()

    def unsettled_jobs(self) -> list[str]:
        """Describes the jobs that have not ended and do not run completely."""
        return [
            f"{job_id} {entry.state.value} {entry.epoch} {entry.reason}"
            for job_id, entry in self.log.state.jobs.items()
            if entry.state not in FINAL_JOB_STATES
            and not (entry.state is JobState.RUNNING and self.checks.runs_completely(job_id))
        ]

    def _replace_unreachable_leader(self) -> None:
        if self.log.is_reachable(self.log.leader):
            self.checks.leaderless_s += self.outage_s
            self.outage_s = 0.0
            return
        self.outage_s += TICK_S
        if self.outage_s >= ELECTION_S:
            self.change_leader()

    def _make_worker(self, worker_id: str) -> SimulatedWorker:
        return SimulatedWorker(
            worker_id,
            ACCELERATORS,
            lambda job_id, epoch: self.checks.check_start(worker_id, (job_id, epoch)),
            lambda: self.checks.check_capacity(),
        )

    def _patch_modules(self) -> None:
        """Makes the scheduler's time reproducible, and unexpected exceptions violations."""

        def ignore(*_: object, **__: object) -> None:
            return None

        def report(event: str, **_: object) -> None:
            self.checks.violations.append(f"{event}: {traceback.format_exc()}")

        quiet = SimpleNamespace(info=ignore, warning=ignore, exception=report)
        for module in LOGGING_MODULES:
            self.patches.enter_context(patch.object(module, "log", quiet))
        clock = SimpleNamespace(time=self.loop.time)
        self.patches.enter_context(patch.object(leader_session, "time", clock))
