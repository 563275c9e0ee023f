"""Decodes what workers say of themselves and of their runs."""

from typing import Any

import msgspec

from cicadatray.internal.agent.tasks.worker_port import WorkerView
from cicadatray.internal.wire.messages.graph_messages import RunEnd, RunReport, WorkerOffer
from cicadatray.platform.errors import DocumentError
from cicadatray.platform.fields import (
    MS_PER_S,
    parse_address,
    parse_json,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

READY = "ready"
DRAINING = "draining"
OUTCOMES = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LAPSED,
    # Another member of the gang has ended.
    "broken": RunOutcome.PARTNER_ENDED,
    # The run waited in vain for the other members of its gang.
    "alone": RunOutcome.PARTNERS_MISSING,
}


class WorkerAnnouncement(msgspec.Struct, frozen=True):
    """`sequence` rises with each announcement of one incarnation. `clock_s` is the worker's."""

    offer: WorkerOffer
    host: str
    port: int
    sequence: int
    clock_s: float


def decode_announcement(worker_id: str, body: bytes) -> WorkerAnnouncement:
    """Returns what a heartbeat says.

    Raises:
        DocumentError: unreadable, a field is missing or of another type, or the state is unknown.
    """
    document = parse_json(body)
    state = read_text(document, "State")
    if state not in (READY, DRAINING):
        raise DocumentError(f"unknown state {state}")
    labels = tuple(read_list(document, "Labels", str))
    host, port = parse_address(read_text(document, "Address"))
    offer = WorkerOffer(
        worker_id=worker_id,
        pool=read_text(document, "Service"),
        data_centre=read_text(document, "Zone", ""),
        # The labels are the machine's kind and its rack, in this order.
        rack=labels[-1] if labels else "",
        labels=labels,
        capacity=_decode_resources(read_object(document, "Capacity")),
        is_draining=state == DRAINING,
        remaining_s=read_number(document, "RemainingMs", 0) / MS_PER_S,
    )
    sequence = read_integer(document, "Seq", 0)
    return WorkerAnnouncement(
        offer, host, port, sequence, read_number(document, "ClockMs", 0) / MS_PER_S
    )


def decode_view(body: bytes) -> tuple[WorkerView, float]:
    """Returns the lists of a worker and its clock in seconds.

    A row that cannot be read is left out: it names nothing that could be acted on.

    Raises:
        DocumentError: the body cannot be read.
    """
    document = parse_json(body)
    running = [_decode_running(row) for row in read_list(document, "Running", list)]
    ended = [_decode_end(row) for row in read_list(document, "Ended", list)]
    view = WorkerView(
        tuple(report for report in running if report is not None),
        tuple(end for end in ended if end is not None),
    )
    return view, read_number(document, "ClockMs", 0) / MS_PER_S


def decode_task(text: str) -> TaskId:
    """Returns the task that a name stands for.

    Raises:
        DocumentError: the name does not have four parts, or a number is not one.
    """
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        raise DocumentError(f"{text!r} is not the name of a task")
    return TaskId(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def _decode_resources(capacity: dict[str, Any]) -> Resources:
    return Resources(
        read_integer(capacity, "Cpu", 0),
        read_integer(capacity, "MemMb", 0),
        read_integer(capacity, "Gpus", 0),
    )


def _decode_running(row: list[Any]) -> RunReport | None:
    """A row is [task, run, checkpoint, percent] and, since tasks share a worker, a load figure."""
    try:
        task, run, checkpoint, percent = row[:4]
        return RunReport(TaskRun(decode_task(task), int(run)), int(percent), str(checkpoint or ""))
    except (ValueError, TypeError, AttributeError, DocumentError):
        return None


def _decode_end(row: list[Any]) -> RunEnd | None:
    """A row is [number, task, run, how, checkpoint]."""
    try:
        number, task, run, how, checkpoint = row[:5]
        identity = TaskRun(decode_task(task), int(run))
        return RunEnd(identity, OUTCOMES[how], int(number), str(checkpoint or ""))
    except (ValueError, TypeError, AttributeError, KeyError, DocumentError):
        return None
