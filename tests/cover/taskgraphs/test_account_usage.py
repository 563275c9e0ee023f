"""Shares of accounts as a tie-break of bounded effect."""

import itertools
from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.rules.account_usage import (
    HALF_LIFE_S,
    MAX_SHARE_DELAY_S,
    AccountUsage,
    share_delay_s,
)
from cicadatray.scheduling.taskgraphs.rules.fair_latest_start import FairLatestStartRanking
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import SchedulingRules
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity
from cover.taskgraphs.placement_helpers import ONE, STRETCH, make_running, make_workers

# Two workers with 16 accelerators.
RACKS = (2,)
POOL = "pool"


def waiting(
    account: str, accepted_s: float, priority: int = 2, graph_id: str = "", estimate_s: float = 8.0
) -> WaitingWork:
    """Returns one task of a new job of an account."""
    policy = QueuePolicy("queue", POOL, priority, 3, STRETCH[priority], 3.0)
    step = Step(1, ONE, estimate_s)
    graph = TaskGraph(graph_id or f"{account}{accepted_s}", account, policy, "spec", (step,))
    return WaitingWork(GraphProgress(graph, accepted_s), 0, 0, (0,), 1, accepted_s)


def used_by(account: str, accelerators: int, elapsed_s: float) -> RunningWork:
    """Returns running work of an account on the first two workers."""
    places = [(f"w{number % 2}", ONE) for number in range(accelerators)]
    work = make_running(make_workers(RACKS), places, elapsed_s=elapsed_s)
    work.client_account = account
    return work


def ranked(
    works: Sequence[WaitingWork], running: Sequence[RunningWork], memory: RuleMemory, now_s: float
) -> list[str]:
    view = RoundView(make_workers(RACKS), running, now_s, StartLimits(), memory)
    return [work.graph.graph.client_account for work in FairLatestStartRanking(view).order(works)]


@pytest.mark.parametrize(
    ("share", "fair_share", "delay_s"),
    [(0.0, 0.1, 0.0), (0.1, 0.1, 0.0), (0.15, 0.1, 1.0), (0.2, 0.1, 2.0), (1.0, 0.1, 2.0)]
    + [(1.0, 1.0, 0.0), (0.5, 0.0, 2.0), (0.0, 0.0, 0.0)],
)
def test_delay(share: float, fair_share: float, delay_s: float) -> None:
    """An account within its fair share must not be moved back, and no account beyond the bound."""
    assert share_delay_s(share, fair_share) == pytest.approx(delay_s)


@pytest.mark.parametrize(
    ("busy", "idle", "share"),
    [(HALF_LIFE_S, 0.0, 0.5), (200.0, 0.0, 1.0), (200.0, HALF_LIFE_S, 0.5), (200.0, 300.0, 0.0)],
)
def test_decay(busy: float, idle: float, share: float) -> None:
    """Use must neither count for ever nor be forgotten at once.

    Load: one account uses the whole pool for some seconds, and then nothing.
    """
    usage = AccountUsage()
    for tick in range(int(busy * 4) + 1):
        usage.sample(make_workers(RACKS), [used_by("a", 16, tick / 4)], 1000.0 + tick / 4)
    usage.sample(make_workers(RACKS), [], 1000.0 + busy + idle)
    assert usage.share(POOL, "a") == pytest.approx(share, abs=0.002)
    assert bool(usage.shares) is (share > 0)


def test_covered_work_and_lost_workers_do_not_count() -> None:
    """Work that a guarantee covers must not push back the rest of its account.

    Load: a covered gang that fills the pool, and work on a worker that is leaving.
    """
    covered, leaving = used_by("a", 16, 50.0), used_by("b", 2, 50.0)
    covered.is_guaranteed = True
    leaving.occupied = [("gone", ONE)]
    usage = AccountUsage()
    usage.sample(make_workers(RACKS), [covered, leaving], 1000.0)
    assert usage.shares == {}


