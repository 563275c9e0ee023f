"""Persistent storage of a replica: state file, log and snapshot in one data folder."""

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
    """Combines the state file, the log and the snapshots of one data folder.

    `loaded_snapshot` is the snapshot found at the start; the owner clears it after restoring it.
    """

    __slots__ = ("folder", "loaded_snapshot", "log", "snapshots", "state_file")

    def __init__(
        self, folder: DataFolder, segment_bytes: int, random_source: random.Random
    ) -> None:
        """Loads the data folder, or initialises an empty one with a new identity.

        Raises:
            StorageDamagedError: acknowledged data is damaged or missing.
            StorageError: the data folder cannot be used.
        """
        self.folder = folder
        segment_log = SegmentLog(folder, segment_bytes)
        self.log = EntryLog(segment_log)
        self.snapshots = SnapshotStore(folder)
        self._delete_temporary_files()
        if STATE_NAME not in folder.names():
            self._require_empty()
            segment_log.sync_marker.create()
            self.state_file = StateFile(folder, DurableState(identity=""))
            self.state_file.save(DurableState(identity=new_identity(random_source)))
        elif MARKER_NAME not in folder.names():
            raise StorageDamagedError(f"file {MARKER_NAME} is missing")
        self.state_file = StateFile(folder, load_state(folder))
        self.loaded_snapshot = self.snapshots.load()
        self.log.load(self.snapshots.last_index, self.snapshots.last_term)

    @property
    def state(self) -> DurableState:
        """The identity, group, term and vote of this member."""
        return self.state_file.state

    def call_when_durable(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once every change made so far is durable.

        It is called immediately if the data folder has no queue of writes.
        """
        if isinstance(self.folder, QueuedDataFolder):
            self.folder.call_when_written(callback)
        else:
            callback()

    async def flush(self) -> None:
        """Returns once every change made so far is durable.

        Raises:
            ReplicaStoppedError: a write failed, or the replica has stopped.
        """
        if isinstance(self.folder, QueuedDataFolder):
            await self.folder.flush()

    def compact(
        self, index: int, term: int, membership: Membership, data: bytes, retained_entries: int
    ) -> None:
        """Saves a snapshot up to `index`; discards entries except the last `retained_entries`."""
        self.snapshots.save(index, term, membership, data)
        self.log.compact(index - retained_entries)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the log with a snapshot received from the leader."""
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
        """Raises `StorageDamagedError` for a folder without a state file that is not empty.

        Such a folder must not be initialised as a new one.
        """
        names = [name for name in self.folder.names() if name != MARKER_NAME]
        if names:
            raise StorageDamagedError(f"file {STATE_NAME} is missing, but there are files {names}")


def new_identity(random_source: random.Random) -> str:
    """Returns a random identifier that is unique among data folders and groups."""
    return f"{random_source.getrandbits(IDENTITY_BITS):016x}"
