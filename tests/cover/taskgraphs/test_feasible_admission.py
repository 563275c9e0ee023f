"""Which jobs the rule `feasible` refuses, and what it knows of the pool."""

from collections.abc import Iterator
from random import Random

import msgspec
import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs import known_capacity
from cicadatray.internal.control.graphs.graph_session import AGENTS_RETURN_S
from cicadatray.internal.control.graphs.known_capacity import SETTLING_S, KnownCapacity
from cicadatray.internal.wire.messages.graph_messages import WorkerOffer
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.admission_view import AdmissionView
from cicadatray.scheduling.taskgraphs.rules.feasible import refuse_infeasible
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_fit import fit_tasks, total_capacity
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity
from cover.taskgraphs.placement_helpers import CAPACITY, ONE, WHOLE, make_graph
from cover.taskgraphs.test_graph_session import call, make_session

SMALL = Resources(16_000, 32_000, 2)
TWO = Resources(5_000, 8_000, 2)
# Three workers: a large one with the label "a", a large one and a small one with the label "s".
VIEW = AdmissionView(
    0.0,
    {"x": CAPACITY, "y": CAPACITY, "z": SMALL},
    {"x": frozenset("a"), "y": frozenset(), "z": frozenset("s")},
)


@pytest.mark.parametrize(
    ("step", "refused"),
    [
        (Step(1, WHOLE, 1.0), ""),
        (Step(1, Resources(1000, 1000, 9), 1.0), "a task needs"),
        (Step(1, Resources(65_000, 1000, 0), 1.0), "a task needs"),
        (Step(1, Resources(1000, 129_000, 0), 1.0), "a task needs"),
        # A filler is charged no processors.
        (Step(1, Resources(65_000, 1000, 1), 1.0, is_filler=True), ""),
        # Single tasks run one after the other.
        (Step(500, WHOLE, 1.0), ""),
        (Step(18, ONE, 1.0, is_gang=True), ""),
        (Step(19, ONE, 1.0, is_gang=True), "could hold 18"),
        (Step(2, WHOLE, 1.0, is_gang=True), ""),
        (Step(3, WHOLE, 1.0, is_gang=True), "could hold 2"),
        (Step(5, ONE, 1.0, is_gang=True, max_per_worker=2), ""),
        (Step(7, ONE, 1.0, is_gang=True, max_per_worker=2), "could hold 6"),
        (Step(0, ONE, 1.0, is_gang=True), ""),
        (Step(500, Resources(), 1.0, is_gang=True), ""),
        # A gang that does not fit into a rack runs outside after a while.
        (Step(18, ONE, 1.0, is_gang=True, is_rack_local=True, data_rack="none"), ""),
        (Step(1, WHOLE, 1.0, required_label="a"), ""),
        (Step(1, WHOLE, 1.0, required_label="s"), "1 workers"),
        (Step(3, ONE, 1.0, is_gang=True, required_label="s"), "could hold 2"),
        # Workers with the label may still come, and their capacity is unknown.
        (Step(99, WHOLE, 1.0, is_gang=True, required_label="new"), ""),
    ],
)
def test_refusals(step: Step, refused: str) -> None:
    """A job that can never run must not wait for ever, and no other one may be refused."""
    refusal = refuse_infeasible(make_graph("g", step, 1).graph, VIEW)
    if not refused:
        assert refusal is None
    else:
        assert refusal is not None and refused in refusal.reason
        assert refusal.retry_after_s is None
    assert refuse_infeasible(make_graph("g", step, 1).graph, AdmissionView(0.0)) is None