def test_weight() -> None:
    """An account with a larger weight must get a larger share before it is moved back.

    Load: two accounts with half of the pool each, of which one has three times the weight.
    """
    usage = AccountUsage({"a": 3.0})
    usage.sample(make_workers(RACKS), [used_by("a", 8, 900.0), used_by("b", 8, 900.0)], 1000.0)
    delays_s = usage.delays_s([waiting("a", 1000.0), waiting("b", 1000.0)])
    assert delays_s == pytest.approx({(POOL, "a"): 0.0, (POOL, "b"): MAX_SHARE_DELAY_S})


def test_clock_set_back() -> None:
    """A clock that is set back must neither raise nor double what was used.

    Load: one account with half of the pool.
    """
    usage = AccountUsage()
    for now_s in (1000.0, 990.0, 990.5):
        usage.sample(make_workers(RACKS), [used_by("a", 8, 100.0)], now_s)
        assert 0.4 < usage.share(POOL, "a") < 0.52


def test_account_that_was_idle() -> None:
    """An account that comes back must not be held back for what it used long ago.

    Load: an account that used the whole pool minutes ago, beside one that uses half of it now.
    """
    memory = RuleMemory()
    ranked([], [used_by("idle", 16, 100.0)], memory, 1000.0)
    works = [waiting("busy", 1300.0), waiting("idle", 1301.0)]
    assert ranked(works, [used_by("busy", 16, 60.0)], memory, 1301.0) == ["idle", "busy"]


def test_lone_account_keeps_its_order() -> None:
    """An account without competitors must not be moved, and its jobs go by deadline.

    Load: one account uses the whole pool and has two jobs.
    """
    works = [waiting("a", 1001.0, graph_id="later"), waiting("a", 1000.0, graph_id="earlier")]
    usage = AccountUsage()
    usage.sample(make_workers(RACKS), [used_by("a", 16, 100.0)], 1002.0)
    assert usage.delays_s(works) == {(POOL, "a"): 0.0}
    assert ranked(works, [used_by("a", 16, 100.0)], RuleMemory(), 1002.0) == ["a", "a"]


@pytest.mark.parametrize(
    ("quiet", "order"),
    [
        # About equal time pressure: the account with less use goes first.
        (dict(accepted_s=1001.9), ["quiet", "burst"]),
        # The bound: more than 2 s later it waits for its turn.
        (dict(accepted_s=1002.1), ["burst", "quiet"]),
        # Shares never change the order between priorities.
        (dict(accepted_s=1001.0, priority=1), ["quiet", "burst"]),
    ],
)
def test_bound_of_the_effect(quiet: dict[str, float], order: list[str]) -> None:
    """Shares alone must delay a job by at most 2 s.

    Load: an account that uses the whole pool and a quiet one with one job each.
    """
    works = [waiting("burst", 1000.0), waiting("quiet", **quiet)]  # type: ignore[arg-type]
    assert ranked(works, [used_by("burst", 16, 500.0)], RuleMemory(), 1003.0) == order


@pytest.mark.parametrize("priority", [0, 1])
def test_no_effect_across_priorities(priority: int) -> None:
    """An account with much use must not lose its urgent jobs to batches of others.

    Load: a busy account with a job of a higher priority, beside a batch of a quiet one.
    """
    works = [waiting("quiet", 1000.0), waiting("burst", 1000.0, priority)]
    assert ranked(works, [used_by("burst", 16, 100.0)], RuleMemory(), 1001.0)[0] == "burst"


def test_covered_work_is_not_moved() -> None:
    """A guarantee must not be weakened by shares.

    Load: a busy account with a covered job, beside a covered job of a quiet one 0.5 s later.
    """
    works = [waiting("burst", 1000.0, 0), waiting("quiet", 1000.5, 0)]
    for work in works:
        work.is_guaranteed = True
    running = [used_by("burst", 16, 100.0)]
    assert ranked(works, running, RuleMemory(), 1001.0) == ["burst", "quiet"]


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 10), st.integers(0, 2)), max_size=8),
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 16), st.floats(0, 99)), max_size=4),
)
def test_nobody_is_passed_beyond_the_bound(
    jobs: list[tuple[str, float, int]], use: list[tuple[str, int, float]]
) -> None:
    """Work must never be ranked behind equal work whose latest start is more than 2 s later.

    Load: any jobs of three accounts with any use of the pool.
    """
    works = [waiting(a, 1000 + t, p, f"{i}") for i, (a, t, p) in enumerate(jobs)]
    running = [used_by(*entry) for entry in use]
    view = RoundView(make_workers(RACKS), running, 1010.0, StartLimits(), RuleMemory())
    order = FairLatestStartRanking(view).order(works)
    assert sorted(map(id, order)) == sorted(map(id, works))
    for first, second in itertools.combinations(order, 2):
        *before, first_start_s = first.rank(1010.0)
        *after, second_start_s = second.rank(1010.0)
        assert before <= after
        assert before != after or first_start_s <= second_start_s + MAX_SHARE_DELAY_S


