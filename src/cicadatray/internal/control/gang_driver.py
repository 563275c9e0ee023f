"""Carries one gang from its placement to its release."""

import asyncio

import structlog

from cicadatray.internal.control.agent_session import AgentSession
from cicadatray.internal.control.errors import LeadershipLostError
from cicadatray.internal.control.job_entry import JobEntry
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.control.leases import ANNOUNCE_INTERVAL_S, LEASE_END_S
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
CHECKPOINT_BOUND_S = 1.5
STOP_TIMEOUT_S = 0.5
STOP_RETRY_S = 0.2
# A report may have been sent before the task was known, so its absence counts only after this.
REPORT_GRACE_S = 2 * ANNOUNCE_INTERVAL_S + 1.0

log = structlog.get_logger(__name__)


class GangDriver:
    """Runs as one task for each gang, on the leader only."""

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
        """Asks for the gang to be stopped; the first request stays."""
        if self.outcome is None:
            self.outcome = outcome
            self.reason = reason
        self.changed.set()

    async def run(self) -> None:
        """Drives the gang to its release.

        Raises:
            LeadershipLostError: the new leader goes on from the replicated state.
        """
        if self.entry.trace_id:
            bind_trace_id(self.entry.trace_id)
        if self.entry.state is JobState.STARTING:
            await self._start()
        elif self.entry.state is JobState.RUNNING:
            await self._start_tasks()
        if self.outcome is None:
            await self._watch()
        await self._end()

    async def _start(self) -> None:
        if not await self._prepare():
            self.request_stop(GangOutcome.STOPPED, self.reason or "a member could not prepare")
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
        reply = await self._order(share.worker_id, order, PREPARE_TIMEOUT_S)
        if isinstance(reply, TaskAccepted):
            return True
        self.reason = f"worker {share.worker_id} could not prepare"
        log.info("prepare refused", job_id=self._job_id(), worker_id=share.worker_id, reply=reply)
        return False

    async def _start_tasks(self) -> None:
        order = StartTask(job_id=self._job_id(), epoch=self.epoch, term=self.session.term)
        replies = await asyncio.gather(*(self._start_member(s, order) for s in self._shares()))
        if all(replies):
            self._record_start()
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
        while self.session.now_s() < deadline_s:
            reply = await self._order(share.worker_id, order, START_TIMEOUT_S)
            if isinstance(reply, TaskAccepted):
                return True
            await asyncio.sleep(STOP_RETRY_S)
        return False

    async def _watch(self) -> None:
        """Returns when all members have finished, one was lost or failed, or on a stop request."""
        watched_from_s = self.session.now_s()
        while self.outcome is None:
            states = [self._member_state(s, watched_from_s) for s in self._shares()]
            if all(state == "finished" for state in states):
                self.request_stop(GangOutcome.COMPLETED, "")
            elif "failed" in states:
                self._report_failures(states)
                self.request_stop(GangOutcome.STOPPED, "a task failed")
            elif "lost" in states:
                self.request_stop(GangOutcome.WORKER_LOST, "a worker was lost")
            else:
                await self._wait_for_change(ANNOUNCE_INTERVAL_S)

    def _member_state(self, share: WorkerShare, watched_from_s: float) -> str:
        agent = self._agent(share.worker_id)
        now_s = self.session.now_s()
        if agent is None:
            silent_s = now_s - self.session.started_s
            return "lost" if silent_s > LEASE_END_S else "silent"
        if agent.lease_is_over(now_s):
            return "lost"
        known = self.incarnations.setdefault(share.worker_id, agent.record.incarnation)
        if agent.record.incarnation != known:
            return "lost"
        report = agent.report_of(self._job_id(), self.epoch)
        if report is not None:
            return report.state
        return "lost" if agent.last_heard_s > watched_from_s + REPORT_GRACE_S else "silent"

    def _report_failures(self, states: list[str]) -> None:
        now_s = self.session.scheduling_time_s()
        self.task_failed = True
        for share, state in zip(self._shares(), states, strict=True):
            if state == "failed":
                self.session.scheduler.task_failed(self._job_id(), share.worker_id, now_s)

    async def _end(self) -> None:
        outcome = self.outcome or GangOutcome.STOPPED
        if outcome is GangOutcome.COMPLETED:
            await self._forget_tasks()
        else:
            outcome = await self._stop(outcome)
        release = ReleaseGang(
            job_id=self._job_id(), epoch=self.epoch, outcome=outcome, reason=self.reason
        )
        reply = await self.session.propose(release)
        self._tell_scheduler(reply, outcome)

    async def _forget_tasks(self) -> None:
        """Lets agents forget finished tasks. One that is missed learns it from its next reply."""
        order = StopTask(job_id=self._job_id(), epoch=self.epoch, term=self.session.term)
        await asyncio.gather(
            *(self._order(s.worker_id, order, STOP_TIMEOUT_S) for s in self._shares())
        )

    async def _stop(self, outcome: GangOutcome) -> GangOutcome:
        """Returns when no member runs any more, with the outcome that took effect."""
        command = StopGang(
            job_id=self._job_id(), epoch=self.epoch, outcome=outcome, reason=self.reason
        )
        await self.session.propose(command)
        # From here on no reply to an announcement renews the lease of these tasks.
        stopped_at_s = self.session.now_s()
        if outcome is GangOutcome.CHECKPOINTED and not await self._checkpoint():
            outcome = GangOutcome.STOPPED
        await asyncio.gather(*(self._stop_member(s, stopped_at_s) for s in self._shares()))
        return outcome

    def _tell_scheduler(self, reply: MessageStruct, outcome: GangOutcome) -> None:
        if isinstance(reply, JobView) and reply.state is JobState.CANCELLED:
            outcome = GangOutcome.CANCELLED
        elif self.task_failed:
            # The scheduler counts the failure and decides whether the job is tried again.
            outcome = GangOutcome.FAILED
        now_s = self.session.scheduling_time_s()
        self.session.scheduler.gang_released(self._job_id(), now_s, outcome)
        self.session.wake.set()

    async def _checkpoint(self) -> bool:
        order = CheckpointTask(job_id=self._job_id(), epoch=self.epoch, term=self.session.term)
        replies = await asyncio.gather(
            *(self._order(s.worker_id, order, CHECKPOINT_BOUND_S) for s in self._shares())
        )
        return all(isinstance(reply, TaskAccepted) for reply in replies)

    async def _stop_member(self, share: WorkerShare, stopped_at_s: float) -> None:
        """Returns when the task has stopped or its lease is over."""
        order = StopTask(job_id=self._job_id(), epoch=self.epoch, term=self.session.term)
        while not self._lease_is_over(share.worker_id, stopped_at_s):
            reply = await self._order(share.worker_id, order, STOP_TIMEOUT_S)
            if isinstance(reply, TaskAccepted):
                return
            await asyncio.sleep(STOP_RETRY_S)

    def _lease_is_over(self, worker_id: str, stopped_at_s: float) -> bool:
        now_s = self.session.now_s()
        if now_s - stopped_at_s > LEASE_END_S:
            return True
        agent = self._agent(worker_id)
        return agent is not None and agent.lease_is_over(now_s)

    async def _order(
        self, worker_id: str, order: MessageStruct, timeout_s: float
    ) -> MessageStruct | None:
        agent = self._agent(worker_id)
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

    def _agent(self, worker_id: str) -> AgentSession | None:
        return self.session.directory.by_worker.get(worker_id)

    def _shares(self) -> tuple[WorkerShare, ...]:
        gang = self.entry.gang
        if gang is None or gang.epoch != self.epoch:
            # A deposed leader also applies what the next leader commits.
            raise LeadershipLostError("another leader has released the gang")
        return gang.placement.shares

    def _job_id(self) -> str:
        return self.entry.request.job_id
