"""Decoding of the documents that workers send about themselves and their runs."""

from typing import Any

import msgspec
import structlog

from cicadatray.internal.agent.tasks.worker_port import WorkerView
from cicadatray.internal.wire.messages.graph_messages import RunEnd, RunReport, WorkerOffer
from cicadatray.platform.errors import DocumentError
from cicadatray.platform.fields import (
    MAX_NUMBER,
    MS_PER_S,
    parse_address,
    parse_json,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
)
from cicadatray.platform.worker_identity import WorkerIdentity
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

log = structlog.get_logger(__name__)

LOGGED_ROW_LENGTH = 200
# What decoding a row of unknown content raises.
ROW_ERRORS = (ValueError, TypeError, AttributeError, KeyError, DocumentError)
# A worker returns at most this many ends in one answer, and the next ones once these are
# acknowledged.
MAX_ENDS_LISTED = 500
# Without them an announcement comes from another writer, and none of it may be used.
REQUIRED_FIELDS = ("Service", "Address", "State", "Capacity", "Labels", "Seq")
READY = "ready"
DRAINING = "draining"
OUTCOMES_BY_NAME = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LAPSED,
    # Another member of the gang has ended.
    "broken": RunOutcome.PARTNER_ENDED,
    # The run waited for other members of its gang, which did not start.
    "alone": RunOutcome.PARTNERS_MISSING,
}


class WorkerAnnouncement(msgspec.Struct, frozen=True):
    """A worker's announcement of itself.

    `sequence` increases with each announcement of an incarnation. `clock_s` is the time of the
    worker's clock, 0 if unknown.
    """

    identity: WorkerIdentity
    offer: WorkerOffer
    host: str
    port: int
    sequence: int
    clock_s: float


def decode_announcement(identifier: str, body: bytes) -> WorkerAnnouncement:
    """Returns the announcement in a worker's heartbeat.

    Raises:
        DocumentError: the body cannot be decoded, a field is missing or invalid, or the state is
            unknown.
    """
    document = parse_json(body)
    missing = [name for name in REQUIRED_FIELDS if document.get(name) is None]
    if missing:
        raise DocumentError(f"fields missing: {', '.join(missing)}")
    state = read_string(document, "State")
    if state not in (READY, DRAINING):
        raise DocumentError(f"unknown state {state}")
    identity = WorkerIdentity(identifier, _read_born_ms(document))
    labels = tuple(read_list(document, "Labels", str))
    host, port = parse_address(read_string(document, "Address"))
    offer = WorkerOffer(
        worker_id=identity.incarnation,
        pool=read_string(document, "Service"),
        data_centre=read_string(document, "Zone", ""),
        # The labels are the type of the instance and its rack, in this order.
        rack=labels[-1] if labels else "",
        labels=labels,
        capacity=_decode_resources(read_object(document, "Capacity")),
        is_draining=state == DRAINING,
        remaining_s=read_number(document, "RemainingMs", 0) / MS_PER_S,
        cold_remaining_s=_decode_cold_remaining_s(document),
    )
    sequence = read_integer(document, "Seq", 0)
    clock_s = read_number(document, "ClockMs", 0) / MS_PER_S
    return WorkerAnnouncement(identity, offer, host, port, sequence, clock_s)


def decode_view(body: bytes) -> tuple[WorkerView, float, int]:
    """Returns the runs that a worker lists, the time of its clock, and the start of its process.

    The clock is in seconds and the start in milliseconds since 1970; both are 0 if unknown. Rows
    that cannot be decoded are skipped and logged, because they identify no run to act on. An empty
    list may be omitted. The view is complete if it has fewer ends than a worker lists at once.

    Raises:
        DocumentError: the body cannot be decoded.
    """
    document = parse_json(body)
    running = [_decode_running(row) for row in read_list(document, "Running", object)]
    ended = [_decode_end(row) for row in read_list(document, "Ended", object)]
    clock_s = _decode_clock_s(document)
    view = WorkerView(
        tuple(report for report in running if report is not None),
        tuple(end for end in ended if end is not None),
        is_complete=len(ended) < MAX_ENDS_LISTED,
        clock_s=clock_s,
    )
    return view, clock_s, _read_born_ms(document)


