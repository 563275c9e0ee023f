"""The soft state of a control instance while it leads."""

import asyncio
import time

from cicadatray.internal.control.agent_links import AgentLinks
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.directory import Directory
from cicadatray.internal.control.errors import LeadershipLostError
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.evacuation_messages import RecordEvacuation
from cicadatray.internal.wire.messages.graph_messages import RecordRuns
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
    """Holds the soft state of one term; a new leader rebuilds it from the replicated state.

    `wake` is set when the scheduling loop should run a round.
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
        self.clock_offset_s = self._compute_clock_offset_s()
        self.scheduler = self._build_scheduler()

    def now_s(self) -> float:
        """Returns the event loop's time, by which leases are measured."""
        return asyncio.get_running_loop().time()

    def scheduling_time_s(self) -> float:
        """Returns a time that is comparable with submission times under earlier leaders."""
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

    async def apply_earlier_commands(self) -> None:
        """Waits until no command that an earlier session has proposed can commit any more.

        The log applies commands in their order, so a command without content follows all of them.

        Raises:
            LeadershipLostError: it did not commit in time.
        """
        await self.propose(RecordRuns(now_s=time.time()))

    def rebuild_scheduler(self) -> None:
        """Replaces the scheduler by one that is built from the replicated state."""
        self.scheduler = self._build_scheduler()

    def on_command_applied(self, command: MessageStruct) -> None:
        """Informs the scheduler of submitted and cancelled jobs, and of evacuations.

        This includes calls that were answered as in doubt, because their command may commit later.
        """
        if isinstance(command, SubmitJob):
            entry = self.state.jobs.get(command.request.job_id)
            if entry is not None and entry.state is JobState.WAITING:
                self.scheduler.submit(entry.request, self.scheduling_time_s())
        elif isinstance(command, CancelJob):
            entry = self.state.jobs.get(command.job_id)
            if entry is not None and entry.state in FINAL_JOB_STATES:
                self.scheduler.cancel(command.job_id, self.scheduling_time_s())
        elif isinstance(command, RecordEvacuation):
            evacuated = frozenset(self.state.evacuations.active)
            self.scheduler.set_evacuated(evacuated, self.scheduling_time_s())
        self.wake.set()

    def _compute_clock_offset_s(self) -> float:
        """Returns the offset from the event loop's clock to wall-clock time.

        It is raised where needed, so that no recorded submission lies in the future.
        """
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
        scheduler.set_evacuated(frozenset(self.state.evacuations.active), now_s)
        return scheduler
