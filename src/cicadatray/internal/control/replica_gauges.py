"""Gauges of the replica of a control instance."""

import math

from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.observability.graph_metrics import queues_version
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.observability.standard_metrics import lost_disks_borne, replica_term
from cicadatray.replication.redundancy_watch import current_redundancy
from cicadatray.replication.replica import Replica


def register_replica_gauges(
    registry: MetricsRegistry, replica: Replica, state: ControlState
) -> None:
    """Registers the term, the applied configuration, and the disks that may be lost."""
    replica_term(registry).read_from(lambda: _term(replica))
    queues_version(registry).read_from(lambda: state.graphs.queues.version)
    lost_disks_borne(registry).read_from(lambda: _tolerated_disk_losses(replica))


def _tolerated_disk_losses(replica: Replica) -> float:
    """Returns how many disks may be lost at once; not a number unless this instance leads."""
    core = replica.core_or_none
    if core is None or core.leadership is None:
        return math.nan
    return current_redundancy(core.leadership).tolerated_disk_losses


def _term(replica: Replica) -> float:
    core = replica.core_or_none
    return core.term if core is not None else math.nan
