"""Admission of every job."""

from cicadatray.scheduling.taskgraphs.rules.admission_rule import Refusal, admission_rules
from cicadatray.scheduling.taskgraphs.rules.admission_view import AdmissionView
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph


@admission_rules.register("accept_all")
def accept_all(graph: TaskGraph, view: AdmissionView) -> Refusal | None:
    """Accepts the job, also if no worker can hold it."""
    return None
