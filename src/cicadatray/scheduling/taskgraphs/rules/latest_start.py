"""Ranking by the latest start with which a job is still on time."""

from collections.abc import Iterator, Sequence

from cicadatray.scheduling.taskgraphs.rules.ranked_merge import PART_SIZE, Rank, sort_in_parts
from cicadatray.scheduling.taskgraphs.rules.ranking_rule import RankingRule, rankings
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


@rankings.register("latest_start")
class LatestStartRanking(RankingRule):
    """Orders work by `WaitingWork.rank`."""

    __slots__ = ()

    def iterate(self, waiting: Sequence[WaitingWork]) -> Iterator[WaitingWork | None]:
        """Yields the work by its rank.

        Work is ranked one priority after the other, so that the first work is known before a
        backlog of lower priority has been sorted.
        """
        by_priority: dict[int, list[WaitingWork]] = {}
        for work in waiting:
            by_priority.setdefault(work.priority, []).append(work)
        worthless: list[WaitingWork] = []
        for priority in sorted(by_priority):
            for ranked in sort_in_parts(by_priority[priority], self.rank):
                if ranked is None:
                    yield None
                elif ranked[0][0]:
                    worthless.append(ranked[1])
                    if len(worthless) % PART_SIZE == 0:
                        yield None
                else:
                    yield ranked[1]
        yield from worthless

    def rank(self, work: WaitingWork) -> Rank:
        """Returns the sort key of the work, which begins like that of `WaitingWork.rank`."""
        return work.rank(self.view.now_s)
