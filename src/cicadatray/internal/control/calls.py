"""Imports every module that registers a call handler."""

from cicadatray.internal.control import directory_calls, job_calls, key_calls, replica_calls

CALL_MODULES = (directory_calls, job_calls, key_calls, replica_calls)
