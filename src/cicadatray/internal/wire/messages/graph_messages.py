"""Messages about task graphs: calls of entries and agents, orders, and commands of the log."""

from typing import ClassVar

import msgspec

from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.decision import Decision
from cicadatray.internal.wire.messages.queue_configuration import QueueConfiguration
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition, TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd


class QueueTarget(msgspec.Struct, frozen=True, array_like=True):
    """The host and path of a queue or graph, and the digest of the caller's credential."""

    host: str
    path: str
    credential_digest: bytes


class SubmitGraph(MessageStruct, frozen=True):
    """Submits a graph.

    `target.path` ends with the graph's identifier; `spec` is passed to workers as is.
    """

    target: QueueTarget
    spec: str
    steps: tuple[Step, ...]
    repetition: Repetition | None = None


class CancelGraph(MessageStruct, frozen=True):
    """Cancels a graph."""

    target: QueueTarget


class ReadGraph(MessageStruct, frozen=True):
    """Asks for the state of a graph, or of a queue when the path is only the queue's prefix."""

    changes_state: ClassVar[bool] = False

    target: QueueTarget


class GraphState(MessageStruct, frozen=True):
    """The state of a graph: queued, running, done, failed or cancelled."""

    graph_id: str
    state: str
    decision: Decision | None = None


class QueueState(MessageStruct, frozen=True):
    """The backlog of a queue: `waiting` counts its accepted graphs without a started task."""

    waiting: int
    decision: Decision | None = None


class SetQueues(MessageStruct, frozen=True):
    """Sets the queues; `source` is returned by reads. It is both the call and the log command."""

    configuration: QueueConfiguration
    source: bytes


class ReadQueues(MessageStruct, frozen=True):
    """Asks for the newest configuration of the queues."""

    changes_state: ClassVar[bool] = False


class QueuesReply(MessageStruct, frozen=True):
    """The newest configuration of the queues."""

    version: int
    source: bytes = b""
    decision: Decision | None = None


class RunReport(msgspec.Struct, frozen=True, array_like=True):
    """A run that an agent was ordered to start and that is not known to have ended.

    `percent` is the progress that the worker reports; -1 until the worker lists the run. While
    `may_have_begun` is False, no order to start it can have been carried out. `observed_s` is for
    how long the agent has seen it in the worker's lists, in seconds.
    """

    run: TaskRun
    percent: int = -1
    checkpoint: str = ""
    may_have_begun: bool = True
    observed_s: float = 0.0


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run; `number` is the worker's sequence number, 0 for an end without one.

    `observed_s` is for how long a worker that crashed had listed the run, in seconds.
    """

    run: TaskRun
    outcome: RunOutcome
    number: int = 0
    checkpoint: str = ""
    observed_s: float = 0.0


class WorkerOffer(msgspec.Struct, frozen=True, array_like=True):
    """The capacity and location of a worker; `worker_id` changes with each incarnation.

    `remaining_s` is the minimum time for which a draining worker remains. `cold_remaining_s` is the
    time for which a worker that has just started remains slow.
    """

    worker_id: str
    pool: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    is_draining: bool = False
    remaining_s: float = 0.0
    cold_remaining_s: float = 0.0


class SyncWorker(MessageStruct, frozen=True):
    """Reports the state of an agent's worker and asks for orders.

    `offer` is None while the agent has no worker. The leader replies at once when it has new
    orders, and otherwise after `wait_s`. `agent_incarnation` is drawn when the agent starts and
    `sequence` rises with its calls, so that a call that was overtaken is recognised.
    `ended_worker_id` names a worker of this agent that has certainly ended with all its runs, for
    the cause `ended_worker_cause`; `ended_worker_ends` are the ends that it had listed and that the
    agent does not know to be committed, and `ended_worker_runs` its other runs as they were last
    seen. `is_worker_reachable` is False while the offered worker refuses connections.
    """

    changes_state: ClassVar[bool] = False

    agent_id: str
    agent_incarnation: str
    sequence: int
    offer: WorkerOffer | None
    ended_worker_id: str = ""
    runs: tuple[RunReport, ...] = ()
    ends: tuple[RunEnd, ...] = ()
    wait_s: float = 0.0
    ended_worker_cause: WorkerEnd = WorkerEnd.CRASHED
    is_worker_reachable: bool = True
    ended_worker_ends: tuple[RunEnd, ...] = ()
    ended_worker_runs: tuple[RunReport, ...] = ()


class RunOrder(msgspec.Struct, frozen=True, array_like=True):
    """A run to start."""

    run: TaskRun
    spec: str
    checkpoint: str = ""


class WorkerOrders(MessageStruct, frozen=True):
    """Renews a worker's lease and lists the runs to start and to stop.

    `lease_s` counts from when the agent sent its call. `committed_end_number` is the highest number
    of the worker's ends that is committed; all lower ones are committed too. `committed_clears` are
    the committed ends of runs that were confirmed never to have started, which have no number.
    `start_permission_s` is the time, from when the agent sent its call, for which it may send
    starts to the worker; 0 means no limit. `has_all_starts` is False if `starts` may leave out runs
    that were ordered and that the agent has not reported; these follow in later replies.
    """

    term: int
    worker_id: str
    lease_s: float
    committed_end_number: int
    starts: tuple[RunOrder, ...] = ()
    stops: tuple[TaskRun, ...] = ()
    committed_clears: tuple[TaskRun, ...] = ()
    start_permission_s: float = 0.0
    has_all_starts: bool = False


class MemberAddress(msgspec.Struct, frozen=True, array_like=True):
    """The address of a member of the control group or of a relay."""

    name: str
    host: str
    port: int


class ReadMembers(MessageStruct, frozen=True):
    """Asks the leader for the members of the control group; the reply also confirms its leadership.

    `relay` is the address at which the caller forwards calls of other processes, if it does.
    `rendezvous` is the address at which it tells them where the group is, if it does.
    """

    changes_state: ClassVar[bool] = False

    relay: MemberAddress | None = None
    rendezvous: MemberAddress | None = None


class MembersReply(MessageStruct, frozen=True):
    """All voters and learners, the leader's term, and the available relays."""

    members: tuple[MemberAddress, ...]
    term: int
    relays: tuple[MemberAddress, ...] = ()


