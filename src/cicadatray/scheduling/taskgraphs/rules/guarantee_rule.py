"""Rules for which urgent jobs the guarantees of their accounts cover."""

from collections.abc import Callable, Iterable, Mapping

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.rules.rule_registry import RuleRegistry

# Returns the identifiers of the covered graphs. They are given in the order in which they were
# accepted, which every leader has. The mapping gives the guaranteed accelerators of
# each account. A rule uses replicated state alone, so that every leader covers the same graphs.
GuaranteeRule = Callable[[Iterable[GraphProgress], Mapping[str, int]], set[str]]

guarantee_rules: RuleRegistry[GuaranteeRule] = RuleRegistry("guarantees")


def demand_of_graph(progress: GraphProgress) -> int:
    """Returns the accelerators of all tasks of all occurrences of a graph."""
    return progress.graph.accelerators
