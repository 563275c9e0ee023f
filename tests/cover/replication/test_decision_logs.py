"""Tests of log lines about the disk, membership changes and failed elections of a replica."""

import asyncio
import random
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cover.replication.fake_disk import FakeDisk
from cover.replication.local_group import LocalGroup

NAMES = ("a", "b", "c")
# Several election timeouts.
ELECTIONS_S = 6.0


async def _lose_two_disks() -> None:
    group = LocalGroup(NAMES, 3)
    for name in NAMES:
        await group.start(name, FakeDisk(random.Random(name)), bootstrap=True)
    await group.wait_for_leader()
    for name in ("b", "c"):
        group.kill(name)
        await group.start(name, FakeDisk(random.Random(f"new {name}")), bootstrap=False)
    await asyncio.sleep(ELECTIONS_S)
    group.stop()


@pytest.fixture(scope="module")
def lines() -> list[dict[str, Any]]:
    with capture_logs() as captured:
        run_virtual(_lose_two_disks())
    return [dict(line) for line in captured]


def test_start_logs_the_content_of_the_disk(lines: list[dict[str, Any]]) -> None:
    """Without this line, an empty disk cannot be told from one that lacks entries after a loss."""
    loaded = [line for line in lines if line["event"] == "replica loaded"]
    assert len(loaded) == 5
    assert len({line["identity"] for line in loaded}) == 5
    assert all(line["last_index"] == 0 and line["group"] == "" for line in loaded)


def test_membership_change_is_logged(lines: list[dict[str, Any]]) -> None:
    """Without this line, the number of voters at the time of a loss is unknown afterwards."""
    changes = [line for line in lines if line["event"] == "membership in effect"]
    assert [len(line["voters"]) for line in changes if line["index"] == 1] == [3, 3, 3]


def test_failed_election_logs_each_refusal_with_its_reason(lines: list[dict[str, Any]]) -> None:
    """Without this line, a group without a leader does not show which votes are missing."""
    missing = [line for line in lines if line["event"] == "votes missing"]
    assert missing
    last = missing[-1]
    assert last["missing"] == 1
    assert {name: answer.split(":")[0] for name, answer in last["answers"].items()} == {
        "b": "refused",
        "c": "refused",
    }
