"""Ranking by the latest start with which a job is still on time."""

from collections.abc import Sequence

from cicadatray.scheduling.taskgraphs.rules.ranking_rule import RankingRule, rankings
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


@rankings.register("latest_start")
class LatestStartRanking(RankingRule):
    """Orders work by `WaitingWork.rank`."""

    __slots__ = ()

    def order(self, waiting: Sequence[WaitingWork]) -> list[WaitingWork]:
        """Returns the work by its rank."""
        return sorted(waiting, key=lambda work: work.rank(self.view.now_s))
