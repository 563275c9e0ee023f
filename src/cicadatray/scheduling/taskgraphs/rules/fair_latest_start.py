"""Ranking by latest start that lets accounts below their fair share go first in a tie."""

from collections.abc import Sequence

from cicadatray.scheduling.taskgraphs.rules.account_usage import AccountUsage, PoolAccount
from cicadatray.scheduling.taskgraphs.rules.latest_start import LatestStartRanking
from cicadatray.scheduling.taskgraphs.rules.ranking_rule import rankings
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


@rankings.register("fair_latest_start")
class FairLatestStartRanking(LatestStartRanking):
    """Orders work by `WaitingWork.rank` with the latest start moved back by the account's use.

    Only the last part of the rank changes, so the order between priorities, between work that a
    guarantee covers and other work, and between work in time and late work stays the same.
    """

    __slots__ = ()

    def order(self, waiting: Sequence[WaitingWork]) -> list[WaitingWork]:
        """Returns the work by its rank and the recent use of its account."""
        usage = self.view.memory.get(AccountUsage)
        usage.sample(self.view.workers, self.view.running, self.view.now_s)
        delays_s = usage.delays_s(waiting)
        return sorted(waiting, key=lambda work: self._rank(work, delays_s))

    def _rank(self, work: WaitingWork, delays_s: dict[PoolAccount, float]) -> tuple[float, ...]:
        *before, latest_start_s = work.rank(self.view.now_s)
        if not work.is_guaranteed:
            graph = work.graph.graph
            latest_start_s += delays_s.get((graph.policy.pool, graph.client_account), 0.0)
        return (*before, latest_start_s)
