"""What the log and the metrics say about displaced and passed-over jobs."""

from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.graph_loop import GraphLoop
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.scheduling.taskgraphs.displacement import Displacement
from cicadatray.scheduling.taskgraphs.passed_over_job import PassedOverJob
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cover.taskgraphs.placement_helpers import ONE, make_running, make_workers
from cover.taskgraphs.test_end_recorder import CutOffLeader
from cover.taskgraphs.test_graph_session import make_session


def test_figures_of_a_displacement_are_logged_and_counted() -> None:
    """Guards against a displaced or passed-over job of which no line says what was preferred."""

    async def main() -> str:
        session, _ = make_session()
        session.leader = CutOffLeader(session)  # type: ignore[assignment]
        graph_id = next(iter(session.graphs))
        workers = make_workers([1])
        victim = make_running(workers, [("w0", ONE)], graph_id, elapsed_s=5.0)
        displacement = Displacement([victim], workers)
        displacement.value = 1_740.0
        plan = PlacementPlan()
        plan.displacements.append(displacement)
        plan.displaced[victim.runs[0]] = "urgent"
        plan.passed_over.append(PassedOverJob("large", "small", 0.5, 2.25, 3.0))
        run_at_once(GraphLoop(session).displacements.carry_out(plan))
        return session.leader.metrics.render_text()

    with capture_logs() as captured:
        text = run_virtual(main())
    lines = {line["event"]: line for line in captured}
    displaced = lines["run displaced"]
    assert (displaced["for_graph"], displaced["cost"], displaced["value"]) == ("urgent", 69, 1740)
    passed_over = lines["job passed over"]
    assert (passed_over["graph"], passed_over["preferred"]) == ("large", "small")
    assert (passed_over["density"], passed_over["preferred_density"]) == (0.5, 2.25)
    assert passed_over["lateness_s"] == 3.0
    # 5 s of 5 cores and one accelerator, which counts as 8 cores.
    assert "cicadatray_queue_core_seconds_displaced_total{" in text
    assert "} 65\n" in text


def test_victim_that_has_ended_during_the_round_is_not_displaced() -> None:
    """Guards against displacements that are counted, although nothing was left to stop."""

    async def main() -> str:
        session, _ = make_session()
        session.leader = CutOffLeader(session)  # type: ignore[assignment]
        (graph_id,) = session.graphs
        workers = make_workers([1])
        victim = make_running(workers, [("w0", ONE)], graph_id, elapsed_s=5.0)
        plan = PlacementPlan()
        plan.displacements.append(Displacement([victim], workers))
        plan.displaced[victim.runs[0]] = "urgent"
        session.graphs[graph_id].tasks.clear()
        run_at_once(GraphLoop(session).displacements.carry_out(plan))
        assert not session.revoked_runs
        return session.leader.metrics.render_text()

    with capture_logs() as captured:
        text = run_virtual(main())
    assert "run displaced" not in {line["event"] for line in captured}
    assert "cicadatray_queue_core_seconds_displaced_total{" not in text