def test_cost_of_a_job_with_many_steps(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a job whose acceptance looks at all workers for each of its steps."""
    fits = 0
    fit_count = Resources.fit_count

    def counted(demand: Resources, available: Resources) -> int:
        nonlocal fits
        fits += 1
        return fit_count(demand, available)

    monkeypatch.setattr(Resources, "fit_count", counted)
    capacities = {f"a{number}": (WHOLE, CAPACITY)[number % 2] for number in range(100)}
    view = AdmissionView(0.0, capacities, {})
    steps = tuple(Step(1 + number % 3, ONE, 1.0, is_gang=True) for number in range(200))
    graph = msgspec.structs.replace(make_graph("g", steps[0], 1).graph, steps=steps)
    assert refuse_infeasible(graph, view) is None
    # Three shapes of steps and at most two capacities.
    assert fits <= 6
    steps = tuple(Step(1, Resources(1 + number), 1.0) for number in range(200))
    assert refuse_infeasible(msgspec.structs.replace(graph, steps=steps), view) is None
    assert fits <= 6 + 2 * 200


def steps_and_views(random: Random) -> Iterator[tuple[Step, AdmissionView]]:
    for _ in range(400):
        view = AdmissionView(
            0.0,
            {f"w{n}": random.choice((CAPACITY, SMALL)) for n in range(random.randint(1, 4))},
        )
        needs = Resources(random.choice((0, 5_000, 30_000, 70_000)), 1000, random.randint(0, 9))
        step = Step(random.randint(1, 12), needs, 1.0, is_gang=random.random() < 0.7)
        yield step, view


def test_only_what_cannot_be_placed_is_refused() -> None:
    """A job that the placement could start on empty workers must never be refused.

    Load: 400 random gangs and tasks on up to four empty workers of two sizes.
    """
    refused = 0
    for step, view in steps_and_views(Random(5)):
        workers = [
            WorkerCapacity(name, "pool", "r", frozenset(), capacity)
            for name, capacity in view.largest_workers.items()
        ]
        count = step.count if step.is_gang else 1
        fits = fit_tasks(workers, step.demand, count, total_capacity) is not None
        refusal = refuse_infeasible(make_graph("g", step, 1).graph, view)
        assert (refusal is None) is fits
        refused += refusal is not None
    assert 50 < refused < 350


def offer(worker_id: str = "w-1", pool: str = "pool", capacity: Resources = SMALL) -> WorkerOffer:
    return WorkerOffer(worker_id, pool, "d0", "r0", ("a",), capacity)


def test_capacity_is_kept_by_agent() -> None:
    """A worker that restarts must not count twice, nor lose what it had before.

    Load: one agent whose worker restarts with other resources, and one in another pool.
    """
    known = KnownCapacity()
    known.record("x", offer("w-1", capacity=Resources(8_000, 64_000, 2)), 1.0)
    known.record("x", offer("w-2", capacity=Resources(16_000, 32_000, 1)), 2.0)
    known.record("y", offer("v-1", "other"), 3.0)
    assert known.capacities("pool") == {"x": Resources(16_000, 64_000, 2)}
    assert known.capacities("other") == {"y": SMALL}
    assert known.labels("pool") == {"x": frozenset("a")}


@pytest.mark.parametrize(
    ("calls", "now_s", "settled"),
    [
        ((), 100.0, False),
        ((("x", 0.0),), SETTLING_S - 0.1, False),
        ((("x", 0.0),), SETTLING_S, True),
        ((("x", 0.0), ("y", 3.0)), SETTLING_S, False),
        ((("x", 0.0), ("x", 4.0)), SETTLING_S, True),
    ],
)
def test_settling(calls: tuple[tuple[str, float], ...], now_s: float, settled: bool) -> None:
    """No job may be refused while the workers of its pool are still calling for the first time.

    Load: a pool whose agents start, or return to a new leader, one after the other.
    """
    known = KnownCapacity()
    for agent, called_s in calls:
        known.record(agent, offer(), called_s)
    assert known.is_settled("pool", now_s) is settled


def test_pool_that_gets_a_label_is_not_settled() -> None:
    """A gang must not be refused while workers restart one after the other with its label.

    Load: two agents of which one offers the label "new" long after the first calls.
    """
    known = KnownCapacity()
    for agent in ("x", "y"):
        known.record(agent, offer(), 0.0)
    labelled = msgspec.structs.replace(offer("w-2"), labels=("a", "new"))
    known.record("x", labelled, 100.0)
    assert not known.is_settled("pool", 101.0)
    known.record("x", labelled, 103.0)
    assert known.is_settled("pool", 100.0 + SETTLING_S)


def test_number_of_agents_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Instances that are replaced every day must not fill the leader's memory.

    Load: ten agents of which the first one keeps calling.
    """
    monkeypatch.setattr(known_capacity, "MAX_AGENTS", 3)
    known = KnownCapacity()
    for number in range(10):
        known.record(f"a{number}", offer(), number)
        known.record("a0", offer(), number)
    assert set(known.capacities("pool")) == {"a0", "a8", "a9"}


@pytest.mark.parametrize(
    ("worker_id", "after_s", "recorded", "known"),
    [
        ("w-1", SETTLING_S + 0.1, {}, 1),
        ("w-1", AGENTS_RETURN_S, {}, 0),
        # Runs are recorded on the worker w-1, which has not called this leader.
        ("v-1", SETTLING_S + 0.1, {}, 0),
        ("w-1", SETTLING_S + 0.1, {"w-9": "a"}, 1),
        # The agent b had runs under an earlier leader and has not called this one.
        ("w-1", SETTLING_S + 0.1, {"w-9": "b"}, 0),
    ],
)
def test_new_leader_refuses_nothing_yet(
    worker_id: str, after_s: float, recorded: dict[str, str], known: int
) -> None:
    """A new leader must not refuse a job for lack of workers that have not called it yet.

    Load: a leader whose log has a gang on the worker w-1 of the agent a.
    """

    async def main() -> AdmissionView:
        session, _ = make_session()
        former = call(worker_id)
        agent = (
            former
            if worker_id == "w-1"
            else type(former)(agent_id="b", sequence=1, agent_incarnation="one", offer=former.offer)
        )
        session.handle_sync(agent)
        session.leader.state.graphs.agents.update(recorded)
        session.leader.started_s = session.now_s() - after_s
        session.admission.capacity.grown_s["pool"] = session.now_s() - after_s
        return session.admission.view("pool")

    assert len(run_virtual(main()).largest_workers) == known
