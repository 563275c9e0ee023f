"""The process of a control instance."""

import asyncio
import math
from pathlib import Path

import structlog

from cicadatray.internal.control import calls, commands
from cicadatray.internal.control.agent_links import AgentLinks
from cicadatray.internal.control.control_description import ControlDescription, describe_control
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.errors import (
    ControlError,
    LeadershipLostError,
    leadership_lost,
)
from cicadatray.internal.control.fragmentation import current_fragmentation
from cicadatray.internal.control.garbage_collection import postpone_full_collections
from cicadatray.internal.control.graphs.belief_log import BeliefLog
from cicadatray.internal.control.graphs.evacuation_limits import EvacuationLimits
from cicadatray.internal.control.graphs.graph_loop import GraphLoop
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.guarantee_log import register_coverage_gauge
from cicadatray.internal.control.graphs.proposed_silences import ProposedSilences
from cicadatray.internal.control.graphs.queue_gauges import register_queue_gauges
from cicadatray.internal.control.graphs.recorded_runs import LateCommits
from cicadatray.internal.control.graphs.speed_description import (
    describe_speeds,
    register_speed_gauge,
)
from cicadatray.internal.control.graphs.task_leases import TaskLeases
from cicadatray.internal.control.graphs.worker_availability import register_availability_gauge
from cicadatray.internal.control.group_admission import GroupAdmission
from cicadatray.internal.control.handler_registry import call_handlers
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.control.loop_turns import run_in_turns
from cicadatray.internal.control.loop_watch import LoopWatch
from cicadatray.internal.control.replica_configuration import replica_settings
from cicadatray.internal.control.replica_gauges import register_replica_gauges
from cicadatray.internal.control.replica_link import ReplicaLink
from cicadatray.internal.control.scheduling_loop import SchedulingLoop
from cicadatray.internal.daemon.supervisor import Supervisor
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.observability.standard_metrics import fragmentation_ratio
from cicadatray.internal.observability.state_dump import StateDump
from cicadatray.internal.settings.control_settings import ControlSettings
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.message import IN_DOUBT_CODE, Failure, MessageStruct
from cicadatray.internal.wire.messages.configuration_messages import (
    AccountRecord,
    Accounts,
    ChangeConfiguration,
)
from cicadatray.internal.wire.messages.directory_messages import NotLeader
from cicadatray.internal.wire.messages.graph_messages import GroupAddresses
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.rpc_server import RpcServer
from cicadatray.replication.errors import NotLeaderError, ReplicationError
from cicadatray.replication.replica import Replica
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits

CONFIRM_TIMEOUT_S = 1.0
LEADERSHIP_POLL_S = 0.1
FIRST_OPERATOR = "operator"
UNKNOWN_CALL_CODE = "unknown_call"
IN_DOUBT_RETRY_AFTER_S = 1.0

log = structlog.get_logger(__name__)
# These modules are imported because they register the appliers and handlers.
assert commands.COMMAND_MODULES and calls.CALL_MODULES


