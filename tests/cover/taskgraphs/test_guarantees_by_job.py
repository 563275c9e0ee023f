"""Which urgent jobs of an account its guarantee covers, under `by_job`."""

import itertools
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cicadatray.internal.control.control_state import ControlState
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.by_account import cover_by_account
from cicadatray.scheduling.taskgraphs.rules.by_job import cover_by_job
from cicadatray.scheduling.taskgraphs.rules.guarantee_rule import demand_of_graph
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition
from cicadatray.scheduling.taskgraphs.task_id import TaskId
from cover.taskgraphs.placement_helpers import make_graph

ACCOUNT = "account"


def job(
    name: str, accelerators: int, accepted_s: float, priority: int = 0, occurrences: int = 1
) -> GraphProgress:
    """Returns a job with one gang of two tasks that need half of the accelerators each."""
    needs = Resources(1000, 1000, accelerators // 2)
    progress = make_graph(name, Step(2, needs, 4.0, is_gang=True), priority, accepted_s)
    if occurrences > 1:
        repetition = Repetition(occurrences, accepted_s, 10.0)
        progress.graph = msgspec.structs.replace(progress.graph, repetition=repetition)
    return progress


def begin(progress: GraphProgress) -> None:
    """Starts both tasks of a job."""
    for index in range(2):
        progress.record_start(TaskId(progress.graph.graph_id, 0, 0, index), 1, f"w{index}")


def cover(guarantee: int, *jobs: GraphProgress) -> set[str]:
    return cover_by_job(jobs, {ACCOUNT: guarantee})


@pytest.mark.parametrize(
    ("guarantee", "demands", "covered"),
    [
        (16, (8, 8), "ab"),
        (16, (8, 8, 8), "ab"),
        (16, (10, 10), "a"),
        # The second never fits, so it holds up nothing.
        (16, (8, 20, 8), "ac"),
        # There is room for the third beside the first as well as beside the second.
        (16, (8, 12, 4), "ac"),
        # Once the first has ended, the second needs what the third would have got.
        (16, (8, 12, 6), "a"),
        (16, (8, 2, 12, 4), "ab"),
        (0, (2,), ""),
        (0, (0,), "a"),
        (-1, (0,), ""),
    ],
)
def test_order_and_gaps(guarantee: int, demands: tuple[int, ...], covered: str) -> None:
    """A burst beyond its guarantee must not lose the cover of the jobs that came first.

    Load: urgent gangs of one account that are accepted a second apart.
    """
    jobs = [job("abcd"[i], demand, float(i)) for i, demand in enumerate(demands)]
    assert cover(guarantee, *jobs) == set(covered)


def test_burst_keeps_what_the_former_rule_drops() -> None:
    """One urgent job too many must not take the guarantee from those that run.

    Load: two running gangs of 8 within a guarantee of 16, and a third one.
    """
    jobs = [job("a", 8, 0.0), job("b", 8, 1.0), job("c", 8, 2.0)]
    begin(jobs[0])
    begin(jobs[1])
    assert cover_by_account(jobs, {ACCOUNT: 16}) == set()
    assert cover(16, *jobs) == {"a", "b"}


def test_a_job_that_begins_takes_no_cover() -> None:
    """A covered job that waits must not lose its cover to a later one that competed and began.

    Load: two gangs of 8 beside a guarantee of 8; the second finds free workers first.
    """
    first, second = job("a", 8, 0.0), job("b", 8, 1.0)
    begin(second)
    assert cover(8, first, second) == {"a"}


@pytest.mark.parametrize("end", ["is_cancelled", "failure", "ended_s"])
def test_cover_passes_on_at_the_end(end: str) -> None:
    """The cover of a job must be free for the next one as soon as it ends, however it ends.

    Load: two gangs of 8 beside a guarantee of 8.
    """
    first, second = job("a", 8, 0.0), job("b", 8, 1.0)
    setattr(first, end, {"is_cancelled": True, "failure": "failed", "ended_s": 5.0}[end])
    assert cover(8, first, second) == {"b"}


def test_repeated_job_keeps_its_cover_between_its_turns() -> None:
    """A repeated job must not lose its cover in a pause, when nothing of it runs.

    Load: two occurrences of a gang of 4, and later gangs of 8 and 4 beside a guarantee of 12.
    """
    repeated = job("a", 4, 0.0, occurrences=2)
    others = [job("b", 8, 1.0), job("c", 4, 2.0)]
    assert cover(12, repeated, *others) == {"a", "c"}
    begin(repeated)
    assert cover(12, repeated, *others) == {"a", "c"}


@pytest.mark.parametrize("priority", [1, 2])
def test_only_urgent_jobs_are_covered(priority: int) -> None:
    """Batches of an account must neither be covered nor use up its guarantee.

    Load: a batch accepted before an urgent gang that fills the guarantee.
    """
    assert cover(8, job("a", 8, 0.0, priority), job("b", 8, 1.0)) == {"b"}


DEMANDS = st.lists(st.integers(0, 12).map(lambda n: 2 * n), max_size=8)
GUARANTEES = st.integers(0, 40)


@settings(derandomize=True, deadline=None)
@given(DEMANDS, GUARANTEES)
def test_covered_demand_within_the_guarantee(demands: list[int], guarantee: int) -> None:
    """Covered work displaces others, so it must never need more than the guarantee.

    Load: any urgent gangs of one account.
    """
    jobs = [job(str(i), demand, float(i)) for i, demand in enumerate(demands)]
    covered = cover(guarantee, *jobs)
    assert sum(demand_of_graph(j) for j in jobs if j.graph.graph_id in covered) <= guarantee
    if sum(demands) <= guarantee:
        assert len(covered) == len(jobs)


@settings(derandomize=True, deadline=None)
@given(DEMANDS, GUARANTEES, st.integers(0, 12), st.randoms(use_true_random=False))
def test_one_more_job_and_another_leader(
    demands: list[int], guarantee: int, more: int, random: Random
) -> None:
    """One more job must uncover none, and a new leader must find the same cover.

    Load: any urgent gangs of one account, accepted by leaders whose clocks differ, in a state that
    a new leader restores from a snapshot.
    """
    names = [str(number) for number in range(len(demands) + 1)]
    random.shuffle(names)
    jobs = [
        job(name, demand, random.uniform(0.0, 9.0))
        for name, demand in zip(names, demands, strict=False)
    ]
    covered = cover(guarantee, *jobs)
    state, restored = ControlState(), ControlState()
    state.graphs.graphs = {progress.graph.graph_id: progress for progress in jobs}
    restored.restore(state.snapshot())
    restored_jobs = list(restored.graphs.graphs.values())
    assert cover(guarantee, *restored_jobs) == covered
    last = job(names[-1], 2 * more, random.uniform(0.0, 9.0))
    assert covered <= cover(guarantee, *restored_jobs, last)


def test_slow_clock_of_a_new_leader_uncovers_nothing() -> None:
    """A job must not lose its cover to one that was accepted later, but has an earlier time."""
    running, later = job("b", 10, 100.0), job("a", 10, 99.5)
    begin(running)
    assert cover(16, running, later) == {"b"}


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 6).map(lambda n: 2 * n), max_size=5), st.integers(0, 20))
def test_no_rule_could_cover_more(demands: list[int], guarantee: int) -> None:
    """A job must not be left uncovered without need.

    Each uncovered job has earlier ones that fill the guarantee so far that both parts of the
    promise, full cover of these and cover of the job until its end, contradict each other.
    """
    jobs = [job(str(i), demand, float(i)) for i, demand in enumerate(demands)]
    covered = cover(guarantee, *jobs)
    for number, demand in enumerate(demands):
        sums = {
            sum(chosen)
            for size in range(number + 1)
            for chosen in itertools.combinations(demands[:number], size)
        }
        conflicts = [n for n in sums if n <= guarantee < n + demand]
        assert (str(number) in covered) is not bool(conflicts)


