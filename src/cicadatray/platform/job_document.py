"""Decoding of the jobs that clients submit."""

from typing import Any

import msgspec

from cicadatray.platform.errors import DocumentError
from cicadatray.platform.fields import (
    MS_PER_S,
    parse_json,
    read_boolean,
    read_integer,
    read_list,
    read_number,
    read_string,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition

MAX_SPEC_BYTES = 4000
# A job with more tasks would not fit into one entry of the replicated log.
MAX_TASKS = 20_000
# Each scheduling round looks at all occurrences that are due. A daily job reaches this number after
# 27 years.
MAX_OCCURRENCES = 10_000


class JobDocument(msgspec.Struct, frozen=True):
    """A decoded job: an opaque spec, its steps and its repetition, if any."""

    spec: str
    steps: tuple[Step, ...]
    repetition: Repetition | None


def decode_job(body: bytes) -> JobDocument:
    """Returns the job in a request body.

    Raises:
        DocumentError: the body cannot be decoded, or a field is missing or invalid.
    """
    document = parse_json(body)
    spec = read_string(document, "Spec", "")
    if len(spec.encode()) > MAX_SPEC_BYTES:
        raise DocumentError(f"field Spec exceeds {MAX_SPEC_BYTES} bytes")
    steps = tuple(
        _decode_step(step, number) for number, step in enumerate(read_list(document, "Steps", dict))
    )
    if not steps:
        raise DocumentError("a job must have at least one step")
    if sum(step.count for step in steps) > MAX_TASKS:
        raise DocumentError(f"a job must have at most {MAX_TASKS} tasks")
    return JobDocument(spec, steps, _decode_repetition(document))


def _decode_repetition(document: dict[str, Any]) -> Repetition | None:
    count = read_integer(document, "RepeatCount", 0)
    if count == 0:
        return None
    if count > MAX_OCCURRENCES:
        raise DocumentError(f"a job must run at most {MAX_OCCURRENCES} times")
    first_due_s = read_number(document, "StartAtMs", 0) / MS_PER_S
    return Repetition(count, first_due_s, read_number(document, "IntervalMs", 0) / MS_PER_S)


def _decode_step(step: dict[str, Any], number: int) -> Step:
    depends_on = tuple(read_list(step, "DependsOn", int))
    if any(not 0 <= dependency < number for dependency in depends_on):
        raise DocumentError("field DependsOn must refer to earlier steps")
    return Step(
        count=max(1, read_integer(step, "Count", 1)),
        needs=Resources(
            read_integer(step, "Cpu", 0),
            read_integer(step, "MemMb", 0),
            read_integer(step, "Gpus", 0),
        ),
        estimate_s=read_number(step, "EstimateMs", 0) / MS_PER_S,
        depends_on=depends_on,
        is_checkpointable=read_boolean(step, "Checkpointable"),
        is_gang=read_boolean(step, "Gang"),
        is_rack_local=read_boolean(step, "RackLocal"),
        # Holds a single label in spite of the plural.
        required_label=read_string(step, "Requirements", ""),
        data_rack=read_string(step, "DataRack", ""),
        # The maximum number of the step's tasks on one worker; 0 sets no limit.
        max_per_worker=read_integer(step, "AntiAffinity", 0),
        is_speculative=read_boolean(step, "Speculative"),
        is_long_running=read_boolean(step, "LongRunning"),
        image=read_string(step, "Image", ""),
        latency_target_s=read_number(step, "TargetMs", 0) / MS_PER_S,
        # Whether the tasks use only processor time that other tasks leave idle.
        is_filler=read_boolean(step, "Fills"),
        max_unavailable=read_integer(step, "MaxUnavailable", 0),
    )
