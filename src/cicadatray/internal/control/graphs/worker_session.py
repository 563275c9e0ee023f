"""The leader's state of one agent and its worker."""

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
from cicadatray.scheduling.taskgraphs.running_work import MIN_PERCENT_FOR_SPEED
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd

# A worker that fails this many runs in a row is avoided for `SUSPECT_DURATION_S`.
SUSPECT_FAILURES = 2
SUSPECT_DURATION_S = 8.0
# A worker that has refused a start is avoided for this long. Otherwise the next round chooses it
# again, for as long as it refuses. A job may rest for 3 s while it could run elsewhere.
REFUSAL_DURATION_S = 2.0


class WorkerSession:
    """Soft state of one incarnation of a worker under one leader.

    `received_end_number` is the number of the latest end received from the agent, and
    `committed_end_number` that of the latest durable one. `received_clears` and `committed_clears`
    are the counterparts for runs that certainly never started, whose ends have no number.
    `first_seen_s` is when the worker first listed each of its runs, and `first_percent` the
    progress of the run then. `last_call` is the incarnation of the agent and the sequence number of
    its last call. `last_orders` is the last reply, so that its orders are not sent again at once,
    or None if it was probably lost. `last_reply_s` is the time of the last reply, which grants a
    lease, and `pending_renewals` counts the calls about to be answered with one. `is_reachable` is
    False while the worker refuses connections. `end` is how the worker has ended, or None.
    `ended_runs` are the runs whose ends the last call reported and that may not be durable; a run
    may have ended without being among them. Times are the event loop's.
    """

    __slots__ = (
        "agent_id",
        "call_count",
        "committed_clears",
        "committed_end_number",
        "consecutive_failures",
        "end",
        "ended_runs",
        "first_percent",
        "first_seen_s",
        "is_reachable",
        "last_call",
        "last_orders",
        "last_reply_s",
        "offer",
        "pending_renewals",
        "received_clears",
        "received_end_number",
        "reports",
        "suspect_until_s",
        "wake",
    )

    def __init__(self, agent_id: str, offer: WorkerOffer, now_s: float) -> None:
        self.agent_id = agent_id
        self.offer = offer
        self.last_reply_s = now_s
        self.pending_renewals = 0
        self.first_seen_s: dict[TaskRun, float] = {}
        self.first_percent: dict[TaskRun, int] = {}
        self.reports: dict[TaskRun, RunReport] = {}
        self.ended_runs: frozenset[TaskRun] = frozenset()
        self.received_end_number = 0
        self.committed_end_number = 0
        self.committed_clears: set[TaskRun] = set()
        self.received_clears: set[TaskRun] = set()
        self.last_call = ("", 0)
        self.last_orders: WorkerOrders | None = None
        self.call_count = 0
        self.end: WorkerEnd | None = None
        self.is_reachable = True
        self.consecutive_failures = 0
        self.suspect_until_s = 0.0
        self.wake = asyncio.Event()

    @property
    def is_lost(self) -> bool:
        """Whether the worker has ended, or counts as ended."""
        return self.end is not None

    def update(self, call: SyncWorker, now_s: float) -> list[PlacedEnd]:
        """Records a call and returns the ends that were not received before."""
        assert call.offer is not None
        if self.last_call == (call.agent_incarnation, call.sequence):
            self.last_orders = None
        self.last_call = (call.agent_incarnation, call.sequence)
        self.offer = call.offer
        self.is_reachable = call.is_worker_reachable
        self.reports = {report.run: report for report in call.runs}
        self.ended_runs = frozenset(end.run for end in call.ends)
        self.first_seen_s = {
            run: self.first_seen_s.get(run, now_s)
            for run, report in self.reports.items()
            if report.percent >= 0
        }
        self.first_percent = {
            run: self.first_percent.get(run, self.reports[run].percent) for run in self.first_seen_s
        }
        return self.receive_ends(call.ends, now_s)

    def update_reports(self, runs: tuple[RunReport, ...]) -> None:
        """Replaces the reports of known runs by newer ones."""
        self.reports |= {report.run: report for report in runs if report.run in self.reports}

    def receive_ends(self, reported: tuple[RunEnd, ...], now_s: float) -> list[PlacedEnd]:
        """Records all ends that the agent reports; returns those that were not received before."""
        ends: list[PlacedEnd] = []
        cleared: set[TaskRun] = set()
        for end in reported:
            if end.number == 0:
                cleared.add(end.run)
                if end.run not in self.received_clears:
                    ends.append(PlacedEnd(end, self.offer.worker_id))
            elif end.number > self.received_end_number:
                self.received_end_number = end.number
                ends.append(PlacedEnd(end, self.offer.worker_id))
                self._count_failures(end, now_s)
        self.committed_clears &= cleared
        self.received_clears = cleared
        return ends

    def _count_failures(self, end: RunEnd, now_s: float) -> None:
        if end.outcome is RunOutcome.DONE:
            self.consecutive_failures = 0
        elif end.outcome is RunOutcome.FAILED:
            self.consecutive_failures += 1
            if self.consecutive_failures >= SUSPECT_FAILURES:
                self.suspect_until_s = now_s + SUSPECT_DURATION_S

    def record_refusal(self, now_s: float) -> None:
        """Records that the worker has not carried out a start."""
        self.suspect_until_s = max(self.suspect_until_s, now_s + REFUSAL_DURATION_S)

    def may_still_start(self, run: TaskRun) -> bool:
        """Returns whether a run that was ordered here is neither listed nor known to have ended."""
        report = self.reports.get(run)
        return run not in self.ended_runs and (report is None or report.percent < 0)

    def elapsed_s(self, run: TaskRun, estimate_s: float, now_s: float) -> float:
        """Returns how long a listed run has worked, in seconds, of which this leader saw a part.

        The time before follows from the run's progress then, by its speed since, or by the estimate
        while that is unknown.
        """
        seen_s = now_s - self.first_seen_s[run]
        percent_before = self.first_percent[run]
        percent_seen = self.reports[run].percent - percent_before
        if percent_seen >= MIN_PERCENT_FOR_SPEED:
            return seen_s * (percent_before + percent_seen) / percent_seen
        return seen_s + estimate_s * percent_before / 100

    def has_new_orders(self, orders: WorkerOrders) -> bool:
        """Returns whether the orders contain anything that the last reply did not contain."""
        last = self.last_orders
        if last is None:
            return True
        return (
            orders.committed_end_number != last.committed_end_number
            or set(orders.committed_clears) != set(last.committed_clears)
            or not {order.run for order in last.starts}.issuperset(o.run for o in orders.starts)
            or not set(last.stops).issuperset(orders.stops)
        )

    def record_committed(self, ends: list[PlacedEnd]) -> None:
        """Records that ends of this worker are committed, and wakes its agent's call."""
        for placed in ends:
            if placed.end.number:
                self.committed_end_number = max(self.committed_end_number, placed.end.number)
            else:
                self.committed_clears.add(placed.end.run)
        self.wake.set()
