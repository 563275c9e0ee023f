"""Rules for which submitted jobs are accepted."""

from collections.abc import Callable

import msgspec

from cicadatray.scheduling.taskgraphs.rules.admission_view import AdmissionView
from cicadatray.scheduling.taskgraphs.rules.rule_registry import RuleRegistry
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph


class Refusal(msgspec.Struct, frozen=True):
    """Why a job is not accepted. `retry_after_s` is None if a resubmission would not help."""

    reason: str
    retry_after_s: float | None = None


# Returns None for a job that is accepted. A refused job is not stored and never runs.
AdmissionRule = Callable[[TaskGraph, AdmissionView], Refusal | None]

admission_rules: RuleRegistry[AdmissionRule] = RuleRegistry("admission")
