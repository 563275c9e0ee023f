"""Applies committed entries to the state machine and takes snapshots."""

import asyncio

from cicadatray.replication.errors import StorageError
from cicadatray.replication.limits import SNAPSHOT_LIMIT_BYTES
from cicadatray.replication.membership_history import MembershipHistory
from cicadatray.replication.replica_settings import ReplicaSettings
from cicadatray.replication.snapshot import Snapshot
from cicadatray.replication.state_machine import ReplicatedStateMachine
from cicadatray.replication.storage import ReplicaStorage


class Applier:
    """Tracks the commit index and applies entries in log order.

    On the leader, `pending_results` maps the index of a proposed entry to its proposer's future.
    """

    __slots__ = (
        "applied_index",
        "bytes_since_snapshot",
        "commit_index",
        "history",
        "pending_results",
        "settings",
        "state_machine",
        "storage",
    )

    def __init__(
        self,
        settings: ReplicaSettings,
        storage: ReplicaStorage,
        state_machine: ReplicatedStateMachine,
        history: MembershipHistory,
    ) -> None:
        self.settings = settings
        self.storage = storage
        self.state_machine = state_machine
        self.history = history
        self.commit_index = 0
        self.applied_index = 0
        self.bytes_since_snapshot = 0
        self.pending_results: dict[int, asyncio.Future[bytes]] = {}

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the state of the application with a snapshot."""
        self.state_machine.restore(snapshot.data)
        self.commit_index = snapshot.position.last_index
        self.applied_index = snapshot.position.last_index
        self.bytes_since_snapshot = 0

    def advance(self, commit_index: int) -> None:
        """Applies all entries up to `commit_index`; ignores an index that is already committed."""
        if commit_index <= self.commit_index:
            return
        self.commit_index = commit_index
        while self.applied_index < commit_index:
            self._apply(self.applied_index + 1)
        self._take_snapshot_when_due()

    def _apply(self, index: int) -> None:
        entry = self.storage.log.entry(index)
        result = b""
        if not entry.is_membership:
            result = self.state_machine.apply(index, entry.data)
        self.applied_index = index
        self.bytes_since_snapshot += len(entry.data)
        pending_result = self.pending_results.pop(index, None)
        if pending_result is not None and not pending_result.done():
            pending_result.set_result(result)

    def _take_snapshot_when_due(self) -> None:
        entries = self.applied_index - self.storage.snapshots.last_index
        is_due = entries >= self.settings.snapshot_entries
        if not is_due and self.bytes_since_snapshot < self.settings.snapshot_bytes:
            return
        data = self.state_machine.snapshot()
        if len(data) > SNAPSHOT_LIMIT_BYTES:
            raise StorageError(
                f"snapshot has {len(data)} bytes, limit is {SNAPSHOT_LIMIT_BYTES} bytes"
            )
        index = self.applied_index
        term = self.storage.log.term_at(index)
        membership = self.history.at(index)
        retained_entries = self.storage.log.count_retainable(
            index, self.settings.retained_entries, self.settings.retained_bytes
        )
        self.storage.compact(index, term, membership, data, retained_entries)
        self.history.compact(self.storage.log.base_index)
        self.bytes_since_snapshot = 0
