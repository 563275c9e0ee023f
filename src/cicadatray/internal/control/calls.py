"""Imports every module that registers a call handler."""

from cicadatray.internal.control import (
    diagnostic_calls,
    directory_calls,
    evacuation_calls,
    job_calls,
    key_calls,
    replica_calls,
)
from cicadatray.internal.control.graphs import graph_calls, member_calls, queue_calls

CALL_MODULES = (
    diagnostic_calls,
    directory_calls,
    evacuation_calls,
    graph_calls,
    job_calls,
    key_calls,
    member_calls,
    queue_calls,
    replica_calls,
)
