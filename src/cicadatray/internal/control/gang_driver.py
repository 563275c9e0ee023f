"""Drives one gang from its placement to the release of its capacity."""

import asyncio

import structlog

from cicadatray.internal.control.agent_session import AgentSession
from cicadatray.internal.control.errors import LeadershipLostError
from cicadatray.internal.control.job_entry import JobEntry
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.control.leases import ANNOUNCE_INTERVAL_S, LEASE_EXPIRY_S
from cicadatray.internal.observability.standard_metrics import reclaim_seconds
from cicadatray.internal.observability.trace import bind_trace_id
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.job_messages import (
    JobState,
    JobView,
    ReleaseGang,
    StartGang,
    StopGang,
)
from cicadatray.internal.wire.messages.task_messages import (
    CheckpointTask,
    PrepareTask,
    StartTask,
    StopTask,
    TaskAccepted,
)
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.placement import WorkerShare

PREPARE_TIMEOUT_S = 1.0
START_TIMEOUT_S = 2.0
CHECKPOINT_TIMEOUT_S = 1.5
STOP_TIMEOUT_S = 0.5
ORDER_RETRY_S = 0.2
# The agent may have sent its report before it received the task, so a missing report counts as a
# lost task only after this time.
REPORT_GRACE_S = 2 * ANNOUNCE_INTERVAL_S + 1.0
EVACUATED_REASON = "its data centre is evacuated"

log = structlog.get_logger(__name__)