class Fleet:
    """Runs single tasks of several accounts on 16 accelerators in rounds of a quarter second."""

    def __init__(self, ranking: str) -> None:
        self.rules = SchedulingRules(ranking=ranking)
        self.memory = RuleMemory()
        self.now_s = 1000.0
        self.waiting: list[WaitingWork] = []
        self.running: list[tuple[WaitingWork, str, float]] = []
        self.late: dict[str, int] = {}

    def step(self) -> None:
        """Ends what is done and plays one round."""
        for work, _, started_s in self.running:
            if self.now_s >= started_s + work.step.estimate_s:
                account, graph = work.graph.graph.client_account, work.graph.graph
                is_late = self.now_s > work.graph.accepted_s + graph.objective_s() + 0.25
                self.late[account] = self.late.get(account, 0) + is_late
        self.running = [run for run in self.running if self.now_s < run[2] + run[0].step.estimate_s]
        workers = make_workers(RACKS)
        running = [
            self._running_work(workers, work, name, started) for work, name, started in self.running
        ]
        round_ = PlacementRound(
            workers, running, self.now_s, StartLimits(), True, self.rules, self.memory
        )
        plan = round_.run(self.waiting)
        by_task = {work.task(0): work for work in self.waiting}
        for assignment in plan.assignments:
            work = by_task[assignment.run.task]
            self.running.append((work, assignment.worker_id, self.now_s))
            self.waiting.remove(work)
        self.now_s += 0.25

    def _running_work(
        self, workers: list[WorkerCapacity], work: WaitingWork, worker_id: str, started_s: float
    ) -> RunningWork:
        running = make_running(
            workers,
            [(worker_id, ONE)],
            graph_id=work.graph.graph.graph_id,
            elapsed_s=self.now_s - started_s,
            percent=-1,
        )
        running.client_account = work.graph.graph.client_account
        return running


def play(ranking: str, new_leader_at_s: float = -1.0) -> dict[str, int]:
    """Returns the late jobs by account.

    Load: one account submits 16 tasks of 8 s and, a second later, 42 more, at a pool of 16
    accelerators. Nine quiet accounts submit a task each 1.5 s after that. Objectives are 27 s.
    """
    fleet = Fleet(ranking)
    for tick in range(4 * 60):
        second = tick / 4
        if second in (0.0, 1.0):
            count = 16 if second == 0.0 else 42
            fleet.waiting += [
                waiting("burst", fleet.now_s, graph_id=f"burst{second}-{n}") for n in range(count)
            ]
        if second == 2.5:
            fleet.waiting += [waiting(f"quiet{n}", fleet.now_s) for n in range(9)]
        if second == new_leader_at_s:
            fleet.memory = RuleMemory()
        fleet.step()
    assert not fleet.waiting and not fleet.running
    return fleet.late


@pytest.mark.parametrize("new_leader_at_s", [-1.0, 2.0, 9.0, 17.0])
def test_burst_beside_quiet_accounts(new_leader_at_s: float) -> None:
    """A burst of one account must not make the jobs of nine quiet ones late.

    A new leader in the middle, which begins without a memory, must keep to this. The load is that
    of `play`; without shares the quiet accounts are late, since the burst came first.
    """
    late = play("fair_latest_start", new_leader_at_s)
    assert {account: n for account, n in late.items() if account != "burst"} == {
        f"quiet{n}": 0 for n in range(9)
    }
    without = play("latest_start")
    assert sum(n for account, n in without.items() if account != "burst") > 0
    assert sum(late.values()) <= sum(without.values())
