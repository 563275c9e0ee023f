"""The urgent graphs that the guarantees of their accounts cover."""

from collections.abc import Mapping

from cicadatray.internal.control.graphs.ready_index import ReadyIndex
from cicadatray.scheduling.taskgraphs.rules.guarantee_rule import GuaranteeRule


class CoveredGraphs:
    """Applies the rule of guarantees again only after urgent graphs or guarantees have changed."""

    __slots__ = ("covered", "guaranteed_accelerators", "ready", "rule")

    def __init__(self, rule: GuaranteeRule, ready: ReadyIndex) -> None:
        self.rule = rule
        self.ready = ready
        self.covered: set[str] = set()
        self.guaranteed_accelerators: Mapping[str, int] = {}

    def find(self, guaranteed_accelerators: Mapping[str, int]) -> set[str]:
        """Returns the covered graphs as of the last update of the index.

        `guaranteed_accelerators` holds the guarantee of each account by its name.
        """
        if self.ready.has_new_urgent or guaranteed_accelerators != self.guaranteed_accelerators:
            self.guaranteed_accelerators = guaranteed_accelerators
            self.ready.has_new_urgent = False
            self.covered = self.rule(self.ready.urgent.values(), guaranteed_accelerators)
        return self.covered
