"""The real control daemon with a fake replica and simulated links."""

import asyncio
from types import SimpleNamespace
from typing import Any

from cicadatray.internal.control.agent_links import AgentLinks
from cicadatray.internal.control.control_daemon import ControlDaemon
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.proposed_silences import ProposedSilences
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.messages.directory_messages import AgentRecord
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import DEFAULT_RULES
from cover.control.gangs.fake_replica import FakeReplica
from cover.control.gangs.link_client import LinkClient
from cover.control.gangs.link_layer import LinkLayer
from cover.control.gangs.shared_log import SharedLog
from cover.replication.process_loop import Process

LONGEST_TASK_LEASE_S = 6.0
EVACUATION_START_LIMIT_S = 5.0
EVACUATION_DRAIN_S = 8.0


class _Links(AgentLinks):
    __slots__ = ("layer", "name")

    def __init__(self, layer: LinkLayer, name: str) -> None:
        self.layer = layer
        self.name = name

    def _client(self, agent: AgentRecord) -> Any:
        return LinkClient(self.layer, self.name, f"{agent.agent_id}/{agent.incarnation}")


class SimulatedControl(ControlDaemon):
    """Leads when the shared log elects it; only its construction differs from the daemon."""

    __slots__ = ("name", "process", "task")

    def __init__(self, name: str, log: SharedLog, layer: LinkLayer) -> None:
        self.name = name
        self.process = Process()
        self.settings: Any = SimpleNamespace(
            name=name,
            bootstrap_operator_sha256="",
            longest_task_lease_s=LONGEST_TASK_LEASE_S,
            scheduling_rules=DEFAULT_RULES,
            longest_task_stop_s=0.4,
            urgent_start_s=2.5,
            evacuation_start_limit_s=EVACUATION_START_LIMIT_S,
            evacuation_drain_s=EVACUATION_DRAIN_S,
        )
        self.state = ControlState()
        self.replica: Any = FakeReplica(log, name, self.state)
        self.metrics = MetricsRegistry()
        self.links = _Links(layer, name)
        # No instance is without a replica here, so no addresses are passed on.
        self.control_client: Any = SimpleNamespace(group=())
        self.session = None
        self.graph_session = None
        self.proposed_silences = ProposedSilences()
        self.scheduling_loop = None
        log.members[name] = self
        layer.peers[name] = self
        loop = asyncio.get_event_loop()
        self.task = loop.create_task(self._run_leadership(), context=self.process.context)

    def catch_up(self) -> None:
        """Applies all committed commands and updates the term."""
        self.replica.catch_up()