class AnnounceMembers(MessageStruct, frozen=True):
    """Tells a control instance that is named as a seed which members the group has."""

    members: tuple[MemberAddress, ...]


class GroupAddresses(MessageStruct, frozen=True):
    """The reply of a control instance without a replica: where the group can be reached.

    `leader_name` names one of `members`, and is empty if no leader is known.
    """

    members: tuple[MemberAddress, ...] = ()
    leader_name: str = ""


class RecordRendezvous(MessageStruct, frozen=True):
    """Command that records a control instance without a replica; a repeated one changes nothing."""

    address: MemberAddress


class JoinGroup(MessageStruct, frozen=True):
    """Asks to admit a control instance that has no contact with the group."""

    changes_state: ClassVar[bool] = False

    member: MemberAddress


class AcceptGraph(MessageStruct, frozen=True):
    """Command that accepts a graph; a repeated command changes nothing."""

    graph: TaskGraph
    now_s: float


class EndGraph(MessageStruct, frozen=True):
    """Command that cancels a graph."""

    graph_id: str
    now_s: float


class PlacedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run, the worker on which it is placed, and the agent of that worker."""

    run: TaskRun
    worker_id: str
    agent_id: str = ""


class PlacedEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run and the worker on which it ran."""

    end: RunEnd
    worker_id: str


class RunCheckpoint(msgspec.Struct, frozen=True, array_like=True):
    """The latest checkpoint of a run that has not ended."""

    run: TaskRun
    checkpoint: str


class RecordRuns(MessageStruct, frozen=True):
    """Command that records ends of runs, then starts of runs, and then removes ended graphs."""

    now_s: float
    ends: tuple[PlacedEnd, ...] = ()
    starts: tuple[PlacedRun, ...] = ()
    removed_graph_ids: tuple[str, ...] = ()
    checkpoints: tuple[RunCheckpoint, ...] = ()


class RunsRecorded(MessageStruct, frozen=True):
    """The starts that took effect; others were superseded, for example by a cancellation."""

    started: tuple[PlacedRun, ...] = ()
