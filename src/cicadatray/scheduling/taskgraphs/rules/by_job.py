"""Guarantees that cover urgent jobs one by one in the order of their acceptance.

The order is that of `graphs`, which is the order in the replicated log and survives snapshots. The
times of acceptance are not compared: they are the clocks of the leaders, and a job that a leader
with a slow clock accepts later would take the cover of one that waits or runs.
"""

from collections.abc import Iterable, Mapping

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.job_value import URGENT_PRIORITY
from cicadatray.scheduling.taskgraphs.rules.guarantee_rule import (
    demand_of_graph,
    guarantee_rules,
)


@guarantee_rules.register("by_job")
def cover_by_job(
    graphs: Iterable[GraphProgress], guaranteed_accelerators: Mapping[str, int]
) -> set[str]:
    """Returns the urgent graphs that the guarantee of their account reaches.

    A graph is covered if it fits beside every set of earlier graphs that itself fits in the
    guarantee. Such a graph can only gain when an earlier one ends, so that it stays covered until
    it ends while the guarantee is the same, and a graph that does not fit does not hold up smaller
    ones for which there is always room. Covering more would break this or the promise that all
    graphs are covered while their sum is within the guarantee.

    The order is that of acceptance alone. If graphs that have begun went first, one that competed
    and began would take the cover of an earlier one that waits. The replicated state does not tell
    this from a history in which the earlier one was never covered.
    """
    urgent_by_account: dict[str, list[GraphProgress]] = {}
    for progress in graphs:
        if progress.is_active and progress.graph.policy.priority == URGENT_PRIORITY:
            urgent_by_account.setdefault(progress.graph.client_account, []).append(progress)
    covered: set[str] = set()
    for account, urgent in urgent_by_account.items():
        covered |= _cover(urgent, guaranteed_accelerators.get(account, -1))
    return covered


def _cover(urgent: list[GraphProgress], guarantee: int) -> set[str]:
    """Returns the covered graphs of one account, whose graphs are in the order of acceptance."""
    if guarantee < 0:
        return set()
    covered: set[str] = set()
    # Bit n is set if some of the earlier graphs need n accelerators together.
    reachable_sums = 1
    within_guarantee = (1 << (guarantee + 1)) - 1
    for progress in urgent:
        demand = demand_of_graph(progress)
        if demand > guarantee:
            continue
        largest_sum = reachable_sums.bit_length() - 1
        if largest_sum + demand <= guarantee:
            covered.add(progress.graph.graph_id)
        reachable_sums |= (reachable_sums << demand) & within_guarantee
    return covered
