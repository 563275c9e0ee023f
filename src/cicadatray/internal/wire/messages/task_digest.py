"""The digest of the tasks in an announcement."""

import hashlib

import msgspec

from cicadatray.internal.wire.messages.directory_messages import TaskReport

DIGEST_BYTES = 8


def task_digest(reports: tuple[TaskReport, ...]) -> bytes:
    """Returns a digest of jobs, epochs and states, but not of run times, which keep changing."""
    tasks = sorted((report.job_id, report.epoch, report.state) for report in reports)
    return hashlib.blake2b(msgspec.msgpack.encode(tasks), digest_size=DIGEST_BYTES).digest()