class GangDriver:
    """Prepares, starts, monitors and stops one gang; the leader runs one driver for each gang."""

    __slots__ = (
        "changed",
        "entry",
        "epoch",
        "incarnations",
        "outcome",
        "reason",
        "session",
        "task_failed",
    )

    def __init__(self, session: LeaderSession, entry: JobEntry) -> None:
        self.session = session
        self.entry = entry
        self.epoch = entry.epoch
        self.changed = asyncio.Event()
        self.incarnations: dict[str, str] = {}
        self.outcome: GangOutcome | None = entry.gang.outcome if entry.gang else None
        self.reason = entry.reason
        self.task_failed = False

    def request_stop(self, outcome: GangOutcome, reason: str) -> None:
        """Requests that the gang be stopped; later requests do not replace the first one."""
        if self.outcome is None:
            self.outcome = outcome
            self.reason = reason
        self.changed.set()

    async def run(self) -> None:
        """Runs the gang until its capacity has been released.

        Raises:
            LeadershipLostError: the new leader continues the gang from the replicated state.
        """
        if self.entry.trace_id:
            bind_trace_id(self.entry.trace_id)
        if self.entry.state is JobState.STARTING:
            await self._start()
        elif self.entry.state is JobState.RUNNING:
            await self._start_tasks()
        if self.outcome is None:
            await self._monitor_members()
        await self._stop_and_release()

    async def _start(self) -> None:
        if not await self._prepare():
            self.request_stop(GangOutcome.STOPPED, self.reason or "a member could not prepare")
        if self._is_evacuated():
            self.request_stop(GangOutcome.STOPPED, EVACUATED_REASON)
        if self.outcome is not None:
            return
        reply = await self.session.propose(StartGang(job_id=self._job_id(), epoch=self.epoch))
        if not isinstance(reply, JobView):
            self.request_stop(GangOutcome.STOPPED, "the start was not accepted")
            return
        await self._start_tasks()

    async def _prepare(self) -> bool:
        replies = await asyncio.gather(*(self._prepare_member(s) for s in self._shares()))
        return all(replies)

    async def _prepare_member(self, share: WorkerShare) -> bool:
        order = PrepareTask(
            job_id=self._job_id(),
            epoch=self.epoch,
            term=self.session.term,
            accelerators=share.accelerators,
            payload=self.entry.payload,
            trace_id=self.entry.trace_id,
        )
        reply = await self._send_order(share.worker_id, order, PREPARE_TIMEOUT_S)
        if isinstance(reply, TaskAccepted):
            return True
        self.reason = f"worker {share.worker_id} could not prepare"
        log.info(
            "task preparation failed", job_id=self._job_id(), worker_id=share.worker_id, reply=reply
        )
        return False

    async def _start_tasks(self) -> None:
        order = StartTask(job_id=self._job_id(), epoch=self.epoch, term=self.session.term)
        replies = await asyncio.gather(*(self._start_member(s, order) for s in self._shares()))
        if all(replies):
            self._record_start()
        elif self._is_evacuated():
            self.request_stop(GangOutcome.STOPPED, EVACUATED_REASON)
        else:
            self.request_stop(GangOutcome.WORKER_LOST, "a member could not start")

    def _record_start(self) -> None:
        now_s = self.session.scheduling_time_s()
        self.session.scheduler.gang_started(self._job_id(), now_s)
        if self.entry.request.urgent and self.entry.epoch == 1:
            waited_s = now_s - self.entry.request.submitted_s
            reclaim_seconds(self.session.metrics).observe(waited_s)

    async def _start_member(self, share: WorkerShare, order: StartTask) -> bool:
        deadline_s = self.session.now_s() + START_TIMEOUT_S
        while self.session.now_s() < deadline_s and not self._is_evacuated():
            reply = await self._send_order(share.worker_id, order, START_TIMEOUT_S)
            if isinstance(reply, TaskAccepted):
                return True
            await asyncio.sleep(ORDER_RETRY_S)
        return self._is_evacuated() and await self._has_started(share)

    async def _has_started(self, share: WorkerShare) -> bool:
        """Returns whether the agent reports that the task has started without a further order."""
        waits_since_s = self.session.now_s()
        while (state := self._member_state(share, waits_since_s)) == "silent":
            await asyncio.sleep(ORDER_RETRY_S)
        if state not in ("lost", "prepared"):
            return True
        run = self._job_id()
        log.info("start withheld", run=run, worker=share.worker_id, reason=EVACUATED_REASON)
        return False

    async def _monitor_members(self) -> None:
        """Waits until all tasks have finished, one failed or was lost, or a stop is requested."""
        monitor_started_s = self.session.now_s()
        while self.outcome is None:
            states = [self._member_state(s, monitor_started_s) for s in self._shares()]
            if all(state == "finished" for state in states):
                self.request_stop(GangOutcome.COMPLETED, "")
            elif "failed" in states:
                self._report_failures(states)
                self.request_stop(GangOutcome.STOPPED, "a task failed")
            elif "lost" in states:
                self.request_stop(GangOutcome.WORKER_LOST, "a worker was lost")
            else:
                await self._wait_for_change(ANNOUNCE_INTERVAL_S)

    def _member_state(self, share: WorkerShare, monitor_started_s: float) -> str:
        agent = self._find_agent(share.worker_id)
        now_s = self.session.now_s()
        if agent is None:
            unknown_for_s = now_s - self.session.started_s
            return "lost" if unknown_for_s > LEASE_EXPIRY_S else "silent"
        if agent.is_lease_expired(now_s):
            return "lost"
        first_incarnation = self.incarnations.setdefault(share.worker_id, agent.record.incarnation)
        if agent.record.incarnation != first_incarnation:
            return "lost"
        report = agent.find_report(self._job_id(), self.epoch)
        if report is not None:
            return report.state
        return "lost" if agent.last_contact_s > monitor_started_s + REPORT_GRACE_S else "silent"

    def _report_failures(self, states: list[str]) -> None:
        now_s = self.session.scheduling_time_s()
        self.task_failed = True
        for share, state in zip(self._shares(), states, strict=True):
            if state == "failed":
                self.session.scheduler.task_failed(self._job_id(), share.worker_id, now_s)

    async def _stop_and_release(self) -> None:
        outcome = self.outcome or GangOutcome.STOPPED
        if outcome is GangOutcome.COMPLETED:
            await self._clear_finished_tasks()
        else:
            outcome = await self._stop(outcome)
        release = ReleaseGang(
            job_id=self._job_id(), epoch=self.epoch, outcome=outcome, reason=self.reason
        )
        reply = await self.session.propose(release)
        self._notify_scheduler(reply, outcome)

    async def _clear_finished_tasks(self) -> None:
        """Orders agents to drop finished tasks.

        For an agent that misses the order, the reply to its next announcement has the same effect.
        """
        order = StopTask(job_id=self._job_id(), epoch=self.epoch, term=self.session.term)
        await asyncio.gather(
            *(self._send_order(s.worker_id, order, STOP_TIMEOUT_S) for s in self._shares())
        )

    async def _stop(self, outcome: GangOutcome) -> GangOutcome:
        """Stops all tasks of the gang and returns the outcome that took effect."""
        command = StopGang(
            job_id=self._job_id(), epoch=self.epoch, outcome=outcome, reason=self.reason
        )
        await self.session.propose(command)
        # After the commit no reply to an announcement renews the lease of these tasks.
        stop_committed_s = self.session.now_s()
        if outcome is GangOutcome.CHECKPOINTED and not await self._checkpoint():
            outcome = GangOutcome.STOPPED
        await asyncio.gather(*(self._stop_member(s, stop_committed_s) for s in self._shares()))
        return outcome

    def _notify_scheduler(self, reply: MessageStruct, outcome: GangOutcome) -> None:
        if isinstance(reply, JobView) and reply.state is JobState.CANCELLED:
            outcome = GangOutcome.CANCELLED
        elif self.task_failed:
            # The scheduler counts the failure and decides whether the job is retried.
            outcome = GangOutcome.FAILED
        now_s = self.session.scheduling_time_s()
        self.session.scheduler.gang_released(self._job_id(), now_s, outcome)
        self.session.wake.set()

    async def _checkpoint(self) -> bool:
        order = CheckpointTask(job_id=self._job_id(), epoch=self.epoch, term=self.session.term)
        replies = await asyncio.gather(
            *(self._send_order(s.worker_id, order, CHECKPOINT_TIMEOUT_S) for s in self._shares())
        )
        return all(isinstance(reply, TaskAccepted) for reply in replies)

    async def _stop_member(self, share: WorkerShare, stop_committed_s: float) -> None:
        """Waits until the task has stopped or its lease has expired."""
        order = StopTask(job_id=self._job_id(), epoch=self.epoch, term=self.session.term)
        while not self._is_lease_expired(share.worker_id, stop_committed_s):
            reply = await self._send_order(share.worker_id, order, STOP_TIMEOUT_S)
            if isinstance(reply, TaskAccepted):
                return
            await asyncio.sleep(ORDER_RETRY_S)

    def _is_lease_expired(self, worker_id: str, stop_committed_s: float) -> bool:
        now_s = self.session.now_s()
        if now_s - stop_committed_s > LEASE_EXPIRY_S:
            return True
        agent = self._find_agent(worker_id)
        return agent is not None and agent.is_lease_expired(now_s)

    async def _send_order(
        self, worker_id: str, order: MessageStruct, timeout_s: float
    ) -> MessageStruct | None:
        agent = self._find_agent(worker_id)
        if agent is None:
            return None
        return await self.session.links.call(agent.record, order, timeout_s)

    async def _wait_for_change(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()
        except TimeoutError:
            return
        self.changed.clear()

    def _find_agent(self, worker_id: str) -> AgentSession | None:
        return self.session.directory.by_worker.get(worker_id)

    def _shares(self) -> tuple[WorkerShare, ...]:
        gang = self.entry.gang
        if gang is None or gang.epoch != self.epoch:
            # A deposed leader continues to apply what its successor commits.
            raise LeadershipLostError("another leader has released the gang")
        return gang.placement.shares

    def _is_evacuated(self) -> bool:
        return any(self.session.scheduler.is_evacuated(s.worker_id) for s in self._shares())

    def _job_id(self) -> str:
        return self.entry.request.job_id
