"""The resource usage of a process, read from the kernel's process files."""

import os
from pathlib import Path

import msgspec

KIB = 1024


class ProcessUsage(msgspec.Struct, frozen=True):
    """Resident memory in bytes, processor time in seconds."""

    resident_bytes: int
    processor_s: float


def read_usage(process_id: int) -> ProcessUsage:
    """Returns the current usage of a process."""
    status = Path(f"/proc/{process_id}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ProcessUsage(int(resident.split()[1]) * KIB, ticks / os.sysconf("SC_CLK_TCK"))
