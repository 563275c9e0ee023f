"""Ranking by latest start that lets accounts below their fair share go first in a tie."""

from collections.abc import Iterator, Sequence

from cicadatray.scheduling.taskgraphs.rules.account_usage import AccountUsage, PoolAccount
from cicadatray.scheduling.taskgraphs.rules.latest_start import LatestStartRanking
from cicadatray.scheduling.taskgraphs.rules.ranked_merge import Rank
from cicadatray.scheduling.taskgraphs.rules.ranking_rule import rankings
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


@rankings.register("fair_latest_start")
class FairLatestStartRanking(LatestStartRanking):
    """Orders work by `WaitingWork.rank` with the latest start moved back by the account's use.

    Only the last part of the rank changes, so the order between priorities, between work that a
    guarantee covers and other work, and between work in time and late work stays the same.
    """

    __slots__ = ("delays_by_account_s",)

    def __init__(self, view: RoundView) -> None:
        super().__init__(view)
        self.delays_by_account_s: dict[PoolAccount, float] = {}

    def iterate(self, waiting: Sequence[WaitingWork]) -> Iterator[WaitingWork | None]:
        """Yields the work by its rank and the recent use of its account."""
        usage = self.view.memory.get(AccountUsage)
        usage.sample(self.view.workers, self.view.running, self.view.now_s)
        self.delays_by_account_s = usage.delays_s(waiting)
        yield from super().iterate(waiting)

    def rank(self, work: WaitingWork) -> Rank:
        """Returns the rank of the work, moved back by the delay of its account."""
        *before, latest_start_s = work.rank(self.view.now_s)
        if not work.is_guaranteed:
            graph = work.graph.graph
            account = (graph.policy.pool, graph.client_account)
            latest_start_s += self.delays_by_account_s.get(account, 0.0)
        return (*before, latest_start_s)
