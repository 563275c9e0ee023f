"""Log lines and metrics of graphs and queues."""

from collections.abc import Iterator
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.control.graphs.queue_gauges import register_queue_gauges
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.taskgraphs.graph_simulation import GraphSimulation

GRAPH = f"{1:016x}"
OTHER = f"{2:016x}"
SMALL = (Step(2, Resources(1000, 500, 1), 2.0),)
WHOLE = (Step(1, Resources(8000, 8000, 8), 2.0),)
BOTH = (Step(2, Resources(8000, 8000, 8), 2.0, is_gang=True),)
HUGE = (Step(1, Resources(1000, 500, 9), 2.0),)
# Time for agents to join, for runs to start and end, and for leases of lost workers to expire.
JOIN_S = 2.0
WORK_S = 6.0
LEASES_S = 15.0


@pytest.fixture
def simulation() -> Iterator[GraphSimulation]:
    simulation = GraphSimulation(seed=1, size=2)
    simulation.advance(JOIN_S)
    yield simulation
    simulation.close()


@pytest.fixture
def lines() -> Iterator[list[Any]]:
    with capture_logs() as captured:
        yield captured


def ended(lines: list[Any]) -> list[Any]:
    return [line for line in lines if line["event"] == "graph ended"]


def metrics(simulation: GraphSimulation) -> str:
    return simulation.leader.metrics.render_text()


def test_end_of_an_undisturbed_graph(simulation: GraphSimulation, lines: list[Any]) -> None:
    """The log line of a graph's end reports how long it waited and how long it took."""
    simulation.submit(GRAPH, SMALL)
    simulation.advance(WORK_S)
    (line,) = ended(lines)
    assert (line["graph"], line["queue"], line["outcome"]) == (GRAPH, "batch", "on_time")
    assert 0.0 <= line["first_start_s"] < 1.0 < simulation.task_duration_s < line["end_s"] < WORK_S
    assert line["objective_s"] == 4.0 * 2.0 + 1.0
    assert (line["attempts"], line["runs"]) == (1, 2)
    assert line["counted_from_s"] < 0.1
    assert not any(line[name] for name in ("displaced", "evacuated", "lapsed", "lost", "failed"))
    text = metrics(simulation)
    assert 'cicadatray_graphs_ended_total{queue="batch",outcome="on_time"} 1\n' in text
    assert 'cicadatray_graph_start_seconds_count{queue="batch"} 1\n' in text
    assert 'cicadatray_graph_end_seconds_count{queue="batch"} 1\n' in text
    assert 'cicadatray_queue_runs_ended_total{queue="batch",outcome="done"} 2\n' in text


def test_late_graph_is_reported_as_late(simulation: GraphSimulation, lines: list[Any]) -> None:
    """A graph that is done too late must not count as on time."""
    simulation.task_duration_s = 30.0
    simulation.submit(GRAPH, SMALL)
    simulation.advance(35.0)
    (line,) = ended(lines)
    assert line["outcome"] == "too_late"
    assert 'graphs_ended_total{queue="batch",outcome="too_late"} 1\n' in metrics(simulation)


def test_failed_graph_reports_its_attempts(simulation: GraphSimulation, lines: list[Any]) -> None:
    """The line of a graph that failed reports its attempts, so that lines need not be counted."""
    simulation.failing_workers = {worker.name for worker in simulation.workers}
    simulation.submit(GRAPH, WHOLE)
    simulation.advance(LEASES_S)
    (line,) = ended(lines)
    assert (line["outcome"], line["attempts"], line["failed"]) == ("failed", 3, 3)
    assert line["failure"] == "task 0.0.0 failed 3 times"
    text = metrics(simulation)
    assert 'cicadatray_queue_runs_ended_total{queue="batch",outcome="failed"} 3\n' in text
    assert "cicadatray_graph_end_seconds" not in text


def test_graph_that_is_cancelled_again_is_logged_once(
    simulation: GraphSimulation, lines: list[Any]
) -> None:
    """A repeated cancellation, and runs that end after it, must not log the end again."""
    simulation.submit(GRAPH, SMALL)
    simulation.advance(1.0)
    simulation.cancel(GRAPH)
    simulation.cancel(GRAPH)
    simulation.advance(WORK_S)
    (line,) = ended(lines)
    assert line["outcome"] == "cancelled"
    assert 'queue_runs_ended_total{queue="batch",outcome="stopped"} 2\n' in metrics(simulation)


