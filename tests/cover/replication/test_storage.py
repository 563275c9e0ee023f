"""Tests of the storage after crashes and after damage that no crash can cause."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadatray.replication.errors import StorageDamagedError, StorageError
from cicadatray.replication.local_data_folder import LocalDataFolder
from cicadatray.replication.log_entry import LogEntry
from cicadatray.replication.membership import Membership
from cicadatray.replication.snapshot import Snapshot, SnapshotPosition
from cicadatray.replication.snapshot_store import snapshot_checksum
from cicadatray.replication.storage import ReplicaStorage
from cover.replication.fake_disk import DiskCrash, FakeDisk


class _StorageModel:
    """Model of what must be on disk after any crash.

    `entries` maps the index of each acknowledged entry to its term; `vote` is the last vote.
    """

    __slots__ = ("disk", "entries", "identity", "storage", "term", "vote")

    def __init__(self, seed: int) -> None:
        self.disk = FakeDisk(random.Random(seed))
        self.storage = self.open()
        self.identity = self.storage.state.identity
        self.entries: dict[int, int] = {}
        self.vote = (0, "")
        self.term = 1

    def open(self) -> ReplicaStorage:
        return ReplicaStorage(self.disk, 128, self.disk.random)

    def run(self, kind: str, amount: int) -> None:
        log = self.storage.log
        last, floor = log.last_index, max(log.base_index, self.storage.snapshots.last_index)
        self.term += 1
        if kind == "append":
            new = {last + 1 + i: self.term for i in range(amount)}
            log.append([LogEntry(index, term, False, b"x" * amount) for index, term in new.items()])
            self.entries.update(new)
        elif kind == "truncate" and last > floor:
            index = max(floor, last - amount)
            for removed in range(index + 1, last + 1):
                self.entries.pop(removed, None)
            log.truncate_after(index)
        elif kind == "vote":
            self.storage.state_file.save_vote(self.term, "v")
            self.vote = (self.term, "v")
        elif kind == "compact" and last > floor:
            index = max(floor + 1, last - amount)
            self.storage.compact(index, log.term_at(index), Membership(), b"s", 2)
        elif kind == "install":
            data = b"s" * amount
            position = SnapshotPosition(
                last + amount, self.term, Membership(), len(data), snapshot_checksum(data)
            )
            self.entries = {}
            self.storage.install_snapshot(Snapshot(position, data))

    def check(self) -> None:
        storage = self.storage
        assert storage.state.identity == self.identity
        assert storage.state.term >= self.vote[0]
        assert storage.state.term > self.vote[0] or storage.state.voted_for == self.vote[1]
        for index, term in self.entries.items():
            if index > storage.log.base_index:
                assert storage.log.last_index >= index
                assert storage.log.term_at(index) == term


KINDS = st.sampled_from(("append", "append", "truncate", "vote", "compact", "install", "restart"))


@settings(max_examples=400)
@given(
    seed=st.integers(0, 2**32),
    steps=st.lists(st.tuples(KINDS, st.integers(1, 9), st.integers(-1, 9)), max_size=25),
)
def test_crash_at_any_write_loses_nothing_acknowledged(
    seed: int, steps: list[tuple[str, int, int]]
) -> None:
    """Guards against lost entries, votes or identities, and crashes that are reported as damage."""
    model = _StorageModel(seed)
    for kind, amount, crash_after in steps:
        model.disk.crash_after = crash_after
        try:
            model.run(kind, amount)
        except DiskCrash:
            kind = "restart"
        if kind == "restart":
            model.disk.is_dead = True
            model.disk.restart()
            model.storage = model.open()
        model.disk.crash_after = -1
        model.check()


@pytest.mark.parametrize("name", ["state", "synced", "log", "snapshot"])
@pytest.mark.parametrize("change", ["flip", "cut", "remove"])
def test_damage_is_reported_and_not_served(name: str, change: str) -> None:
    """Guards against acknowledged data that is silently dropped or served although damaged."""
    model = _StorageModel(1)
    for _ in range(30):
        model.run("append", 1)
    model.run("compact", 1)
    model.run("append", 3)
    target = [other for other in model.disk.names() if other.startswith(name)][-1]
    file = model.disk.files[target]
    if change == "remove":
        del model.disk.files[target]
    else:
        half = len(file.content) // 2
        flipped = bytes([file.content[half] ^ 1])
        file.content = file.content[:half] + (flipped + file.content[half + 1 :]) * (
            change == "flip"
        )
    if (name, change) in (("synced", "flip"), ("synced", "cut")):
        assert model.open().log.last_index == 33  # a torn marker is ignored
    elif (name, change) == ("snapshot", "remove"):
        with pytest.raises(StorageDamagedError, match="missing"):
            model.open()
    else:
        with pytest.raises(StorageDamagedError):
            model.open()


def test_local_folder_stores_data_and_excludes_a_second_process(tmp_path: object) -> None:
    """Guards against two processes writing one log, and operations that differ from the fake."""
    folder = LocalDataFolder(str(tmp_path))
    with pytest.raises(StorageError):
        LocalDataFolder(str(tmp_path))
    storage = ReplicaStorage(folder, 128, random.Random(1))
    storage.log.append([LogEntry(index, 1, False, b"x" * 50) for index in range(1, 9)])
    storage.log.truncate_after(7)
    storage.compact(5, 1, Membership(), b"state", 2)
    folder.close()
    reopened_storage = ReplicaStorage(LocalDataFolder(str(tmp_path)), 128, random.Random(2))
    assert reopened_storage.state.identity == storage.state.identity
    assert (reopened_storage.log.last_index, reopened_storage.snapshots.last_index) == (7, 5)
