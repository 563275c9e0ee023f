"""The capacities of the pools, as the leader knows their workers."""

from typing import TYPE_CHECKING

from cicadatray.scheduling.taskgraphs.pool_capacity import PoolCapacity
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph

if TYPE_CHECKING:
    from cicadatray.internal.control.graphs.graph_session import GraphSession


def build_pools(session: "GraphSession") -> dict[str, PoolCapacity]:
    """Returns the capacity of each pool, with the workers that are silent for a while.

    Workers of evacuated data centres do not count, because nothing can be started there.
    """
    pools: dict[str, PoolCapacity] = {}
    for worker in session.workers.values():
        if not worker.is_lost and not session.is_evacuated(worker):
            pools.setdefault(worker.offer.pool, PoolCapacity()).add(worker.offer.capacity)
    return pools


def waves_of(pools: dict[str, PoolCapacity], graph: TaskGraph) -> tuple[float, ...]:
    """Returns the waves of each step; empty while no worker of the graph's pool is known."""
    pool = pools.get(graph.policy.pool)
    return pool.graph_waves(graph) if pool is not None else ()


def objective_of(session: "GraphSession", graph: TaskGraph) -> float:
    """Returns how long one occurrence of the graph may take and still be on time."""
    return graph.objective_s(waves_of(build_pools(session), graph))
