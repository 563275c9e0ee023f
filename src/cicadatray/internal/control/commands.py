"""Imports every module that registers an applier."""

from cicadatray.internal.control import (
    configuration_state,
    evacuation_state,
    job_state,
    key_state,
    rendezvous_state,
)
from cicadatray.internal.control.graphs import graph_state, silence_state

COMMAND_MODULES = (
    configuration_state,
    evacuation_state,
    graph_state,
    job_state,
    key_state,
    rendezvous_state,
    silence_state,
)