class ControlDaemon:
    """Answers calls, and runs the scheduling loops while this instance leads."""

    __slots__ = (
        "codec",
        "control_client",
        "dump",
        "graph_session",
        "links",
        "metrics",
        "proposed_silences",
        "replica",
        "replica_link",
        "scheduling_loop",
        "server",
        "session",
        "settings",
        "state",
    )

    def __init__(self, settings: ControlSettings, secret: bytes) -> None:
        self.settings = settings
        self.codec = message_codec()
        self.state = ControlState()
        self.replica_link = ReplicaLink(settings.name, self.codec, secret)
        self.replica = Replica(replica_settings(settings), self.state, self.replica_link)
        self.dump = StateDump(Path(settings.dump_folder), settings.name)
        self.dump.register("control", self.describe)
        self.dump.register("worker_speeds", lambda: describe_speeds(self.graph_session))
        self.metrics = MetricsRegistry()
        fragmentation_ratio(self.metrics).read_from(self._fragmentation)
        register_queue_gauges(self.metrics, lambda: self.graph_session)
        register_coverage_gauge(self.metrics, lambda: self.graph_session)
        register_speed_gauge(self.metrics, lambda: self.graph_session)
        register_availability_gauge(self.metrics, lambda: self.graph_session)
        register_replica_gauges(self.metrics, self.replica, self.state)
        self.links = AgentLinks(self.codec, secret)
        self.session: LeaderSession | None = None
        self.graph_session: GraphSession | None = None
        self.proposed_silences = ProposedSilences()
        others = tuple(m for m in settings.control if m.name != settings.name)
        self.control_client = ControlClient(others or settings.control, self.codec, secret)
        self.scheduling_loop: SchedulingLoop | None = None
        listen = settings.listen
        self.server = RpcServer(listen.host, listen.port, self.codec, self.answer, secret)

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set or the replica fails, then transfers leadership and returns.

        Raises:
            ControlError: the replica failed.
        """
        postpone_full_collections()
        await self.replica.start()
        await self.server.start()
        log.info("control listening", port=self.server.port)
        supervisor = Supervisor(self.metrics)
        supervisor.start("event loop watch", LoopWatch(self.metrics).run)
        supervisor.start("leadership", self._run_leadership)
        admission = GroupAdmission(self.settings, self.replica, self.control_client)
        supervisor.start("group admission", admission.run)
        await self._wait_for_stop(stop)
        await self.replica.stop()
        await supervisor.stop()
        await self.control_client.close()
        await self.links.close()
        await self.replica_link.close()
        await self.server.stop()
        if self.replica.failure is not None:
            raise ControlError(f"the replica failed: {self.replica.failure}")

    async def answer(self, call: MessageStruct) -> MessageStruct:
        """Returns the reply to a call of another process."""
        handler = call_handlers.get(type(call))
        if handler is None:
            return Failure(code=UNKNOWN_CALL_CODE, detail=type(call).__name__)
        try:
            return await handler(self, call)
        except NotLeaderError as error:
            return self._not_leader(error.leader_id)
        except (LeadershipLostError, ReplicationError) as error:
            return Failure(
                code=IN_DOUBT_CODE, detail=str(error), retry_after_s=IN_DOUBT_RETRY_AFTER_S
            )

    async def require_leader_session(self) -> LeaderSession:
        """Returns the leader session once a majority has confirmed that this instance leads.

        Raises:
            NotLeaderError: this instance does not lead, or has no session of its term yet.
        """
        await self.replica.confirm_leadership(CONFIRM_TIMEOUT_S)
        if self.session is None or self.session.term != self.replica.term:
            raise NotLeaderError(None)
        return self.session

    def require_graph_session(self, session: LeaderSession) -> GraphSession:
        """Returns the task graphs that belong to a leader session.

        Raises:
            NotLeaderError: the session has ended.
        """
        if self.graph_session is None or self.session is not session:
            raise NotLeaderError(None)
        return self.graph_session

    def describe(self) -> ControlDescription:
        """Returns the description of this instance for a state dump."""
        return describe_control(self.state, self.replica.describe(), self.session)

    def notify(self) -> None:
        """Wakes the scheduling loop, if this instance leads."""
        if self.scheduling_loop is not None:
            self.scheduling_loop.notify()

    def _fragmentation(self) -> float:
        return current_fragmentation(self.session) if self.session is not None else math.nan

    async def _wait_for_stop(self, stop: asyncio.Event) -> None:
        stopping = asyncio.create_task(stop.wait())
        failing = asyncio.create_task(self.replica.wait_stopped())
        await asyncio.wait((stopping, failing), return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        failing.cancel()

    async def _run_leadership(self) -> None:
        while True:
            try:
                await self.replica.confirm_leadership(CONFIRM_TIMEOUT_S)
                await self._lead()
            except NotLeaderError:
                await asyncio.sleep(LEADERSHIP_POLL_S)
            except LeadershipLostError as error:
                log.warning("leadership lost", reason=str(error))
            except Exception:
                log.exception("scheduling failed; restarting from the replicated state")
                await asyncio.sleep(LEADERSHIP_POLL_S)
            finally:
                self.state.listeners = []
                self.session = None
                self.graph_session = None
                self.scheduling_loop = None

    async def _lead(self) -> None:
        log.info(
            "leading",
            term=self.replica.term,
            applied_index=self.replica.applied_index,
            queues_version=self.state.graphs.queues.version,
        )
        self.session = LeaderSession(
            self.state, self.replica, self.links, self.replica.term, self.metrics
        )
        self.state.listeners = [self.session.on_command_applied]
        await self._create_first_operator(self.session)
        self.scheduling_loop = SchedulingLoop(self.session)
        settings = self.settings
        graph_session = GraphSession(
            self.session,
            TaskLeases(settings.longest_task_lease_s),
            StartLimits(settings.urgent_start_s, settings.longest_task_stop_s),
            settings.scheduling_rules,
            EvacuationLimits(settings.evacuation_start_limit_s, settings.evacuation_drain_s),
            self.proposed_silences,
            is_loaded=False,
        )
        self.state.listeners.append(LateCommits(graph_session).on_command_applied)
        self.state.listeners.append(graph_session.on_command_applied)
        await run_in_turns(graph_session.load())
        self.graph_session = graph_session
        try:
            async with asyncio.TaskGroup() as tasks:
                loops = [
                    tasks.create_task(self.scheduling_loop.run()),
                    tasks.create_task(GraphLoop(self.graph_session).run()),
                    tasks.create_task(BeliefLog(self.graph_session).run()),
                ]
                await self._watch_leadership()
                for loop in loops:
                    loop.cancel()
        except* LeadershipLostError as errors:
            raise leadership_lost(errors) from None

    def _not_leader(self, leader_name: str | None) -> MessageStruct:
        """Returns the address of the leader, or those of the group for a replica without one.

        Such an instance has lost its disk or was never a member, and may be the only seed that a
        restarted process knows.
        """
        group = self.control_client.group
        if leader_name is None and group and not self.replica.members():
            return GroupAddresses(members=group, leader_name="")
        member = self.replica.find_member(leader_name) if leader_name else None
        if member is None:
            return NotLeader(leader_name=leader_name or "")
        return NotLeader(
            leader_name=member.member_id, leader_host=member.host, leader_port=member.port
        )

    async def _create_first_operator(self, session: LeaderSession) -> None:
        """Creates the operator account that the settings of a new deployment name."""
        digest = self.settings.bootstrap_operator_sha256
        if not digest or self.state.configuration.version > 0:
            return
        account = AccountRecord(FIRST_OPERATOR, digest, operator=True)
        await session.propose(
            ChangeConfiguration(
                operation_id="bootstrap",
                operator=FIRST_OPERATOR,
                replaces_version=0,
                accounts=Accounts((account,)),
            )
        )

    async def _watch_leadership(self) -> None:
        """Waits until this instance no longer leads in its current term."""
        term = self.replica.term
        while self.replica.term == term:
            try:
                await self.replica.confirm_leadership(CONFIRM_TIMEOUT_S)
            except NotLeaderError:
                return
            await asyncio.sleep(LEADERSHIP_POLL_S)

    def abandon(self) -> None:
        """Does nothing on a second stop signal: callers retry every call that is in progress."""
