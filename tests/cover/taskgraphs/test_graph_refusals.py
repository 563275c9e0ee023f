"""The answers to jobs that the leader refuses."""

import asyncio
import random
from collections.abc import Iterator
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.control.graphs import graph_codes
from cicadatray.internal.control.graphs.known_capacity import SETTLING_S
from cicadatray.internal.observability.graph_metrics import graphs_accepted, graphs_refused
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.decision import Decision
from cicadatray.internal.wire.messages.graph_messages import (
    AcceptGraph,
    CancelGraph,
    GraphState,
    QueueState,
    ReadGraph,
    RecordRuns,
    SubmitGraph,
    SyncWorker,
    WorkerOffer,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.admission_rule import Refusal, admission_rules
from cicadatray.scheduling.taskgraphs.rules.admission_view import AdmissionView
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import SchedulingRules
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph
from cover.control.gangs.link_layer import LinkLayer
from cover.control.gangs.shared_log import SharedLog
from cover.control.gangs.simulated_control import SimulatedControl
from cover.replication.process_loop import ProcessLoop, end_other_tasks
from cover.taskgraphs.placement_helpers import CAPACITY, WHOLE
from cover.taskgraphs.test_graph_calls import GRAPH, OTHER, OWNER, STRANGER, configuration, target

PATH = f"/q/{GRAPH}"
FIRST = "a1"
GANG_OF_TWO = (Step(2, WHOLE, 1.0, is_gang=True),)
BUSY_S = 2.5
# The configuration of the only leader decides each call.
DECISION = Decision(version=1, term=1, member="c1")


class Scene:
    """A leader with the rule of admission under test, on virtual time."""

    def __init__(self, admission: str) -> None:
        self.log = SharedLog(lambda: None)
        self.control = SimulatedControl("c1", self.log, LinkLayer(random.Random(1)))
        self.control.settings.scheduling_rules = SchedulingRules(admission=admission)
        self.log.commit(self.log.state.encode_command(configuration()))
        self.log.elect("c1")

    async def submit(self, steps: tuple[Step, ...] = GANG_OF_TWO) -> Any:
        call = SubmitGraph(target=target(PATH), spec="s", steps=steps)
        return await self.control.answer(call)

    async def join(self, agent: str, capacity: Resources = CAPACITY) -> None:
        """Lets an agent call the leader once."""
        offer = WorkerOffer(f"{agent}-1", "pool", "d0", "r0", (), capacity)
        call = SyncWorker(agent_id=agent, sequence=1, agent_incarnation="one", offer=offer)
        await self.control.answer(call)

    async def read(self, path: str = PATH) -> Any:
        return await self.control.answer(ReadGraph(target=target(path)))


def play(admission: str, scene_of: Any) -> Any:
    """Returns the result of a coroutine function that is given a scene."""
    loop = ProcessLoop()
    asyncio.set_event_loop(loop)

    async def main() -> Any:
        scene = Scene(admission)
        await asyncio.sleep(0.5)
        result = await scene_of(scene)
        await end_other_tasks()
        return result

    try:
        return loop.run_until_complete(main())
    finally:
        loop.close()
        asyncio.set_event_loop(None)


@pytest.fixture
def busy_rule() -> Iterator[list[Refusal | None]]:
    """Registers the rule `busy`, which refuses as the last entry of the list says."""
    answers: list[Refusal | None] = [Refusal("full", BUSY_S)]

    def refuse(graph: TaskGraph, view: AdmissionView) -> Refusal | None:
        return answers[-1]

    admission_rules.register("busy")(refuse)
    yield answers
    del admission_rules.rules["busy"]


def test_infeasible_job_is_refused_and_decided_anew() -> None:
    """A refused job must never run, and its identifier must stay free.

    Load: a gang of two whole workers in a pool with one; the second worker joins later.
    """

    async def scene_of(scene: Scene) -> list[MessageStruct]:
        unknown = await scene.submit()
        assert isinstance(unknown, GraphState)
        scene.log.state.graphs.graphs.clear()
        scene.control.state.graphs.graphs.clear()
        removal = RecordRuns(now_s=0.0, removed_graph_ids=(GRAPH,))
        scene.control.graph_session.on_command_applied(removal)
        await scene.join(FIRST)
        await asyncio.sleep(SETTLING_S + 0.1)
        refused = await scene.submit()
        stored = await scene.read(), await scene.read("/q/")
        assert GRAPH not in scene.log.state.graphs.graphs
        await scene.join("a2")
        accepted, repeated = await scene.submit(), await scene.submit()
        metrics = scene.control.metrics
        labels = ("q", graph_codes.NOT_FEASIBLE)
        assert graphs_refused(metrics).label_sets.values[labels] == 1
        assert graphs_accepted(metrics).label_sets.values[("q",)] == 2
        return [refused, *stored, accepted, repeated]

    with capture_logs() as captured:
        refused, read, queue, accepted, repeated = play("feasible", scene_of)
    assert isinstance(refused, Failure) and refused.code == graph_codes.NOT_FEASIBLE
    assert refused.retry_after_s == 0.0
    assert isinstance(read, Failure) and read.code == graph_codes.GRAPH_UNKNOWN
    assert queue == QueueState(waiting=0, decision=DECISION)
    assert isinstance(accepted, GraphState) and repeated == accepted
    (line,) = [entry for entry in captured if entry["event"] == "graph refused"]
    expected = {"graph": GRAPH, "queue": "q", "account": "owner", "known_workers": 1, "tasks": [2]}
    assert expected.items() <= line.items()
    assert "gang of 2 tasks" in line["reason"]


def test_accepted_job_is_confirmed_although_it_would_be_refused(
    busy_rule: list[Refusal | None],
) -> None:
    """A caller that repeats an accepted job must not be told that it never runs.

    Load: a job that is accepted, and sent again when the rule refuses everything.
    """

    async def scene_of(scene: Scene) -> tuple[MessageStruct, MessageStruct]:
        busy_rule.append(None)
        accepted = await scene.submit()
        busy_rule.append(Refusal("full", BUSY_S))
        return accepted, await scene.submit()

    accepted, repeated = play("busy", scene_of)
    assert isinstance(accepted, GraphState) and repeated == accepted


def test_job_that_is_being_stored_is_not_refused(busy_rule: list[Refusal | None]) -> None:
    """A repetition must not be refused while the first call is about to store the job.

    Load: two calls at once; the rule refuses from the second one on.
    """

    async def scene_of(scene: Scene) -> tuple[MessageStruct, ...]:
        busy_rule.append(None)
        first = asyncio.create_task(scene.submit())
        while not scene.control.graph_session.admission.pending_graphs:
            await asyncio.sleep(0.001)
        busy_rule.append(Refusal("full", BUSY_S))
        second = await scene.submit()
        assert not scene.control.graph_session.admission.pending_graphs
        return await first, second

    first, second = play("busy", scene_of)
    assert isinstance(first, GraphState) and second == first


@pytest.mark.parametrize(
    ("path", "credential", "state"),
    [
        (PATH, OWNER, "cancelled"),
        (PATH, OTHER, "queued"),
        (f"/q/deep/{GRAPH}", OWNER, "queued"),
        (PATH, STRANGER, "queued"),
    ],
    ids=["its account", "another account", "another queue", "unknown credential"],
)
def test_cancellation_reaches_a_job_that_is_being_stored(
    busy_rule: list[Refusal | None], path: str, credential: bytes, state: str
) -> None:
    """Guards against "no such job" for a job that is stored a moment later, and runs.

    Load: a submission whose caller gets no answer, and its cancellation.
    """

    async def scene_of(scene: Scene) -> tuple[MessageStruct, Any]:
        busy_rule.append(None)
        scene.log.held_types = (AcceptGraph,)
        submission = asyncio.create_task(scene.submit())
        while not scene.log.held:
            await asyncio.sleep(0.001)
        call = CancelGraph(target=target(path, credential))
        cancellation = asyncio.create_task(scene.control.answer(call))
        await asyncio.sleep(0.1)
        scene.log.release()
        await submission
        return await cancellation, await scene.read()

    cancellation, read = play("busy", scene_of)
    assert read.state == state
    assert isinstance(cancellation, Failure) is (state == "queued")


@pytest.mark.parametrize(("retry_after_s", "told_s"), [(BUSY_S, BUSY_S), (0.0, 1.0)])
def test_refusal_with_a_time(
    busy_rule: list[Refusal | None], retry_after_s: float, told_s: float
) -> None:
    """A job that may be accepted later must be told apart from one that never can be.

    Load: any job, with a rule that refuses for some seconds.
    """
    busy_rule.append(Refusal("full", retry_after_s))
    reply = play("busy", lambda scene: scene.submit())
    assert reply == Failure(
        code=graph_codes.NOT_NOW,
        detail="not accepted: full",
        retry_after_s=told_s,
        decision=DECISION,
    )


def test_default_accepts_what_fits_nowhere() -> None:
    """A deployment that does not ask for admission must see no refusal.

    Load: a gang of two whole workers in a settled pool with one.
    """

    async def scene_of(scene: Scene) -> MessageStruct:
        await scene.join(FIRST)
        await asyncio.sleep(SETTLING_S + 0.1)
        reply: MessageStruct = await scene.submit()
        return reply

    assert isinstance(play("accept_all", scene_of), GraphState)
