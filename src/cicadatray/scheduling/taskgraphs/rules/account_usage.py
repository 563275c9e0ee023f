"""Recent use of the pools by accounts, and how far it moves their work back."""

from collections.abc import Iterable, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# A burst of 10 s jobs still counts while the next ones of its account compete.
HALF_LIFE_S = 20.0
# Shares are a tie-break: work is moved back by at most this in terms of its latest start.
MAX_SHARE_DELAY_S = 2.0
# Below this share of a pool an account without waiting work no longer counts as a competitor.
MIN_SHARE = 0.001

# A pool and an account.
PoolAccount = tuple[str, str]


def share_delay_s(share: float, fair_share: float, max_delay_s: float = MAX_SHARE_DELAY_S) -> float:
    """Returns by how much later than its latest start the work of an account is ranked.

    It is 0 up to the fair share, rises linearly, and is `max_delay_s` from twice the fair share on.
    """
    if fair_share <= 0:
        return max_delay_s if share > 0 else 0.0
    return max_delay_s * min(1.0, max(0.0, share / fair_share - 1.0))


class AccountUsage:
    """The decayed use of each pool by each account that no guarantee covers.

    It is soft state of one leader, kept in `RuleMemory`. A ranking calls `sample` once in each
    round and then `delays_s`. A new leader counts the runs that it finds, each for the time that it
    has run; what has ended before is forgotten. `weights` holds the weight of accounts whose weight
    is not 1. `shares` holds the decayed averages of the shares of cores, memory and accelerators.
    """

    __slots__ = ("sampled_s", "shares", "weights")

    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        self.weights: dict[str, float] = dict(weights or {})
        self.sampled_s = 0.0
        self.shares: dict[PoolAccount, tuple[float, ...]] = {}

    def sample(
        self, workers: Iterable[WorkerCapacity], running: Iterable[RunningWork], now_s: float
    ) -> None:
        """Adds the use since the last sample by the work that runs now.

        Work that started and ended between two samples is not counted. Rounds are a quarter of a
        second apart while anything waits, and at other times it was in nobody's way. A clock that
        was set back counts as no time.
        """
        interval_s = max(0.0, now_s - self.sampled_s)
        self.sampled_s = now_s
        decay = _decay(interval_s)
        decayed = {key: tuple(decay * s for s in shares) for key, shares in self.shares.items()}
        self.shares = {key: s for key, s in decayed.items() if max(s) >= MIN_SHARE}
        pool_of = {worker.worker_id: worker.pool for worker in workers}
        totals = _total_by_pool(workers)
        for work in running:
            if work.is_guaranteed:
                continue
            added = 1.0 - _decay(min(interval_s, work.elapsed_s))
            for worker_id, demand in work.occupied:
                pool = pool_of.get(worker_id)
                if pool is not None:
                    self._add((pool, work.client_account), demand, totals[pool], added)

    def share(self, pool: str, account: str) -> float:
        """Returns the recent share of a pool in the resource of which the account used most."""
        return max(self.shares.get((pool, account), (0.0,)))

    def delays_s(
        self, waiting: Sequence[WaitingWork], max_delay_s: float = MAX_SHARE_DELAY_S
    ) -> dict[PoolAccount, float]:
        """Returns, by pool and account, how far the waiting work that no guarantee covers moves.

        The accounts that have such work or have used the pool recently divide it by their weights.
        """
        waits = {
            (work.graph.graph.policy.pool, work.graph.graph.client_account)
            for work in waiting
            if not work.is_guaranteed
        }
        weight_by_pool: dict[str, float] = {}
        for pool, account in waits | self.shares.keys():
            weight_by_pool[pool] = weight_by_pool.get(pool, 0.0) + self._weight(account)
        delays: dict[PoolAccount, float] = {}
        for pool, account in waits:
            fair_share = self._weight(account) / max(weight_by_pool[pool], MIN_SHARE)
            delays[(pool, account)] = share_delay_s(
                self.share(pool, account), fair_share, max_delay_s
            )
        return delays

    def _weight(self, account: str) -> float:
        return self.weights.get(account, 1.0)

    def _add(self, key: PoolAccount, demand: Resources, total: Resources, added: float) -> None:
        before = self.shares.get(key, (0.0, 0.0, 0.0))
        parts = (
            demand.cpu_millis / max(1, total.cpu_millis),
            demand.memory_mb / max(1, total.memory_mb),
            demand.accelerators / max(1, total.accelerators),
        )
        self.shares[key] = tuple(s + added * p for s, p in zip(before, parts, strict=True))


def _decay(interval_s: float) -> float:
    return float(0.5 ** (interval_s / HALF_LIFE_S))


def _total_by_pool(workers: Iterable[WorkerCapacity]) -> dict[str, Resources]:
    totals: dict[str, Resources] = {}
    for worker in workers:
        totals[worker.pool] = totals.get(worker.pool, Resources()).plus(worker.capacity)
    return totals
