"""Everything that a replica keeps in its data folder."""

import random
from collections.abc import Callable

from cicadatray.replication.data_folder import DataFolder
from cicadatray.replication.entry_log import EntryLog
from cicadatray.replication.errors import StorageDamagedError
from cicadatray.replication.membership import Membership
from cicadatray.replication.segment_log import SegmentLog
from cicadatray.replication.snapshot import Snapshot
from cicadatray.replication.snapshot_store import SNAPSHOT_TEMPORARY_NAME, SnapshotStore
from cicadatray.replication.state_file import (
    STATE_NAME,
    STATE_TEMPORARY_NAME,
    DurableState,
    StateFile,
    load_state,
)
from cicadatray.replication.sync_marker import MARKER_NAME
from cicadatray.replication.write_queue import QueuedDataFolder

IDENTITY_BITS = 64


class ReplicaStorage:
    """`loaded_snapshot` is what was found at the start; the owner clears it after restoring."""

    __slots__ = ("folder", "loaded_snapshot", "log", "snapshots", "state_file")

    def __init__(
        self, folder: DataFolder, segment_bytes: int, random_source: random.Random
    ) -> None:
        """Loads the folder, or creates its files with a new identity when it is empty.

        Raises:
            StorageDamagedError: acknowledged data is damaged or missing.
            StorageError: the folder cannot be used.
        """
        self.folder = folder
        stored = SegmentLog(folder, segment_bytes)
        self.log = EntryLog(stored)
        self.snapshots = SnapshotStore(folder)
        self._delete_temporary_files()
        if STATE_NAME not in folder.names():
            self._require_empty()
            stored.marker.create()
            self.state_file = StateFile(folder, DurableState(identity=""))
            self.state_file.save(DurableState(identity=new_identity(random_source)))
        elif MARKER_NAME not in folder.names():
            raise StorageDamagedError(f"file {MARKER_NAME} is missing")
        self.state_file = StateFile(folder, load_state(folder))
        self.loaded_snapshot = self.snapshots.load()
        self.log.load(self.snapshots.last_index, self.snapshots.last_term)

    @property
    def state(self) -> DurableState:
        """Identity, group, term and vote."""
        return self.state_file.state

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Calls back once every change made so far is on disk, at once without a queue."""
        if isinstance(self.folder, QueuedDataFolder):
            self.folder.when_written(callback)
        else:
            callback()

    async def flush(self) -> None:
        """Returns once every change made so far is on disk.

        Raises:
            ReplicaStoppedError: a write failed, or the replica ended.
        """
        if isinstance(self.folder, QueuedDataFolder):
            await self.folder.flush()

    def compact(
        self, index: int, term: int, membership: Membership, data: bytes, keep: int
    ) -> None:
        """Stores a snapshot of the applied entries and drops all but the last `keep` of them."""
        self.snapshots.save(index, term, membership, data)
        self.log.compact(index - keep)

    def install(self, snapshot: Snapshot) -> None:
        """Replaces the log by a snapshot received from the leader."""
        position = snapshot.position
        self.snapshots.save(
            position.last_index, position.last_term, position.membership, snapshot.data
        )
        self.log.reset(position.last_index, position.last_term)

    def _delete_temporary_files(self) -> None:
        for name in self.folder.names():
            if name in (STATE_TEMPORARY_NAME, SNAPSHOT_TEMPORARY_NAME):
                self.folder.delete(name)

    def _require_empty(self) -> None:
        """A folder without its state but with other files must not pass for a new one."""
        names = [name for name in self.folder.names() if name != MARKER_NAME]
        if names:
            raise StorageDamagedError(f"file {STATE_NAME} is missing beside {names}")


def new_identity(random_source: random.Random) -> str:
    """Returns a random identifier that no other data folder or group has."""
    return f"{random_source.getrandbits(IDENTITY_BITS):016x}"
