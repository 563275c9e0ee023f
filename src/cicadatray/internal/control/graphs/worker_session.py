"""What the leader knows of one agent and its worker."""

import asyncio

from cicadatray.internal.wire.messages.graph_messages import (
    PlacedEnd,
    RunEnd,
    RunReport,
    SyncWorker,
    WorkerOffer,
    WorkerOrders,
)
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

# A worker that fails this many runs in a row, and none succeeds, is avoided for a while.
SUSPECT_FAILURES = 2
SUSPECT_S = 8.0


class WorkerSession:
    """Soft state of one incarnation of a worker under one leader.

    `queued_number` is the number of the latest end received from the agent, `noted_number` that of
    the latest durable one. `cleared_queued` and `committed_clears` are the counterparts for
    uncertain starts that a stop has settled, which have no number. `told` is the last reply, so
    that its orders are not sent again at once. `answered_s` is the time of the last reply, which
    grants a lease. Times are the event loop's.
    """

    __slots__ = (
        "agent_id",
        "answered_s",
        "calls",
        "committed_clears",
        "cleared_queued",
        "failures",
        "first_seen_s",
        "is_lost",
        "noted_number",
        "offer",
        "queued_number",
        "reports",
        "suspect_until_s",
        "told",
        "wake",
    )

    def __init__(self, agent_id: str, offer: WorkerOffer, now_s: float) -> None:
        self.agent_id = agent_id
        self.offer = offer
        self.answered_s = now_s
        self.first_seen_s: dict[TaskRun, float] = {}
        self.reports: dict[TaskRun, RunReport] = {}
        self.queued_number = 0
        self.noted_number = 0
        self.committed_clears: set[TaskRun] = set()
        self.cleared_queued: set[TaskRun] = set()
        self.told: WorkerOrders | None = None
        self.calls = 0
        self.is_lost = False
        self.failures = 0
        self.suspect_until_s = 0.0
        self.wake = asyncio.Event()

    def take(self, call: SyncWorker, now_s: float) -> list[PlacedEnd]:
        """Takes up a call and returns the ends that are new."""
        assert call.offer is not None
        self.offer = call.offer
        self.reports = {report.run: report for report in call.runs}
        self.first_seen_s = {
            run: self.first_seen_s.get(run, now_s)
            for run, report in self.reports.items()
            if report.percent >= 0
        }
        ends: list[PlacedEnd] = []
        cleared: set[TaskRun] = set()
        for end in call.ends:
            if end.number == 0:
                cleared.add(end.run)
                if end.run not in self.cleared_queued:
                    ends.append(PlacedEnd(end, self.offer.worker_id))
            elif end.number > self.queued_number:
                self.queued_number = end.number
                ends.append(PlacedEnd(end, self.offer.worker_id))
                self._judge(end, now_s)
        self.committed_clears &= cleared
        self.cleared_queued = cleared
        return ends

    def _judge(self, end: RunEnd, now_s: float) -> None:
        if end.outcome is RunOutcome.DONE:
            self.failures = 0
        elif end.outcome is RunOutcome.FAILED:
            self.failures += 1
            if self.failures >= SUSPECT_FAILURES:
                self.suspect_until_s = now_s + SUSPECT_S

    def is_news(self, orders: WorkerOrders) -> bool:
        """Returns whether the agent should hear of these orders before its wait is over."""
        told = self.told
        if told is None:
            return True
        return (
            orders.committed_end_number != told.committed_end_number
            or set(orders.committed_clears) != set(told.committed_clears)
            or not {order.run for order in told.starts}.issuperset(o.run for o in orders.starts)
            or not set(told.stops).issuperset(orders.stops)
        )

    def note_durable(self, ends: list[PlacedEnd]) -> None:
        """Notes that ends of this worker are committed."""
        for placed in ends:
            if placed.end.number:
                self.noted_number = max(self.noted_number, placed.end.number)
            else:
                self.committed_clears.add(placed.end.run)
        self.wake.set()
