"""What the leader tells of the graphs and queues that it serves."""

from collections.abc import Iterator
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.control.graphs.queue_gauges import register_queue_gauges
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_world import GraphWorld

GRAPH = f"{1:016x}"
OTHER = f"{2:016x}"
SMALL = (Step(2, Resources(1000, 500, 1), 2.0),)
WHOLE = (Step(1, Resources(8000, 8000, 8), 2.0),)
BOTH = (Step(2, Resources(8000, 8000, 8), 2.0, is_gang=True),)
HUGE = (Step(1, Resources(1000, 500, 9), 2.0),)
# Agents join, orders and ends take their way, leases of lost workers end.
JOIN_S = 2.0
WORK_S = 6.0
LEASES_S = 12.0


@pytest.fixture
def world() -> Iterator[GraphWorld]:
    world = GraphWorld(seed=1, size=2)
    world.advance(JOIN_S)
    yield world
    world.close()


@pytest.fixture
def lines() -> Iterator[list[Any]]:
    with capture_logs() as captured:
        yield captured


def ended(lines: list[Any]) -> list[Any]:
    return [line for line in lines if line["event"] == "graph ended"]


def metrics(world: GraphWorld) -> str:
    return world.leader.metrics.render_text()


def test_end_of_a_calm_graph(world: GraphWorld, lines: list[Any]) -> None:
    """A job that was late left no line that says how long it waited and how long it ran."""
    world.submit(GRAPH, SMALL)
    world.advance(WORK_S)
    (line,) = ended(lines)
    assert (line["graph"], line["queue"], line["outcome"]) == (GRAPH, "batch", "on_time")
    assert 0.0 <= line["first_start_s"] < 1.0 < world.finish_s < line["end_s"] < WORK_S
    assert line["objective_s"] == 4.0 * 2.0 + 1.0
    assert (line["attempts"], line["runs"]) == (1, 2)
    assert line["counted_from_s"] < 0.1
    assert not any(line[name] for name in ("displaced", "evacuated", "lapsed", "lost", "failed"))
    text = metrics(world)
    assert 'cicadatray_graphs_ended_total{queue="batch",outcome="on_time"} 1\n' in text
    assert 'cicadatray_graph_start_seconds_count{queue="batch"} 1\n' in text
    assert 'cicadatray_graph_end_seconds_count{queue="batch"} 1\n' in text
    assert 'cicadatray_queue_runs_ended_total{queue="batch",outcome="done"} 2\n' in text


def test_late_graph_is_told_as_late(world: GraphWorld, lines: list[Any]) -> None:
    """A queue that ends all its jobs too late must not look well served."""
    world.finish_s = 30.0
    world.submit(GRAPH, SMALL)
    world.advance(35.0)
    (line,) = ended(lines)
    assert line["outcome"] == "too_late"
    assert 'graphs_ended_total{queue="batch",outcome="too_late"} 1\n' in metrics(world)


def test_failed_graph_tells_its_attempts(world: GraphWorld, lines: list[Any]) -> None:
    """A job that failed on every attempt was told apart from others by counting lines only."""
    world.failing = {worker.name for worker in world.workers}
    world.submit(GRAPH, WHOLE)
    world.advance(LEASES_S)
    (line,) = ended(lines)
    assert (line["outcome"], line["attempts"], line["failed"]) == ("failed", 3, 3)
    assert line["failure"] == "task 0.0.0 failed 3 times"
    text = metrics(world)
    assert 'cicadatray_queue_runs_ended_total{queue="batch",outcome="failed"} 3\n' in text
    assert "cicadatray_graph_end_seconds" not in text


def test_graph_that_is_cancelled_again_is_told_once(world: GraphWorld, lines: list[Any]) -> None:
    """A client repeats its cancellation, and runs end after it."""
    world.submit(GRAPH, SMALL)
    world.advance(1.0)
    world.cancel(GRAPH)
    world.cancel(GRAPH)
    world.advance(WORK_S)
    (line,) = ended(lines)
    assert line["outcome"] == "cancelled"
    assert 'queue_runs_ended_total{queue="batch",outcome="stopped"} 2\n' in metrics(world)


def test_displaced_runs_count_for_their_queue(world: GraphWorld, lines: list[Any]) -> None:
    """Work that gives way again and again looked like work that takes long."""
    world.finish_s = 8.0
    world.submit(GRAPH, BOTH)
    world.advance(2.0)
    world.submit(OTHER, WHOLE, urgent=True)
    world.advance(40.0)
    by_graph = {line["graph"]: line for line in ended(lines)}
    assert by_graph[GRAPH]["displaced"] == 2
    assert by_graph[GRAPH]["attempts"] == 2
    assert by_graph[OTHER]["displaced"] == 0
    text = metrics(world)
    assert 'cicadatray_queue_runs_displaced_total{queue="batch",reason="displaced"} 2\n' in text
    assert 'cicadatray_runs_displaced_total{reason="displaced"} 2\n' in text


def test_lost_runs_count_for_their_queue(world: GraphWorld, lines: list[Any]) -> None:
    """A job whose worker was cut off waited for the lease to end, which no line of it told."""
    # Longer than the lease that the cut-off worker still has.
    world.finish_s = 9.0
    world.submit(GRAPH, BOTH)
    world.advance(1.0)
    world.cut_agent(0)
    world.advance(LEASES_S)
    world.heal()
    world.advance(2 * LEASES_S)
    (line,) = ended(lines)
    assert line["lost"] >= 1
    assert line["attempts"] == 2


def test_new_leader_says_from_when_it_counted(world: GraphWorld, lines: list[Any]) -> None:
    """Counts of a leader that took over later were read as those of the whole job."""
    world.finish_s = 4.0
    world.submit(GRAPH, SMALL)
    world.advance(2.0)
    world.change_leader()
    world.advance(LEASES_S)
    (line,) = ended(lines)
    assert line["counted_from_s"] >= 1.9
    assert line["first_start_s"] is None


def test_reason_of_a_waiting_queue_is_logged_once(world: GraphWorld, lines: list[Any]) -> None:
    """A round every 0.25 s must not repeat why a queue waits."""
    world.submit(GRAPH, HUGE)
    world.submit(OTHER, SMALL, urgent=True)
    world.advance(10.0)
    waits = [line for line in lines if line["event"] == "queue waits"]
    assert [(line["queue"], line["graph"], line["reason"]) for line in waits] == [
        ("batch", GRAPH, "does not fit even when all workers are empty")
    ]
    world.cancel(GRAPH)
    world.advance(2.0)
    assert [line["queue"] for line in lines if line["event"] == "queue waits no more"] == ["batch"]
    name = "cicadatray_queue_blocked_seconds_total"
    (sample,) = [line for line in metrics(world).splitlines() if line.startswith(name)]
    assert 9.0 < float(sample.rpartition(" ")[2]) < 12.0


def test_gauges_show_the_present_tasks(world: GraphWorld) -> None:
    """A gauge that is written in each round keeps its last value when leadership ends."""
    registry = MetricsRegistry()
    present: list[Any] = [world.leader.graph_session]
    register_queue_gauges(registry, lambda: present[0])
    world.finish_s = 20.0
    for number in range(1, 6):
        world.submit(f"{number:016x}", WHOLE)
    world.advance(3.0)
    text = registry.render_text()
    assert 'cicadatray_tasks_waiting{queue="batch"} 3\n' in text
    assert 'cicadatray_tasks_running{queue="batch"} 2\n' in text
    assert 'cicadatray_tasks_waiting{queue="urgent"} 0\n' in text
    present[0] = None
    assert "cicadatray_tasks_running{" not in registry.render_text()
