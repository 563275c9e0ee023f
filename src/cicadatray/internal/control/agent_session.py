"""The leader's record of one agent."""

from cicadatray.internal.control.leases import AGENT_TIMEOUT_S, LEASE_EXPIRY_S
from cicadatray.internal.wire.messages.directory_messages import AgentRecord, Announce, TaskReport
from cicadatray.internal.wire.messages.task_digest import task_digest


class AgentSession:
    """Stores the last announcement of an agent and the time of its last contact.

    This is soft state, which a new leader rebuilds from announcements. Times are on the event
    loop's clock.
    """

    __slots__ = ("last_contact_s", "record", "reports", "session_number", "tasks_digest")

    def __init__(self, session_number: int, announce: Announce, now_s: float) -> None:
        self.session_number = session_number
        self.record: AgentRecord = announce.agent
        self.tasks_digest = b""
        self.last_contact_s = now_s
        self.reports: dict[str, TaskReport] = {}
        self.refresh(announce, now_s)

    def refresh(self, announce: Announce, now_s: float) -> None:
        """Replaces the stored announcement with a newer one."""
        self.record = announce.agent
        self.last_contact_s = now_s
        self.reports = {report.job_id: report for report in announce.tasks}
        self.tasks_digest = task_digest(announce.tasks)

    def has_timed_out(self, now_s: float) -> bool:
        """Returns whether the agent has timed out, so that it gets no more requests."""
        return now_s - self.last_contact_s > AGENT_TIMEOUT_S

    def is_lease_expired(self, now_s: float) -> bool:
        """Returns whether the lease has expired, so that all tasks of this agent have stopped."""
        return now_s - self.last_contact_s > LEASE_EXPIRY_S

    def find_report(self, job_id: str, epoch: int) -> TaskReport | None:
        """Returns the last report of a task, or None without one of this epoch."""
        report = self.reports.get(job_id)
        return report if report is not None and report.epoch == epoch else None
