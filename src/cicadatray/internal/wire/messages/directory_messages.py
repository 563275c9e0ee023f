"""Calls to control about agents and their directory, and the transport of replica messages."""

from typing import ClassVar

import msgspec

from cicadatray.internal.wire.message import MessageStruct


class TaskReport(msgspec.Struct, frozen=True):
    """The state of a task at its agent; `state` is prepared, running, finished or failed."""

    job_id: str
    epoch: int
    state: str
    run_s: float


class TaskReference(msgspec.Struct, frozen=True):
    """The task of a gang at one agent."""

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
    """Announces a live agent; sent every second, and immediately when a task changes its state."""

    changes_state: ClassVar[bool] = False

    agent: AgentRecord
    tasks: tuple[TaskReport, ...] = ()


class AnnounceReply(MessageStruct, frozen=True):
    """Grants a lease for the tasks that may continue.

    `lease_s` counts from when the agent sent the announcement. `continuing` lists the announced
    tasks that may continue; the agent stops the others. The tasks of a gang that is being stopped
    are not listed, so their lease expires although their agent is alive. `start_permission_s`, from
    the same moment, is for how long the agent may start prepared tasks; 0 means no limit.
    """

    lease_s: float
    term: int
    session: int
    continuing: tuple[TaskReference, ...]
    start_permission_s: float = 0.0


class RenewLease(MessageStruct, frozen=True):
    """Replaces a full announcement while nothing has changed since the last one of the session.

    `tasks_digest` is computed by `task_digest`.
    """

    changes_state: ClassVar[bool] = False

    term: int
    session: int
    tasks_digest: bytes


class LeaseRenewed(MessageStruct, frozen=True):
    """Renews the lease like an `AnnounceReply` that lists every task."""


class AnnounceAgain(MessageStruct, frozen=True):
    """Asks for a full announcement: the session is unknown or its tasks have changed."""


class Withdraw(MessageStruct, frozen=True):
    """Removes an agent that has shut down from the directory."""

    changes_state: ClassVar[bool] = False

    agent_id: str
    incarnation: str


class ReadDirectory(MessageStruct, frozen=True):
    """Asks for all agents, unless the caller's copy of this term and version is current."""

    changes_state: ClassVar[bool] = False

    cached_term: int
    cached_version: int


class DirectoryReply(MessageStruct, frozen=True):
    """Describes the directory; `agents` is None if the caller's copy is current.

    `is_complete` is set once the leader has led for long enough that every live agent has announced
    itself.
    """

    term: int
    version: int
    configuration_version: int
    is_complete: bool
    agents: tuple[AgentRecord, ...] | None = None


class NotLeader(MessageStruct, frozen=True):
    """The control instance does not lead; `leader_name` is empty if no leader is known."""

    leader_name: str = ""
    leader_host: str = ""
    leader_port: int = 0


class Acknowledged(MessageStruct, frozen=True):
    """The call was carried out; it has no result."""


class ReplicaCall(MessageStruct, frozen=True):
    """Carries a message of the replicated log, encoded by the replication package."""

    member_id: str
    payload: bytes


class ReplicaAnswer(MessageStruct, frozen=True):
    """Carries the reply to a `ReplicaCall`."""

    payload: bytes
