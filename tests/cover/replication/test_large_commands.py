"""Commands of the largest size that the log takes."""

import random

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.frame import FRAME_LIMIT_BYTES
from cicadatray.replication.limits import (
    COMMAND_LIMIT_BYTES,
    MESSAGE_LIMIT_BYTES,
    RECORD_LIMIT_BYTES,
)
from cover.replication.fake_disk import FakeDisk
from cover.replication.local_group import LocalGroup

NAMES = ("a", "b", "c")
COMMIT_LIMIT_S = 5.0


def test_each_limit_leaves_room_for_what_surrounds_it() -> None:
    """Guards against commands that are accepted but fit into no record, message or frame."""
    assert COMMAND_LIMIT_BYTES < RECORD_LIMIT_BYTES < MESSAGE_LIMIT_BYTES < FRAME_LIMIT_BYTES


@pytest.mark.parametrize("size", [64, 1024 * 1024, COMMAND_LIMIT_BYTES])
def test_log_stays_bounded_under_large_commands(size: int) -> None:
    """Guards against a log of large commands that fills the memory and the disk of a member."""

    async def main() -> None:
        group = LocalGroup(NAMES, group_size=3)
        for name in NAMES:
            await group.start(name, FakeDisk(random.Random(name)), bootstrap=True)
        leader = await group.wait_for_leader()
        command = b"x" * size
        for _ in range(16):
            assert await leader.propose(command, COMMIT_LIMIT_S) == command
        settings = leader.settings
        bound = settings.snapshot_bytes + settings.retained_bytes + 2 * size
        assert leader.core.storage.log.bytes_in_memory <= bound
        assert leader.applied_index >= 16
        group.stop()

    run_virtual(main())
