"""Measures and logs the rounds of placement."""

import structlog

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.observability.queue_metrics import (
    placement_round_seconds,
    placement_rounds_ended_early,
    placement_steps_waiting,
)
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan

# A round that takes longer than this, in seconds, is logged.
SLOW_ROUND_S = 0.25
LINE_INTERVAL_S = 1.0

log = structlog.get_logger(__name__)


class RoundLog:
    """Records how long rounds take and over how much work, and logs long ones once per interval.

    `waiting_steps` is the number of steps, gangs and suspect tasks that waited in the last round.
    """

    __slots__ = ("next_line_s", "session", "waiting_steps")

    def __init__(self, session: GraphSession) -> None:
        self.session = session
        self.next_line_s = 0.0
        self.waiting_steps = 0

    def record(self, waiting_steps: int, plan: PlacementPlan, took_s: float) -> None:
        """Records a round that has been planned."""
        metrics = self.session.leader.metrics
        placement_round_seconds(metrics).observe(took_s)
        placement_steps_waiting(metrics).set(waiting_steps)
        if not plan.is_complete:
            placement_rounds_ended_early(metrics).increment()
        now_s = self.session.now_s()
        if took_s < SLOW_ROUND_S or now_s < self.next_line_s:
            return
        self.next_line_s = now_s + LINE_INTERVAL_S
        log.info(
            "slow placement round",
            took_s=round(took_s, 3),
            waiting_steps=waiting_steps,
            assignments=len(plan.assignments),
            displaced=len(plan.displaced),
            is_complete=plan.is_complete,
            workers=len(self.session.workers),
        )