class CoverMachine(RuleBasedStateMachine):
    """Accepts, begins and ends urgent jobs of one account, and follows what is covered."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.jobs: dict[str, GraphProgress] = {}
        self.covered: set[str] = set()

    def _pick(self, number: int) -> GraphProgress:
        return list(self.jobs.values())[number % len(self.jobs)]

    @rule(half=st.integers(0, 10), occurrences=st.integers(1, 2))
    def accept(self, half: int, occurrences: int) -> None:
        self.now_s += 1.0
        name = f"{len(self.jobs) * 7 % 10}-{self.now_s}"
        # The clocks of successive leaders differ by up to 3 s.
        accepted_s = self.now_s - len(self.jobs) * 5 % 4
        self.jobs[name] = job(name, 2 * half, accepted_s, occurrences=occurrences)

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(0, 50))
    def begin(self, number: int) -> None:
        begin(self._pick(number))

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(0, 50), is_cancelled=st.booleans())
    def end(self, number: int, is_cancelled: bool) -> None:
        progress = self._pick(number)
        progress.is_cancelled, progress.ended_s = is_cancelled, self.now_s

    @invariant()
    def covered_until_the_end(self) -> None:
        """What is covered stays covered until it ends, whatever the account's other jobs do."""
        active = {name for name, progress in self.jobs.items() if progress.is_active}
        covered = cover(20, *self.jobs.values())
        assert self.covered & active <= covered <= active
        assert sum(demand_of_graph(self.jobs[name]) for name in covered) <= 20
        self.covered = covered


CoverMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
TestCoverMachine = CoverMachine.TestCase
