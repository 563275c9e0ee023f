"""Decodes the jobs that clients hand in."""

from typing import Any

import msgspec

from cicadatray.platform.errors import DocumentError
from cicadatray.platform.fields import (
    MS_PER_S,
    parse_json,
    read_flag,
    read_integer,
    read_list,
    read_number,
    read_text,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition

SPEC_LIMIT_BYTES = 4000
# A job with more tasks than this would not fit into one record of the log.
TASK_LIMIT = 20_000


class JobDocument(msgspec.Struct, frozen=True):
    """A job as the product takes it."""

    spec: str
    steps: tuple[Step, ...]
    repetition: Repetition | None


def decode_job(body: bytes) -> JobDocument:
    """Returns the job in a request body.

    Raises:
        DocumentError: unreadable, or a field is missing or of another type.
    """
    document = parse_json(body)
    spec = read_text(document, "Spec", "")
    if len(spec.encode()) > SPEC_LIMIT_BYTES:
        raise DocumentError(f"field Spec: more than {SPEC_LIMIT_BYTES} bytes")
    steps = tuple(
        _decode_step(step, number) for number, step in enumerate(read_list(document, "Steps", dict))
    )
    if not steps:
        raise DocumentError("a job needs a step")
    if sum(step.count for step in steps) > TASK_LIMIT:
        raise DocumentError(f"a job has at most {TASK_LIMIT} tasks")
    return JobDocument(spec, steps, _decode_repetition(document))


def _decode_repetition(document: dict[str, Any]) -> Repetition | None:
    count = read_integer(document, "RepeatCount", 0)
    if count == 0:
        return None
    first_due_s = read_number(document, "StartAtMs", 0) / MS_PER_S
    return Repetition(count, first_due_s, read_number(document, "IntervalMs", 0) / MS_PER_S)


def _decode_step(step: dict[str, Any], number: int) -> Step:
    depends_on = tuple(read_list(step, "DependsOn", int))
    if any(not 0 <= earlier < number for earlier in depends_on):
        raise DocumentError("field DependsOn: only earlier steps can be named")
    return Step(
        count=max(1, read_integer(step, "Count", 1)),
        needs=Resources(
            read_integer(step, "Cpu", 0),
            read_integer(step, "MemMb", 0),
            read_integer(step, "Gpus", 0),
        ),
        estimate_s=read_number(step, "EstimateMs", 0) / MS_PER_S,
        depends_on=depends_on,
        is_checkpointable=read_flag(step, "Checkpointable"),
        is_gang=read_flag(step, "Gang"),
        is_rack_local=read_flag(step, "RackLocal"),
        # One label in spite of the plural.
        required_label=read_text(step, "Requirements", ""),
        data_rack=read_text(step, "DataRack", ""),
        max_per_worker=read_integer(step, "AntiAffinity", 0),
        is_speculative=read_flag(step, "Speculative"),
        is_long_running=read_flag(step, "LongRunning"),
        image=read_text(step, "Image", ""),
        latency_target_s=read_number(step, "TargetMs", 0) / MS_PER_S,
        is_filler=read_flag(step, "Fills"),
        max_unavailable=read_integer(step, "MaxUnavailable", 0),
    )
