"""Appliers of the replicated commands about task graphs and queues."""

from cicadatray.internal.control.command_registry import register_applier
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs import graph_codes
from cicadatray.internal.control.graphs.graph_view import view_graph
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.graph_messages import (
    AcceptGraph,
    EndGraph,
    PlacedRun,
    QueuesReply,
    RecordRuns,
    RunsRecorded,
    SetQueues,
)
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress


@register_applier(SetQueues)
def set_queues(state: ControlState, index: int, command: SetQueues) -> MessageStruct:
    """Stores a configuration with a higher version and returns the version in effect."""
    store = state.graphs
    if command.configuration.version > store.queues.version:
        store.queues = command.configuration
        store.source = command.source
    return QueuesReply(version=store.queues.version)


@register_applier(AcceptGraph)
def accept_graph(state: ControlState, index: int, command: AcceptGraph) -> MessageStruct:
    """Stores a graph, unless one with its identifier exists, and returns the stored state."""
    graphs = state.graphs.graphs
    progress = graphs.get(command.graph.graph_id)
    if progress is None:
        progress = GraphProgress(command.graph, command.now_s)
        graphs[command.graph.graph_id] = progress
    return view_graph(progress)


@register_applier(EndGraph)
def cancel_graph(state: ControlState, index: int, command: EndGraph) -> MessageStruct:
    """Cancels a graph that has not ended."""
    progress = state.graphs.graphs.get(command.graph_id)
    if progress is None:
        return Failure(code=graph_codes.GRAPH_UNKNOWN, detail="no such graph")
    if progress.is_active:
        progress.is_cancelled = True
        progress.ended_s = command.now_s
    return view_graph(progress)


@register_applier(RecordRuns)
def record_runs(state: ControlState, index: int, command: RecordRuns) -> MessageStruct:
    """Records checkpoints, then ends, then starts, and removes expired graphs last.

    Returns the starts that took effect.
    """
    graphs = state.graphs.graphs
    for stored in command.checkpoints:
        progress = graphs.get(stored.run.task.graph_id)
        if progress is not None:
            progress.record_checkpoint(stored.run.task, stored.run.run, stored.checkpoint)
    for placed in command.ends:
        task = placed.end.run.task
        progress = graphs.get(task.graph_id)
        if progress is None:
            continue
        end = placed.end
        progress.record_end(
            task,
            end.run.run,
            placed.worker_id,
            end.outcome,
            end.checkpoint,
            end.observed_s,
            state.graphs.agents.get(placed.worker_id, ""),
        )
        if progress.failure and not progress.ended_s:
            progress.ended_s = command.now_s
        progress.finish_if_done(command.now_s)
    started: list[PlacedRun] = []
    for start in command.starts:
        progress = graphs.get(start.run.task.graph_id)
        if progress is not None and progress.record_start(
            start.run.task, start.run.run, start.worker_id
        ):
            started.append(start)
            state.graphs.record_agent(start.worker_id, start.agent_id)
    for graph_id in command.removed_graph_ids:
        graphs.pop(graph_id, None)
    return RunsRecorded(started=tuple(started))