def test_displaced_runs_count_for_their_queue(
    simulation: GraphSimulation, lines: list[Any]
) -> None:
    """Displaced runs must be distinguishable from work that takes long."""
    simulation.task_duration_s = 8.0
    simulation.submit(GRAPH, BOTH)
    simulation.advance(2.0)
    simulation.submit(OTHER, WHOLE, urgent=True)
    simulation.advance(40.0)
    by_graph = {line["graph"]: line for line in ended(lines)}
    assert by_graph[GRAPH]["displaced"] == 2
    assert by_graph[GRAPH]["attempts"] == 2
    assert by_graph[OTHER]["displaced"] == 0
    text = metrics(simulation)
    assert 'cicadatray_queue_runs_displaced_total{queue="batch",reason="displaced"} 2\n' in text
    assert 'cicadatray_runs_displaced_total{reason="displaced"} 2\n' in text


def test_lost_runs_count_for_their_queue(simulation: GraphSimulation, lines: list[Any]) -> None:
    """Waiting for the lease of a cut-off worker must show in the line of the graph."""
    # Longer than the lease that the cut-off worker still has.
    simulation.task_duration_s = LEASES_S
    simulation.submit(GRAPH, BOTH)
    simulation.advance(1.0)
    simulation.cut_agent(0)
    simulation.advance(LEASES_S)
    simulation.heal()
    simulation.advance(2 * LEASES_S)
    (line,) = ended(lines)
    assert line["lost"] >= 1
    assert line["attempts"] == 2


def test_new_leader_reports_from_when_it_counted(
    simulation: GraphSimulation, lines: list[Any]
) -> None:
    """Counts of a leader that took over later must not be taken for those of the whole graph."""
    simulation.task_duration_s = 4.0
    simulation.submit(GRAPH, SMALL)
    simulation.advance(2.0)
    simulation.change_leader()
    simulation.advance(LEASES_S)
    (line,) = ended(lines)
    assert line["counted_from_s"] >= 1.9
    assert line["first_start_s"] is None


def test_reason_of_a_waiting_queue_is_logged_once(
    simulation: GraphSimulation, lines: list[Any]
) -> None:
    """Rounds run every 0.25 s and must not repeat the wait reason of a queue."""
    simulation.submit(GRAPH, HUGE)
    simulation.submit(OTHER, SMALL, urgent=True)
    simulation.advance(10.0)
    waits = [line for line in lines if line["event"] == "queue waits"]
    assert [(line["queue"], line["graph"], line["reason"]) for line in waits] == [
        ("batch", GRAPH, "does not fit even when all workers are empty")
    ]
    simulation.cancel(GRAPH)
    simulation.advance(2.0)
    assert [line["queue"] for line in lines if line["event"] == "queue no longer waits"] == [
        "batch"
    ]
    name = "cicadatray_queue_blocked_seconds_total"
    (sample,) = [line for line in metrics(simulation).splitlines() if line.startswith(name)]
    assert 9.0 < float(sample.rpartition(" ")[2]) < 12.0


def test_gauges_show_the_current_tasks(simulation: GraphSimulation) -> None:
    """Gauges are read from the current session.

    A gauge that is written in each round would keep its last value when leadership ends.
    """
    registry = MetricsRegistry()
    current: list[Any] = [simulation.leader.graph_session]
    register_queue_gauges(registry, lambda: current[0])
    simulation.task_duration_s = 20.0
    for number in range(1, 6):
        simulation.submit(f"{number:016x}", WHOLE)
    simulation.advance(3.0)
    text = registry.render_text()
    assert 'cicadatray_tasks_waiting{queue="batch"} 3\n' in text
    assert 'cicadatray_tasks_running{queue="batch"} 2\n' in text
    assert 'cicadatray_tasks_waiting{queue="urgent"} 0\n' in text
    current[0] = None
    assert "cicadatray_tasks_running{" not in registry.render_text()
