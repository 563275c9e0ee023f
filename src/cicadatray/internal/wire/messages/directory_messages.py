"""Messages of agents and entries to control: announcements, directory and configuration."""

import msgspec

from cicadatray.internal.wire.message import MessageStruct


class TaskReport(msgspec.Struct, frozen=True):
    """A task as its agent sees it; `state` is prepared, running, finished or failed."""

    job_id: str
    epoch: int
    state: str
    run_s: float


class TaskReference(msgspec.Struct, frozen=True):
    """One task of one gang."""

    job_id: str
    epoch: int


class AgentRecord(msgspec.Struct, frozen=True):
    """An agent in the directory; `incarnation` changes with every start of the process."""

    agent_id: str
    incarnation: str
    host: str
    port: int
    data_centre: str
    service: str = ""
    slots: int = 0
    worker_id: str = ""
    draining: bool = False


class Announce(MessageStruct, frozen=True):
    """An agent is alive; repeated every second, and at once when a task changes its state."""

    agent: AgentRecord
    tasks: tuple[TaskReport, ...] = ()


class AnnounceReply(MessageStruct, frozen=True):
    """`lease_s` counts from when the agent sent the announcement.

    `continuing` names the announced tasks that may go on; the agent stops the others. A gang that
    is being stopped is not named, so its lease ends although its agent is alive.
    """

    lease_s: float
    term: int
    session: int
    continuing: tuple[TaskReference, ...]


class RenewLease(MessageStruct, frozen=True):
    """Repeats the last announcement of a session of this term, while nothing has changed.

    `tasks_digest` is that of `task_digest`.
    """

    term: int
    session: int
    tasks_digest: bytes


class LeaseRenewed(MessageStruct, frozen=True):
    """Answers `RenewLease` as `AnnounceReply` with every task continuing."""


class AnnounceAgain(MessageStruct, frozen=True):
    """The leader does not know the session, or its tasks have changed."""


class Withdraw(MessageStruct, frozen=True):
    """An agent has stopped as planned."""

    agent_id: str
    incarnation: str


class ReadDirectory(MessageStruct, frozen=True):
    """Asks for all agents, if the directory has changed since this version of this leader term."""

    cached_term: int
    cached_version: int


class DirectoryReply(MessageStruct, frozen=True):
    """`agents` is None when nothing has changed.

    `is_complete` tells that the leader has led long enough to have heard of every live agent.
    """

    term: int
    version: int
    configuration_version: int
    is_complete: bool
    agents: tuple[AgentRecord, ...] | None = None


class NotLeader(MessageStruct, frozen=True):
    """The control instance does not lead; `leader_name` is empty while none is known."""

    leader_name: str = ""
    leader_host: str = ""
    leader_port: int = 0


class Acknowledged(MessageStruct, frozen=True):
    """The call has been carried out and has nothing more to tell."""


class ReplicaCall(MessageStruct, frozen=True):
    """A message of the replicated log, encoded by the replication package."""

    member_id: str
    payload: bytes


class ReplicaAnswer(MessageStruct, frozen=True):
    """The answer to a `ReplicaCall`."""

    payload: bytes
