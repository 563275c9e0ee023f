"""The leader's loop: takes decisions of the scheduler and has them carried out."""

import asyncio

import structlog

from cicadatray.internal.control.errors import LeadershipLostError
from cicadatray.internal.control.gang_driver import GangDriver
from cicadatray.internal.control.job_entry import JobEntry
from cicadatray.internal.control.key_expiry import KeyExpiry
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.control.leases import LEASE_END_S
from cicadatray.internal.wire.messages.job_messages import FailWaitingJob, JobView, PlaceGang
from cicadatray.scheduling.decision import Decision, FailJob, MoveJob, PlaceJob, ReclaimJob
from cicadatray.scheduling.gang_outcome import GangOutcome

DECISION_INTERVAL_S = 0.25
SYNC_INTERVAL_S = 0.5

log = structlog.get_logger(__name__)


class SchedulingLoop:
    """Owns the gang drivers of one leader session."""

    __slots__ = (
        "available",
        "configuration_version",
        "drivers",
        "expiry",
        "next_sync_s",
        "session",
        "synced_version",
        "tasks",
    )

    def __init__(self, session: LeaderSession) -> None:
        self.session = session
        self.drivers: dict[str, GangDriver] = {}
        self.tasks: asyncio.TaskGroup | None = None
        self.available: set[str] = set()
        self.expiry = KeyExpiry(session)
        self.next_sync_s = 0.0
        self.synced_version = -1
        self.configuration_version = session.state.configuration.version

    async def run(self) -> None:
        """Runs until leadership is lost.

        Raises:
            LeadershipLostError: as soon as one command could not be committed.
        """
        try:
            async with asyncio.TaskGroup() as tasks:
                self.tasks = tasks
                self._lose_all_workers()
                self._resume_gangs()
                while True:
                    await self._decide_once()
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

    async def _decide_once(self) -> None:
        self._take_configuration()
        self._sync_workers()
        self._take_cancellations()
        self._move_from_leaving_workers()
        await self.expiry.expire_old_keys()
        self.session.directory.refresh_list(self.session.now_s())
        decisions = self.session.scheduler.decide(self.session.scheduling_time_s())
        await asyncio.gather(*(self._carry_out(decision) for decision in decisions))

    async def _carry_out(self, decision: Decision) -> None:
        entry = self.session.state.jobs.get(decision.job_id)
        log.info(
            "decision",
            decision=type(decision).__name__,
            job_id=decision.job_id,
            trace_id=entry.trace_id if entry is not None else "",
        )
        if isinstance(decision, PlaceJob):
            await self._place(decision)
        elif isinstance(decision, ReclaimJob):
            reason = f"reclaimed for {decision.beneficiary_id}"
            self._stop_gang(decision.job_id, GangOutcome.CHECKPOINTED, reason)
        elif isinstance(decision, MoveJob):
            self._stop_gang(decision.job_id, GangOutcome.CHECKPOINTED, "moved")
        elif isinstance(decision, FailJob):
            await self._fail(decision)

    async def _place(self, decision: PlaceJob) -> None:
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
        self._drive(entry)

    async def _fail(self, decision: FailJob) -> None:
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

    def _drive(self, entry: JobEntry) -> None:
        assert self.tasks is not None
        driver = GangDriver(self.session, entry)
        job_id = entry.request.job_id
        self.drivers[job_id] = driver
        task = self.tasks.create_task(driver.run())
        task.add_done_callback(lambda _: self._forget(job_id, driver))

    def _forget(self, job_id: str, driver: GangDriver) -> None:
        if self.drivers.get(job_id) is driver:
            del self.drivers[job_id]

    def _resume_gangs(self) -> None:
        for entry in list(self.session.state.jobs.values()):
            if entry.gang is not None:
                self._drive(entry)

    def _take_cancellations(self) -> None:
        for job_id, driver in self.drivers.items():
            entry = self.session.state.jobs.get(job_id)
            gang = entry.gang if entry else None
            if gang is not None and gang.outcome is GangOutcome.CANCELLED:
                driver.request_stop(GangOutcome.CANCELLED, "cancelled by its caller")

    def _move_from_leaving_workers(self) -> None:
        """Checkpoints and requeues jobs whose worker's agent is stopping as planned."""
        for driver in self.drivers.values():
            gang = driver.entry.gang
            if gang is None or not driver.entry.request.checkpointable:
                continue
            workers = [share.worker_id for share in gang.placement.shares]
            if any(self._is_leaving(worker_id) for worker_id in workers):
                driver.request_stop(GangOutcome.CHECKPOINTED, "a worker is leaving")

    def _is_leaving(self, worker_id: str) -> bool:
        agent = self.session.directory.by_worker.get(worker_id)
        return agent is not None and agent.record.draining

    def _take_configuration(self) -> None:
        configuration = self.session.state.configuration
        if configuration.version == self.configuration_version:
            return
        self.configuration_version = configuration.version
        now_s = self.session.scheduling_time_s()
        self.session.scheduler.replace_configuration(
            configuration.inventory, configuration.rules, now_s
        )
        self._lose_all_workers()

    def _lose_all_workers(self) -> None:
        """Makes `_sync_workers` report each worker anew."""
        now_s = self.session.scheduling_time_s()
        holding = self._workers_with_gangs()
        self.available = set()
        for worker in self.session.state.configuration.inventory.workers:
            if self._is_alive(worker.worker_id, holding):
                self.available.add(worker.worker_id)
            else:
                self.session.scheduler.worker_lost(worker.worker_id, now_s)

    def _sync_workers(self) -> None:
        """Tells the scheduler which workers came and went.

        Looks at the whole fleet, so it runs at most twice a second while no agent comes or goes.
        """
        directory_version = self.session.directory.version
        is_due = self.session.now_s() >= self.next_sync_s
        if not is_due and directory_version == self.synced_version:
            return
        self.synced_version = directory_version
        self.next_sync_s = self.session.now_s() + SYNC_INTERVAL_S
        now_s = self.session.scheduling_time_s()
        holding = self._workers_with_gangs()
        for worker in self.session.state.configuration.inventory.workers:
            worker_id = worker.worker_id
            alive = self._is_alive(worker_id, holding)
            if alive and worker_id not in self.available:
                self.available.add(worker_id)
                self.session.scheduler.worker_returned(worker_id, now_s)
            elif not alive and worker_id in self.available:
                self.available.discard(worker_id)
                self.session.scheduler.worker_lost(worker_id, now_s)

    def _is_alive(self, worker_id: str, holding: set[str]) -> bool:
        agent = self.session.directory.by_worker.get(worker_id)
        now_s = self.session.now_s()
        if agent is None:
            return worker_id in holding and now_s - self.session.started_s < LEASE_END_S
        return not agent.lease_is_over(now_s) and not agent.record.draining

    def _workers_with_gangs(self) -> set[str]:
        return {
            share.worker_id
            for driver in self.drivers.values()
            for share in (driver.entry.gang.placement.shares if driver.entry.gang else ())
        }