def _read_born_ms(document: dict[str, Any]) -> int:
    """Returns when the process of the worker started, in milliseconds since 1970."""
    return read_integer(document, "born", 0)


def decode_task(text: str) -> TaskId:
    """Returns the task ID that a name stands for.

    Raises:
        DocumentError: the name does not have four parts, or one of the last three is no number
            or out of range.
    """
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        raise DocumentError(f"{text!r} is not a task name")
    occurrence, step, index = (_decode_integer(int(part)) for part in parts[1:])
    return TaskId(parts[0], occurrence, step, index)


def _decode_resources(capacity: dict[str, Any]) -> Resources:
    return Resources(
        read_integer(capacity, "Cpu", 0),
        read_integer(capacity, "MemMb", 0),
        read_integer(capacity, "Gpus", 0),
    )


def _decode_clock_s(document: dict[str, Any]) -> float:
    try:
        return read_number(document, "ClockMs", 0) / MS_PER_S
    except DocumentError as error:
        log.warning("clock of the worker ignored", reason=str(error))
        return 0.0


def _decode_cold_remaining_s(document: dict[str, Any]) -> float:
    try:
        return read_number(document, "ColdRemainingMs", 0) / MS_PER_S
    except DocumentError as error:
        # The time is only a hint; without it the worker counts as warm.
        log.warning("time until the worker is warm ignored", reason=str(error))
        return 0.0


def _decode_running(row: object) -> RunReport | None:
    """Decodes a row [task, run, checkpoint, percent] with an optional load figure at the end.

    Returns None if the row names no run. A run without a valid percent is still there.
    """
    try:
        task, run, checkpoint, percent, *_ = _pad_row(row, 4)
        task_run = TaskRun(decode_task(task), _decode_integer(run))
    except ROW_ERRORS as error:
        log.warning("row of a run ignored", row=str(row)[:LOGGED_ROW_LENGTH], reason=str(error))
        return None
    return RunReport(task_run, _decode_percent(percent), _decode_checkpoint(checkpoint))


def _decode_end(row: object) -> RunEnd | None:
    """Decodes a row [number, task, run, outcome, checkpoint]; returns None if it is invalid."""
    try:
        number, task, run, outcome, checkpoint, *_ = _pad_row(row, 5)
        task_run = TaskRun(decode_task(task), _decode_integer(run))
        outcome = OUTCOMES_BY_NAME[outcome]
        return RunEnd(task_run, outcome, _decode_integer(number), _decode_checkpoint(checkpoint))
    except ROW_ERRORS as error:
        log.warning(
            "row of a run end ignored", row=str(row)[:LOGGED_ROW_LENGTH], reason=repr(error)
        )
        return None


def _pad_row(row: object, length: int) -> list[Any]:
    """Returns a row with None for each missing field at its end."""
    if not isinstance(row, list):
        raise DocumentError("the row is not a list")
    return row + [None] * (length - len(row))


def _decode_integer(value: Any) -> int:
    """Returns a number that messages can carry; integers are limited to 64 bits there."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value != int(value):
        raise DocumentError("the number is not an integer")
    if not 0 <= value <= MAX_NUMBER:
        raise DocumentError(f"number {value} is out of range")
    return int(value)


def _decode_percent(value: Any) -> int:
    try:
        percent = int(value)
        return percent if 0 <= percent <= 100 else 0
    except ROW_ERRORS:
        # Progress only refines estimates of the remaining time; 0 means that none is known.
        return 0


def _decode_checkpoint(value: object) -> str:
    return value if isinstance(value, str) else ""
