"""Carries out the displacements of a placement plan."""

from collections.abc import Generator

import structlog

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.graph_statistics import DISPLACED
from cicadatray.internal.control.graphs.worker_wakes import wake_workers_of
from cicadatray.internal.observability.graph_metrics import runs_displaced
from cicadatray.scheduling.taskgraphs.displacement import Displacement
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.running_work import RunningWork

# The caller may pause after so many runs.
RUNS_BETWEEN_PAUSES = 64

log = structlog.get_logger(__name__)


class PlannedDisplacements:
    """Revokes the runs that a plan stops, counts them, and logs for which jobs they stop."""

    __slots__ = ("displaced_runs", "logged_runs", "session")

    def __init__(self, session: GraphSession) -> None:
        self.session = session
        self.displaced_runs = runs_displaced(session.leader.metrics)
        self.logged_runs = 0

    def carry_out(self, plan: PlacementPlan) -> Generator[None, None, None]:
        """Revokes the runs of a plan's victims, and logs the jobs that it passes over.

        Yields wherever the caller may pause. Runs that have ended or are being stopped since the
        round began are left out.
        """
        for displacement in plan.displacements:
            for victim in displacement.victims:
                yield from self._displace_work(victim, plan, displacement)
        for job in plan.passed_over:
            log.info(
                "job passed over",
                graph=job.graph_id,
                preferred=job.preferred,
                density=round(job.density, 2),
                preferred_density=round(job.preferred_density, 2),
                lateness_s=round(job.lateness_s, 1),
            )
        if plan.displaced:
            wake_workers_of(self.session, {run.task.graph_id for run in plan.displaced})

    def _displace_work(
        self, victim: RunningWork, plan: PlacementPlan, displacement: Displacement
    ) -> Generator[None, None, None]:
        session = self.session
        wanted = [run for run in victim.runs if session.is_wanted(run)]
        if not wanted:
            return
        session.statistics.record_displaced_work(victim)
        # All members of a gang are revoked before the first pause.
        session.revoked_runs.update(wanted)
        for run in wanted:
            self.logged_runs += 1
            if self.logged_runs % RUNS_BETWEEN_PAUSES == 0:
                yield
            for_graph = plan.displaced[run]
            session.displacing_graphs.setdefault(for_graph, session.now_s())
            self.displaced_runs.increment(reason=DISPLACED)
            session.statistics.record_displacement(run, DISPLACED)
            log.info(
                "run displaced",
                graph=run.task.graph_id,
                task=run.task.key,
                run=run.run,
                for_graph=for_graph,
                cost=round(displacement.cost),
                value=round(displacement.value),
            )
