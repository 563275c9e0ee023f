"""The policy that weighs completion time more than fragmentation."""

from cicadatray.scheduling.policies.best_fit_backfill import BestFitBackfillPolicy
from cicadatray.scheduling.registry import scheduling_policy


@scheduling_policy("swift")
class SwiftPolicy(BestFitBackfillPolicy):
    """Placeholder until the guarantee plan is in place."""

    __slots__ = ()
