"""A leader without followers or a disk."""

import asyncio
from typing import Any

from cicadatray.internal.control import commands
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.recorded_runs import LateCommits
from cicadatray.internal.control.graphs.task_leases import TaskLeases
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.messages.graph_messages import (
    RunEnd,
    RunReport,
    SyncWorker,
    WorkerOffer,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits

# Importing the modules registers the functions that apply commands to the state.
assert commands.COMMAND_MODULES
WORKERS = 11
CAPACITY = Resources(64_000, 128_000, 8)


class _ImmediateReplica:
    """Applies each proposed command in the same pass of the event loop."""

    __slots__ = ("index", "state", "term")

    def __init__(self, state: ControlState) -> None:
        self.state = state
        self.term = 1
        self.index = 0

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        await asyncio.sleep(0)
        self.index += 1
        return self.state.apply(self.index, command)


class BenchLeader:
    """The session of a leader and the calls of its agents."""

    __slots__ = ("leader", "sequence", "session", "state")

    def __init__(self, state: ControlState) -> None:
        self.state = state
        replica: Any = _ImmediateReplica(state)
        links: Any = None
        self.leader = LeaderSession(state, replica, links, 1, MetricsRegistry())
        state.listeners = [self.leader.on_command_applied]
        self.session = GraphSession(self.leader, TaskLeases(), StartLimits(), is_loaded=False)
        state.listeners.append(LateCommits(self.session).on_command_applied)
        state.listeners.append(self.session.on_command_applied)
        self.sequence = 0

    def sync(
        self,
        number: int,
        runs: tuple[RunReport, ...] = (),
        ends: tuple[RunEnd, ...] = (),
        is_draining: bool = False,
    ) -> None:
        """Handles a call of an agent, which counts as answered."""
        self.sequence += 1
        name, rack = f"worker-{number}", f"r{number // 3}"
        offer = WorkerOffer(name, "pool", "d0", rack, ("a",), CAPACITY, is_draining)
        call = SyncWorker(
            agent_id=f"agent-{number}",
            agent_incarnation="one",
            sequence=self.sequence,
            offer=offer,
            runs=runs,
            ends=ends,
        )
        worker = self.session.handle_sync(call)
        if worker is not None:
            worker.last_reply_s = self.session.now_s()

    def sync_all(self) -> None:
        """Handles a call of each agent, which reports no change."""
        for number in range(WORKERS):
            worker = self.session.workers.get(f"worker-{number}")
            reports = tuple(worker.reports.values()) if worker is not None else ()
            self.sync(number, reports)
