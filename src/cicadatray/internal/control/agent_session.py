"""What the leader knows of one agent."""

from cicadatray.internal.control.leases import AGENT_GONE_S, LEASE_END_S
from cicadatray.internal.wire.messages.directory_messages import AgentRecord, Announce, TaskReport
from cicadatray.internal.wire.messages.task_digest import task_digest


class AgentSession:
    """Soft state, rebuilt from announcements by a new leader. Times are those of the event loop."""

    __slots__ = ("last_heard_s", "number", "record", "reports", "tasks_digest")

    def __init__(self, number: int, announce: Announce, now_s: float) -> None:
        self.number = number
        self.record: AgentRecord = announce.agent
        self.tasks_digest = b""
        self.last_heard_s = now_s
        self.reports: dict[str, TaskReport] = {}
        self.refresh(announce, now_s)

    def refresh(self, announce: Announce, now_s: float) -> None:
        """Takes over a newer announcement."""
        self.record = announce.agent
        self.last_heard_s = now_s
        self.reports = {report.job_id: report for report in announce.tasks}
        self.tasks_digest = task_digest(announce.tasks)

    def is_gone(self, now_s: float) -> bool:
        """Tells whether the endpoint should get no more requests."""
        return now_s - self.last_heard_s > AGENT_GONE_S

    def lease_is_over(self, now_s: float) -> bool:
        """Tells whether all tasks of this agent have stopped by themselves."""
        return now_s - self.last_heard_s > LEASE_END_S

    def report_of(self, job_id: str, epoch: int) -> TaskReport | None:
        """Returns the last report of a task."""
        report = self.reports.get(job_id)
        return report if report is not None and report.epoch == epoch else None
