"""Tests of announcements and lease renewals."""

import pytest

from cicadatray.internal.control.directory import Directory
from cicadatray.internal.control.leases import AGENT_TIMEOUT_S, LEASE_EXPIRY_S
from cicadatray.internal.wire.messages.directory_messages import (
    AgentRecord,
    Announce,
    RenewLease,
    TaskReport,
    Withdraw,
)
from cicadatray.internal.wire.messages.task_digest import task_digest

RUNNING = (TaskReport("job-1", 1, "running", 5.0),)
LATER = (TaskReport("job-1", 1, "running", 6.0),)
FINISHED = (TaskReport("job-1", 1, "finished", 6.0),)
NEXT_EPOCH = (TaskReport("job-1", 2, "running", 5.0),)


def announce(incarnation: str = "i1", tasks: tuple[TaskReport, ...] = RUNNING) -> Announce:
    record = AgentRecord("agent", incarnation, "127.0.0.1", 1, "centre", worker_id="worker")
    return Announce(agent=record, tasks=tasks)


@pytest.mark.parametrize(
    ("tasks", "is_renewed"),
    [
        pytest.param(RUNNING, True, id="unchanged"),
        pytest.param(LATER, True, id="only the run time has changed"),
        pytest.param(FINISHED, False, id="a task has finished"),
        pytest.param(NEXT_EPOCH, False, id="another epoch"),
        pytest.param((), False, id="the task was removed"),
    ],
)
def test_renewal_is_accepted_only_for_the_announced_tasks(
    tasks: tuple[TaskReport, ...], is_renewed: bool
) -> None:
    """Guards against renewing a lease for tasks that were not announced to the leader."""
    directory = Directory()
    session = directory.announce(announce(), now_s=0.0)
    call = RenewLease(term=1, session=session.session_number, tasks_digest=task_digest(tasks))
    assert (directory.renew(call, now_s=5.0) is not None) is is_renewed
    assert session.is_lease_expired(LEASE_EXPIRY_S + 1.0) is not is_renewed


def test_renewal_of_an_earlier_incarnation_does_not_renew_the_new_one() -> None:
    """Guards against a late message that renews the lease of a restarted agent."""
    directory = Directory()
    earlier = directory.announce(announce("i1"), now_s=0.0)
    later = directory.announce(announce("i2"), now_s=1.0)
    call = RenewLease(term=1, session=earlier.session_number, tasks_digest=task_digest(RUNNING))
    assert earlier.session_number != later.session_number
    assert directory.renew(call, now_s=2.0) is None


def test_list_changes_when_an_agent_times_out_or_withdraws() -> None:
    """Guards against entries that still send requests to an agent that has left."""
    directory = Directory()
    directory.announce(announce(), now_s=0.0)
    version = directory.version
    directory.refresh_listed_agents(now_s=AGENT_TIMEOUT_S + 0.1)
    assert directory.listed_agents == () and directory.version == version + 1
    directory.announce(announce(), now_s=10.0)
    directory.withdraw(Withdraw(agent_id="agent", incarnation="other"), now_s=10.1)
    assert len(directory.listed_agents) == 1
    directory.withdraw(Withdraw(agent_id="agent", incarnation="i1"), now_s=10.2)
    assert directory.listed_agents == () and not directory.by_worker
