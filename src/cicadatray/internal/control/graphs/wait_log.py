"""Logs why the oldest waiting work of each queue was not placed."""

from collections.abc import Generator, Mapping, Sequence

import structlog

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.hold_log import HoldLog
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.internal.observability.queue_metrics import queue_blocked_seconds
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.held_work import HeldWork
from cicadatray.scheduling.taskgraphs.placement_wait import PlacementWait
from cicadatray.scheduling.taskgraphs.wait_outside_placement import explain_unready_in_steps
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason

# A reason may change in every round, so the log is limited to one line a second for each queue.
LINE_INTERVAL_S = 1.0

log = structlog.get_logger(__name__)


class _QueueWait:
    """The current wait reason of a queue, empty while nothing waits.

    `logged_reason` is the reason in the last line, empty if that line reported that nothing waits.
    """

    __slots__ = ("logged_reason", "next_line_s", "reason")

    def __init__(self) -> None:
        self.reason = ""
        self.logged_reason = ""
        self.next_line_s = 0.0


class WaitLog:
    """Logs the wait reason of each queue when it changes, and counts how long each reason lasts."""

    __slots__ = ("hold_log", "last_round_s", "next_scan_s", "queues", "session", "unready")

    def __init__(self, session: GraphSession) -> None:
        self.session = session
        self.hold_log = HoldLog(session)
        self.queues: dict[str, _QueueWait] = {}
        self.last_round_s = session.now_s()
        self.next_scan_s = 0.0
        self.unready: dict[str, tuple[GraphProgress, WaitReason]] = {}

    def record_round(
        self,
        waits: Mapping[str, PlacementWait],
        held: Sequence[HeldWork] = (),
        is_complete: bool = True,
    ) -> None:
        """Records the work that a round did not place, by queue, and the work that it held back.

        The queues that an incomplete round has not come to wait as before.
        """
        self.hold_log.record_round(held, is_complete)
        now_s = self.session.now_s()
        self._count_blocked(now_s - self.last_round_s)
        self.last_round_s = now_s
        run_at_once(self.scan())
        for queue in {**waits, **self.unready}:
            self.queues.setdefault(queue, _QueueWait())
        for queue, state in self.queues.items():
            if queue in waits:
                state.reason = waits[queue].reason.value
            elif is_complete:
                state.reason = self.unready[queue][1].value if queue in self.unready else ""
            is_known = queue in waits or queue in self.unready or not state.reason
            if state.reason != state.logged_reason and is_known and now_s >= state.next_line_s:
                state.logged_reason = state.reason
                state.next_line_s = now_s + LINE_INTERVAL_S
                self._log(queue, state.reason, waits.get(queue))

    def _log(self, queue: str, reason: str, wait: PlacementWait | None) -> None:
        if not reason:
            log.info("queue no longer waits", queue=queue)
            return
        if wait is None:
            progress = self.unready[queue][0]
            age_s = self.session.wall_s() - progress.accepted_s
            graph_id = progress.graph.graph_id
            log.info(
                "queue waits",
                queue=queue,
                reason=reason,
                graph=graph_id,
                waited_s=round(age_s, 2),
            )
            return
        work = wait.work
        log.info(
            "queue waits",
            queue=queue,
            reason=reason,
            graph=work.graph.graph.graph_id,
            task=work.task(work.indexes[0]).key,
            waited_s=round(self.session.wall_s() - work.ready_s, 2),
            tasks=len(work.indexes),
            needs=str(work.step.demand),
            workers=len(self.session.workers),
        )

    def _count_blocked(self, elapsed_s: float) -> None:
        blocked = queue_blocked_seconds(self.session.leader.metrics)
        for queue, state in self.queues.items():
            if state.reason:
                blocked.increment(elapsed_s, queue=queue, reason=state.reason)

    def scan(self) -> Generator[None, None, None]:
        """Finds, for each queue, the oldest graph that waits without ready work, once per interval.

        Yields wherever the caller may pause.
        """
        if self.session.now_s() < self.next_scan_s:
            return
        oldest: dict[str, tuple[GraphProgress, WaitReason]] = {}
        now_s = self.session.wall_s()
        for progress in list(self.session.graphs.values()):
            queue = progress.graph.policy.queue
            previous = oldest.get(queue)
            if previous is not None and previous[0].accepted_s <= progress.accepted_s:
                yield
                continue
            reason = yield from explain_unready_in_steps(progress, now_s, self.session.is_wanted)
            if reason is not None:
                oldest[queue] = (progress, reason)
            yield
        self.unready = oldest
        self.next_scan_s = self.session.now_s() + LINE_INTERVAL_S
