"""Guarantees that cover all urgent jobs of an account or none of them."""

from collections.abc import Iterable, Mapping

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.job_value import URGENT_PRIORITY
from cicadatray.scheduling.taskgraphs.rules.guarantee_rule import (
    demand_of_graph,
    guarantee_rules,
)


@guarantee_rules.register("by_account")
def cover_by_account(
    graphs: Iterable[GraphProgress], guaranteed_accelerators: Mapping[str, int]
) -> set[str]:
    """Returns the urgent graphs of accounts whose urgent graphs need no more than the guarantee."""
    urgent = [
        progress
        for progress in graphs
        if progress.is_active and progress.graph.policy.priority == URGENT_PRIORITY
    ]
    demand_by_account: dict[str, int] = {}
    for progress in urgent:
        account = progress.graph.client_account
        demand_by_account[account] = demand_by_account.get(account, 0) + demand_of_graph(progress)
    return {
        progress.graph.graph_id
        for progress in urgent
        if demand_by_account[progress.graph.client_account]
        <= guaranteed_accelerators.get(progress.graph.client_account, -1)
    }
