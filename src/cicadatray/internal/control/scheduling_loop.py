"""The leader's loop that executes the decisions of the scheduler."""

import asyncio

import structlog

from cicadatray.internal.control.errors import LeadershipLostError
from cicadatray.internal.control.gang_driver import GangDriver
from cicadatray.internal.control.job_entry import JobEntry
from cicadatray.internal.control.key_expiry import KeyExpiry
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.control.leases import LEASE_EXPIRY_S
from cicadatray.internal.wire.messages.job_messages import (
    FailWaitingJob,
    JobState,
    JobView,
    PlaceGang,
)
from cicadatray.scheduling.decision import Decision, FailJob, MoveJob, PlaceJob, ReclaimJob
from cicadatray.scheduling.gang_outcome import GangOutcome

DECISION_INTERVAL_S = 0.25
SYNC_INTERVAL_S = 0.5

log = structlog.get_logger(__name__)


class SchedulingLoop:
    """Runs scheduling rounds and the gang drivers of one leader session."""

    __slots__ = (
        "available_workers",
        "configuration_version",
        "drivers",
        "key_expiry",
        "next_sync_s",
        "session",
        "synced_directory_version",
        "tasks",
    )

    def __init__(self, session: LeaderSession) -> None:
        self.session = session
        self.drivers: dict[str, GangDriver] = {}
        self.tasks: asyncio.TaskGroup | None = None
        self.available_workers: set[str] = set()
        self.key_expiry = KeyExpiry(session)
        self.next_sync_s = 0.0
        self.synced_directory_version = -1
        self.configuration_version = session.state.configuration.version

    async def run(self) -> None:
        """Runs until leadership is lost.

        Raises:
            LeadershipLostError: a command could not be committed.
        """
        try:
            async with asyncio.TaskGroup() as tasks:
                self.tasks = tasks
                await self._apply_earlier_placements()
                self._reset_worker_availability()
                self._resume_gangs()
                while True:
                    await self._run_round()
                    await self._wait()
        except* LeadershipLostError as errors:
            raise LeadershipLostError(str(errors.exceptions[0])) from None

    def notify(self) -> None:
        """Wakes the loop and every gang driver after an announcement or a command."""
        self.session.wake.set()
        for driver in self.drivers.values():
            driver.changed.set()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(DECISION_INTERVAL_S):
                await self.session.wake.wait()
        except TimeoutError:
            return
        self.session.wake.clear()

    async def _apply_earlier_placements(self) -> None:
        """Waits until no placement by an earlier session of this leader can commit any more.

        Nothing would start a gang that is placed after the drivers were created.
        """
        jobs = self.session.state.jobs.values()
        if any(entry.state is JobState.WAITING for entry in jobs):
            await self.session.apply_earlier_commands()
            self.session.rebuild_scheduler()

    async def _run_round(self) -> None:
        self._apply_configuration()
        self._sync_workers()
        self._stop_cancelled_gangs()
        self._evacuate_draining_workers()
        await self.key_expiry.expire_old_keys()
        self.session.directory.refresh_listed_agents(self.session.now_s())
        decisions = self.session.scheduler.decide(self.session.scheduling_time_s())
        await asyncio.gather(*(self._execute(decision) for decision in decisions))

    async def _execute(self, decision: Decision) -> None:
        entry = self.session.state.jobs.get(decision.job_id)
        log.info(
            "decision",
            decision=type(decision).__name__,
            job_id=decision.job_id,
            trace_id=entry.trace_id if entry is not None else "",
        )
        if isinstance(decision, PlaceJob):
            await self._place_gang(decision)
        elif isinstance(decision, ReclaimJob):
            reason = f"reclaimed for {decision.beneficiary_id}"
            self._stop_gang(decision.job_id, GangOutcome.CHECKPOINTED, reason)
        elif isinstance(decision, MoveJob):
            self._stop_gang(decision.job_id, GangOutcome.CHECKPOINTED, "moved")
        elif isinstance(decision, FailJob):
            await self._fail_job(decision)

    async def _place_gang(self, decision: PlaceJob) -> None:
        entry = self.session.state.jobs.get(decision.job_id)
        command = PlaceGang(
            job_id=decision.job_id,
            epoch=entry.epoch + 1 if entry else 1,
            placement=decision.placement,
        )
        reply = await self.session.propose(command)
        if entry is None or not isinstance(reply, JobView):
            now_s = self.session.scheduling_time_s()
            self.session.scheduler.gang_released(decision.job_id, now_s, GangOutcome.CANCELLED)
            return
        self._start_driver(entry)

    async def _fail_job(self, decision: FailJob) -> None:
        if decision.job_id in self.drivers:
            self._stop_gang(decision.job_id, GangOutcome.FAILED, decision.reason)
        else:
            await self.session.propose(
                FailWaitingJob(job_id=decision.job_id, reason=decision.reason)
            )

    def _stop_gang(self, job_id: str, outcome: GangOutcome, reason: str) -> None:
        driver = self.drivers.get(job_id)
        if driver is not None:
            driver.request_stop(outcome, reason)

    def _start_driver(self, entry: JobEntry) -> None:
        assert self.tasks is not None
        driver = GangDriver(self.session, entry)
        job_id = entry.request.job_id
        self.drivers[job_id] = driver
        task = self.tasks.create_task(driver.run())
        task.add_done_callback(lambda _: self._remove_driver(job_id, driver))

    def _remove_driver(self, job_id: str, driver: GangDriver) -> None:
        if self.drivers.get(job_id) is driver:
            del self.drivers[job_id]

    def _resume_gangs(self) -> None:
        for entry in list(self.session.state.jobs.values()):
            if entry.gang is not None:
                self._start_driver(entry)

    def _stop_cancelled_gangs(self) -> None:
        for job_id, driver in self.drivers.items():
            entry = self.session.state.jobs.get(job_id)
            gang = entry.gang if entry else None
            if gang is not None and gang.outcome is GangOutcome.CANCELLED:
                driver.request_stop(GangOutcome.CANCELLED, "cancelled by its caller")

    def _evacuate_draining_workers(self) -> None:
        """Checkpoints and requeues the jobs on workers whose agent is draining."""
        for driver in self.drivers.values():
            gang = driver.entry.gang
            if gang is None or not driver.entry.request.checkpointable:
                continue
            workers = [share.worker_id for share in gang.placement.shares]
            if any(self._is_draining(worker_id) for worker_id in workers):
                driver.request_stop(GangOutcome.CHECKPOINTED, "a worker is leaving")

    def _is_draining(self, worker_id: str) -> bool:
        agent = self.session.directory.by_worker.get(worker_id)
        return agent is not None and agent.record.draining

    def _apply_configuration(self) -> None:
        configuration = self.session.state.configuration
        if configuration.version == self.configuration_version:
            return
        self.configuration_version = configuration.version
        now_s = self.session.scheduling_time_s()
        self.session.scheduler.replace_configuration(
            configuration.inventory, configuration.rules, now_s
        )
        self._reset_worker_availability()

    def _reset_worker_availability(self) -> None:
        """Rebuilds the set of available workers and reports all other workers as lost."""
        now_s = self.session.scheduling_time_s()
        workers_with_gangs = self._workers_with_gangs()
        self.available_workers = set()
        for worker in self.session.state.configuration.inventory.workers:
            if self._is_available(worker.worker_id, workers_with_gangs):
                self.available_workers.add(worker.worker_id)
            else:
                self.session.scheduler.worker_lost(worker.worker_id, now_s)

    def _sync_workers(self) -> None:
        """Reports to the scheduler which workers were lost and which have returned.

        This iterates over the whole fleet, so it runs at most twice a second while the directory of
        agents does not change.
        """
        directory_version = self.session.directory.version
        is_due = self.session.now_s() >= self.next_sync_s
        if not is_due and directory_version == self.synced_directory_version:
            return
        self.synced_directory_version = directory_version
        self.next_sync_s = self.session.now_s() + SYNC_INTERVAL_S
        now_s = self.session.scheduling_time_s()
        workers_with_gangs = self._workers_with_gangs()
        for worker in self.session.state.configuration.inventory.workers:
            worker_id = worker.worker_id
            is_available = self._is_available(worker_id, workers_with_gangs)
            if is_available and worker_id not in self.available_workers:
                self.available_workers.add(worker_id)
                self.session.scheduler.worker_returned(worker_id, now_s)
            elif not is_available and worker_id in self.available_workers:
                self.available_workers.discard(worker_id)
                self.session.scheduler.worker_lost(worker_id, now_s)

    def _is_available(self, worker_id: str, workers_with_gangs: set[str]) -> bool:
        agent = self.session.directory.by_worker.get(worker_id)
        now_s = self.session.now_s()
        if agent is None:
            return (
                worker_id in workers_with_gangs and now_s - self.session.started_s < LEASE_EXPIRY_S
            )
        return not agent.is_lease_expired(now_s) and not agent.record.draining

    def _workers_with_gangs(self) -> set[str]:
        return {
            share.worker_id
            for driver in self.drivers.values()
            for share in (driver.entry.gang.placement.shares if driver.entry.gang else ())
        }
