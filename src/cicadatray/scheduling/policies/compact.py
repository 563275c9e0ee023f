"""The policy that weighs fragmentation more than completion time."""

from cicadatray.scheduling.policies.best_fit_backfill import BestFitBackfillPolicy
from cicadatray.scheduling.registry import scheduling_policy


@scheduling_policy("compact")
class CompactPolicy(BestFitBackfillPolicy):
    """Placeholder until the guarantee plan is in place."""

    __slots__ = ()
