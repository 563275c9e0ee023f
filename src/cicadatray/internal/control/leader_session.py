"""What a control instance holds while it leads."""

import asyncio
import time

from cicadatray.internal.control.agent_links import AgentLinks
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.directory import Directory
from cicadatray.internal.control.errors import LeadershipLostError
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.job_messages import (
    FINAL_JOB_STATES,
    CancelJob,
    JobState,
    SubmitJob,
)
from cicadatray.replication.errors import ReplicationError
from cicadatray.replication.replica import Replica
from cicadatray.scheduling.scheduler import Scheduler

PROPOSE_TIMEOUT_S = 3.0


class LeaderSession:
    """Soft state of one term of leadership; a new leader builds it from the replicated state.

    `wake` is set when something happened that the scheduling loop should look at.
    """

    __slots__ = (
        "clock_offset_s",
        "directory",
        "links",
        "metrics",
        "replica",
        "scheduler",
        "started_s",
        "state",
        "term",
        "wake",
    )

    def __init__(
        self,
        state: ControlState,
        replica: Replica,
        links: AgentLinks,
        term: int,
        metrics: MetricsRegistry,
    ) -> None:
        self.metrics = metrics
        self.state = state
        self.replica = replica
        self.links = links
        self.term = term
        self.directory = Directory()
        self.wake = asyncio.Event()
        self.started_s = self.now_s()
        self.clock_offset_s = self._clock_offset_s()
        self.scheduler = self._build_scheduler()

    def now_s(self) -> float:
        """Returns the event loop's time, by which leases are measured."""
        return asyncio.get_running_loop().time()

    def scheduling_time_s(self) -> float:
        """Returns a time that is comparable with submission times across changes of leader."""
        return self.now_s() + self.clock_offset_s

    async def propose(self, command: MessageStruct) -> MessageStruct:
        """Commits a command and returns its reply.

        Raises:
            LeadershipLostError: the command may or may not be committed, and this instance must
                stop acting as the leader.
        """
        if self.replica.term != self.term:
            raise LeadershipLostError("another term has begun")
        try:
            encoded = self.state.encode_command(command)
            return self.state.decode_reply(await self.replica.propose(encoded, PROPOSE_TIMEOUT_S))
        except ReplicationError as error:
            raise LeadershipLostError(str(error)) from error

    def take_applied(self, command: MessageStruct) -> None:
        """Tells the scheduler of jobs that were submitted or cancelled.

        Also of those whose call was answered as in doubt, because the command may commit later.
        """
        if isinstance(command, SubmitJob):
            entry = self.state.jobs.get(command.request.job_id)
            if entry is not None and entry.state is JobState.WAITING:
                self.scheduler.submit(entry.request, self.scheduling_time_s())
        elif isinstance(command, CancelJob):
            entry = self.state.jobs.get(command.job_id)
            if entry is not None and entry.state in FINAL_JOB_STATES:
                self.scheduler.cancel(command.job_id, self.scheduling_time_s())
        self.wake.set()

    def _clock_offset_s(self) -> float:
        """Places the event loop's clock on wall-clock time, but after every recorded submission."""
        latest_s = max((e.request.submitted_s for e in self.state.jobs.values()), default=0.0)
        return max(time.time(), latest_s) - self.now_s()

    def _build_scheduler(self) -> Scheduler:
        configuration = self.state.configuration
        scheduler = Scheduler(configuration.inventory, configuration.rules)
        now_s = self.scheduling_time_s()
        for entry in self.state.jobs.values():
            if entry.gang is not None:
                scheduler.restore_running(entry.request, entry.gang.placement, now_s)
            elif entry.state is JobState.WAITING:
                scheduler.submit(entry.request, now_s)
        return scheduler
