"""Tests of writes on a thread, and of what waits for them and what does not."""

import asyncio
import errno
import os
from pathlib import Path

import pytest

from cicadatray.replication import local_data_folder
from cicadatray.replication.errors import ReplicaStoppedError, StorageError
from cicadatray.replication.local_data_folder import LocalDataFolder
from cicadatray.replication.message import FormationRequest, Refusal
from cicadatray.replication.write_queue import QueuedDataFolder
from cover.replication.local_group import LocalGroup
from cover.replication.slow_folder import SlowFolder

NAMES = ("a", "b", "c")
PROPOSE_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 20.0


def test_names_show_queued_changes(tmp_path: Path) -> None:
    """Guards against a log reset that misses a file whose creation is still queued."""

    async def main() -> None:
        slow = SlowFolder(str(tmp_path))
        folder = QueuedDataFolder(slow)
        folder.start_thread(lambda error: None)
        slow.is_responding.clear()
        folder.create("one", b"1")
        folder.sync("one")
        folder.create("two", b"2")
        folder.rename("one", "three")
        assert folder.names() == ["three", "two"]
        slow.is_responding.set()
        await folder.flush()
        assert slow.names() == ["three", "two"]
        folder.close()

    asyncio.run(main())


def test_failed_write_stops_all_later_ones(tmp_path: Path) -> None:
    """Guards against acknowledging a record after one that could not be written."""

    async def main() -> list[Exception]:
        failures: list[Exception] = []
        folder = QueuedDataFolder(LocalDataFolder(str(tmp_path)))
        folder.start_thread(failures.append)
        folder.delete("missing")
        folder.create("later", b"1")
        with pytest.raises(ReplicaStoppedError):
            await folder.flush()
        assert "later" not in folder.folder.names()
        folder.close()
        return failures

    assert [type(error) for error in asyncio.run(main())] == [StorageError]


def test_write_to_a_full_disk_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a temporarily full disk that stops the member or loses data."""
    refusals = iter([OSError(errno.ENOSPC, "full")] * 3)
    write = os.pwrite

    def refuse_first(descriptor: int, data: memoryview, offset: int) -> int:
        for error in refusals:
            raise error
        return write(descriptor, data, offset)

    monkeypatch.setattr(local_data_folder, "FULL_DISK_RETRY_S", 0.0)
    monkeypatch.setattr(os, "pwrite", refuse_first)
    folder = LocalDataFolder(str(tmp_path))
    folder.create("file", b"content")
    assert folder.read("file") == b"content"
    folder.close()


@pytest.mark.parametrize("stalled", ["leader", "follower"])
def test_stalled_disk_of_one_member_does_not_stop_commits(tmp_path: Path, stalled: str) -> None:
    """Guards against a slow sync on the event loop, which cost the leader its majority."""

    async def main() -> None:
        group = LocalGroup(NAMES, group_size=0)
        folders = {name: SlowFolder(str(tmp_path / name)) for name in NAMES}
        for name in NAMES:
            await group.start(name, QueuedDataFolder(folders[name]), bootstrap=True)
        leader = await group.wait_for_leader()
        await leader.propose(b"before", PROPOSE_TIMEOUT_S)
        own = leader.settings.member_id
        other = next(name for name in NAMES if name != own)
        folder = folders[own if stalled == "leader" else other]
        folder.is_responding.clear()
        for number in range(3):
            await leader.propose(b"%d" % number, PROPOSE_TIMEOUT_S)
        assert group.states[own].commands == [b"before", b"0", b"1", b"2"]
        folder.is_responding.set()
        group.stop()

    asyncio.run(main())


def test_member_with_a_stalled_disk_acknowledges_nothing(tmp_path: Path) -> None:
    """Guards against counting an entry that is not durable; a power loss of two would lose it."""

    async def main() -> None:
        group = LocalGroup(NAMES, group_size=0)
        folders = {name: SlowFolder(str(tmp_path / name)) for name in NAMES}
        for name in NAMES:
            await group.start(name, QueuedDataFolder(folders[name]), bootstrap=True)
        leader = await group.wait_for_leader()
        await leader.propose(b"before", PROPOSE_TIMEOUT_S)
        for name in NAMES:
            if name != leader.settings.member_id:
                folders[name].is_responding.clear()
        proposal = asyncio.create_task(leader.propose(b"lost", PROPOSE_TIMEOUT_S))
        await asyncio.sleep(0.5)
        assert not proposal.done() or proposal.exception() is not None
        assert b"lost" not in group.states[leader.settings.member_id].commands
        for folder in folders.values():
            folder.is_responding.set()
        proposal.cancel()
        await asyncio.gather(proposal, return_exceptions=True)
        group.stop()

    asyncio.run(main())


@pytest.mark.parametrize("is_responding", [True, False])
def test_flush_after_close_fails(tmp_path: Path, is_responding: bool) -> None:
    """Guards against a caller that waits for ever for writes that nobody carries out."""

    async def main() -> None:
        slow = SlowFolder(str(tmp_path))
        folder = QueuedDataFolder(slow)
        folder.start_thread(lambda error: None)
        folder.create("one", b"1")
        await folder.flush()
        if not is_responding:
            slow.is_responding.clear()
        folder.sync("one")
        folder.close()
        with pytest.raises(ReplicaStoppedError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await folder.flush()
        slow.is_responding.set()

    asyncio.run(main())


@pytest.mark.parametrize("is_responding", [True, False])
def test_request_after_a_stop_is_refused(tmp_path: Path, is_responding: bool) -> None:
    """Guards against a stopped member that leaves the requests of others unanswered."""

    async def main() -> None:
        group = LocalGroup(NAMES, group_size=0)
        slow = {name: SlowFolder(str(tmp_path / name)) for name in NAMES}
        folders = {name: QueuedDataFolder(folder) for name, folder in slow.items()}
        for name in NAMES:
            await group.start(name, folders[name], bootstrap=True)
        leader = await group.wait_for_leader()
        stopped = next(r for r in group.replicas.values() if r is not leader)
        folder = folders[stopped.settings.member_id]
        disk = slow[stopped.settings.member_id]
        if not is_responding:
            disk.is_responding.clear()
            folder.sync(folder.names()[0])
        stopped.abort()
        if is_responding and folder.thread is not None:
            await asyncio.to_thread(folder.thread.join)
        request = FormationRequest(identity=leader.core.identity, term=leader.term)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            assert isinstance(await stopped.handle(request), Refusal)
        disk.is_responding.set()
        group.stop()

    asyncio.run(main())
