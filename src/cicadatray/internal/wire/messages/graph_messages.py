"""Messages about task graphs: calls of entries, orders of agents, commands of the log."""

import msgspec

from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.queue_configuration import QueueConfiguration
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition, TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskRun


class QueueTarget(msgspec.Struct, frozen=True, array_like=True):
    """Which queue and graph a caller names, and the digest of its credential."""

    host: str
    path: str
    credential_digest: bytes


class SubmitGraph(MessageStruct, frozen=True):
    """A caller hands in a graph; `target.path` ends with its identifier."""

    target: QueueTarget
    spec: str
    steps: tuple[Step, ...]
    repetition: Repetition | None = None


class CancelGraph(MessageStruct, frozen=True):
    """A caller cancels a graph."""

    target: QueueTarget


class ReadGraph(MessageStruct, frozen=True):
    """A caller asks for a graph, or with a path that ends with the prefix for the queue."""

    target: QueueTarget


class GraphState(MessageStruct, frozen=True):
    """`state` is queued, running, done, failed or cancelled."""

    graph_id: str
    state: str


class QueueState(MessageStruct, frozen=True):
    """`waiting` counts the accepted graphs of the queue of which no task has started."""

    waiting: int


class SetQueues(MessageStruct, frozen=True):
    """An operator sets the queues; `source` is what a read gives back. Also the log's command."""

    configuration: QueueConfiguration
    source: bytes


class ReadQueues(MessageStruct, frozen=True):
    """Asks for the newest configuration of the queues."""


class QueuesReply(MessageStruct, frozen=True):
    """The newest configuration of the queues."""

    version: int
    source: bytes = b""


class RunReport(msgspec.Struct, frozen=True, array_like=True):
    """A run that an agent has been ordered to start and that has not surely ended.

    `percent` is the worker's figure; -1 while the worker has not listed the run yet.
    """

    run: TaskRun
    percent: int = -1
    checkpoint: str = ""


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run on a worker; `number` is the worker's own count, 0 for none."""

    run: TaskRun
    outcome: RunOutcome
    number: int = 0
    checkpoint: str = ""


class WorkerOffer(msgspec.Struct, frozen=True, array_like=True):
    """What a worker said of itself. `worker_id` changes with each of its incarnations.

    `remaining_s` is how long a draining worker stays at least.
    """

    worker_id: str
    pool: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    is_draining: bool = False
    remaining_s: float = 0.0


class SyncWorker(MessageStruct, frozen=True):
    """Reports the state of an agent's worker and asks for orders.

    `offer` is None while the agent has no worker. The leader answers at once when it has new
    orders, and otherwise after `wait_s`. `agent_incarnation` is drawn when the agent starts and
    `sequence` rises with its calls, so that a call that was overtaken is recognised.
    `ended_worker_id` names a worker of this agent that has certainly ended with all its runs.
    """

    agent_id: str
    agent_incarnation: str
    sequence: int
    offer: WorkerOffer | None
    ended_worker_id: str = ""
    runs: tuple[RunReport, ...] = ()
    ends: tuple[RunEnd, ...] = ()
    wait_s: float = 0.0


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
    """

    term: int
    worker_id: str
    lease_s: float
    committed_end_number: int
    starts: tuple[RunOrder, ...] = ()
    stops: tuple[TaskRun, ...] = ()
    committed_clears: tuple[TaskRun, ...] = ()


class MemberAddress(msgspec.Struct, frozen=True, array_like=True):
    """A member of the control group."""

    name: str
    host: str
    port: int


class ReadMembers(MessageStruct, frozen=True):
    """Asks the leader for the members of the control group; also shows that it leads.

    `relay` is where the caller passes on calls of others, if it does.
    """

    relay: MemberAddress | None = None


class MembersReply(MessageStruct, frozen=True):
    """All voters and learners, the leader's term, and the processes that pass on calls."""

    members: tuple[MemberAddress, ...]
    term: int
    relays: tuple[MemberAddress, ...] = ()


class JoinGroup(MessageStruct, frozen=True):
    """A control instance without contact to the group asks to become a member."""

    member: MemberAddress


class AcceptGraph(MessageStruct, frozen=True):
    """Command: a graph is accepted. A repeated command changes nothing."""

    graph: TaskGraph
    now_s: float


class EndGraph(MessageStruct, frozen=True):
    """Command: a graph is cancelled."""

    graph_id: str
    now_s: float


class PlacedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run, the worker that it is ordered on, and the agent beside that worker."""

    run: TaskRun
    worker_id: str
    agent_id: str = ""


class PlacedEnd(msgspec.Struct, frozen=True, array_like=True):
    """An end and the worker on which it happened."""

    end: RunEnd
    worker_id: str


class RunCheckpoint(msgspec.Struct, frozen=True, array_like=True):
    """Where a run that goes on could be resumed."""

    run: TaskRun
    checkpoint: str


class RecordRuns(MessageStruct, frozen=True):
    """Command: runs have ended, runs will be ordered, ended graphs are forgotten; in this order."""

    now_s: float
    ends: tuple[PlacedEnd, ...] = ()
    starts: tuple[PlacedRun, ...] = ()
    removed_graph_ids: tuple[str, ...] = ()
    checkpoints: tuple[RunCheckpoint, ...] = ()


class RunsRecorded(MessageStruct, frozen=True):
    """The starts that took effect; the others were overtaken, for example by a cancellation."""

    started: tuple[PlacedRun, ...] = ()
