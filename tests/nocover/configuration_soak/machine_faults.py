"""The faults that a soak injects into the processes of one machine."""

import os
import threading
import time
from pathlib import Path

import msgspec

POLL_INTERVAL_S = 0.02
BOTH_WAYS = "both"
OUTGOING = "outgoing"
INCOMING = "incoming"
DISK_FULL = "full"
DISK_STALLED = "stalled"


class MachineFaults(msgspec.Struct):
    """The faults in force; times are in seconds of the steady clock, which all processes share.

    `cuts` maps the address of a peer to the direction that carries nothing. Connections that were
    opened before `silent_before_s` carry nothing any more, those before `reset_before_s` are reset.
    Nothing answers at the addresses `off`, not even with a refusal.
    `clock_step_s` is added to the time of day, `sync_s` to each sync of the disk.
    """

    cuts: dict[str, str] = {}
    off: list[str] = []
    silent_before_s: float = 0.0
    reset_before_s: float = 0.0
    disk: str = ""
    sync_s: float = 0.0
    clock_step_s: float = 0.0

    def store(self, path: Path) -> None:
        """Replaces the file from which the processes of the machine read their faults."""
        temporary = path.with_suffix(".tmp")
        temporary.write_bytes(msgspec.json.encode(self))
        temporary.replace(path)


class WatchedFaults:
    """Follows the file with the faults of this machine from a thread of its own."""

    __slots__ = ("current", "modified_ns", "path")

    def __init__(self, path: Path) -> None:
        self.path = path
        self.current = MachineFaults()
        self.modified_ns = 0
        self._load()
        threading.Thread(target=self._run, name="faults", daemon=True).start()

    def is_held(self, peer: str, direction: str, opened_s: float) -> bool:
        """Returns whether bytes of a connection in one direction are held up."""
        cut = self.current.cuts.get(peer, "")
        is_cut = cut in (BOTH_WAYS, direction) or peer in self.current.off
        return is_cut or opened_s < self.current.silent_before_s

    def _run(self) -> None:
        while True:
            time.sleep(POLL_INTERVAL_S)
            self._load()

    def _load(self) -> None:
        try:
            modified_ns = os.stat(self.path).st_mtime_ns
            if modified_ns != self.modified_ns:
                self.current = msgspec.json.decode(self.path.read_bytes(), type=MachineFaults)
                self.modified_ns = modified_ns
        except FileNotFoundError:
            self.current = MachineFaults()
