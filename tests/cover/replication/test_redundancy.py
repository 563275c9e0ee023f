"""Tests of the number of disk losses that a group tolerates, as its leader reports it."""

import asyncio
import math
import random
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.replication.redundancy import CONTACT_TIMEOUT_S, VoterContact, assess_redundancy
from cicadatray.replication.redundancy_watch import current_redundancy
from cover.replication.fake_disk import FakeDisk
from cover.replication.local_group import LocalGroup

COMMITTED = 7
# Above the time after which a voter counts as missing.
SETTLE_S = 2 * CONTACT_TIMEOUT_S


def voter(name: str, kind: str) -> VoterContact:
    """Returns a voter of a kind given by one character.

    `.` is up to date, `b` behind, `x` past the contact timeout, `e` just before it, and `n` was
    never in contact.
    """
    contact_age_s = {"x": CONTACT_TIMEOUT_S, "n": math.inf, "e": CONTACT_TIMEOUT_S * 0.99}.get(
        kind, 0.1
    )
    return VoterContact(name, contact_age_s, COMMITTED - 1 if kind == "b" else COMMITTED)


@pytest.mark.parametrize(
    ("kinds", "quorum", "expected_losses"),
    [
        ("", 1, 0),
        (".", 1, 0),
        ("..", 2, 0),
        ("...", 2, 1),
        ("..x", 2, 0),
        ("..n", 2, 0),
        ("..e", 2, 1),
        ("..b", 2, 1),
        (".xx", 2, 0),
        ("....", 3, 1),
        ("...x", 3, 0),
        (".....", 3, 2),
        ("....x", 3, 1),
        ("...xx", 3, 0),
        ("...bb", 3, 2),
        ("..bbb", 3, 1),
        (".bbbb", 3, 0),
    ],
)
def test_tolerated_disk_losses(kinds: str, quorum: int, expected_losses: int) -> None:
    """Guards against a group that reports more redundancy than it has until a disk is lost."""
    voters = [voter(f"v{number}", kind) for number, kind in enumerate(kinds)]
    redundancy = assess_redundancy(voters, quorum, COMMITTED)
    assert redundancy.tolerated_disk_losses == expected_losses
    assert [int(name[1:]) for name in redundancy.missing] == [
        number for number, kind in enumerate(kinds) if kind in "xn"
    ]
    assert [int(name[1:]) for name in redundancy.behind] == [
        number for number, kind in enumerate(kinds) if kind == "b"
    ]


def _observe_losses(names: tuple[str, ...], lost: int) -> tuple[list[dict[str, Any]], list[int]]:
    """Returns the log lines of a group that loses members, and its tolerance before and after."""
    tolerated_losses = []

    async def main() -> None:
        group = LocalGroup(names, len(names))
        for name in names:
            await group.start(name, FakeDisk(random.Random(name)), bootstrap=True)
        leader = await group.wait_for_leader()
        for _ in range(2):
            await asyncio.sleep(SETTLE_S)
            assert leader.core.leadership is not None
            tolerated_losses.append(
                current_redundancy(leader.core.leadership).tolerated_disk_losses
            )
            others = [name for name in group.replicas if name != leader.settings.member_id]
            for name in others[:lost]:
                group.kill(name)
        group.stop()

    with capture_logs() as lines:
        run_virtual(main())
    return [dict(line) for line in lines if line["event"] == "redundancy changed"], tolerated_losses


@pytest.mark.parametrize(
    ("names", "lost", "expected_losses"),
    [
        (("a", "b", "c"), 0, [1, 1]),
        (("a", "b", "c"), 1, [1, 0]),
        (("a", "b", "c", "d", "e"), 1, [2, 1]),
        (("a", "b", "c", "d", "e"), 2, [2, 0]),
    ],
)
def test_leader_logs_each_change_once(
    names: tuple[str, ...], lost: int, expected_losses: list[int]
) -> None:
    """Without these lines, it is unknown after a loss whether a voter was missing before."""
    lines, reported_losses = _observe_losses(names, lost)
    assert reported_losses == expected_losses
    assert [line["lost_disks_borne"] for line in lines] == list(dict.fromkeys(expected_losses))
    assert [len(line["missing"]) for line in lines] == ([0, lost] if lost else [0])
    assert all(sorted(line["voters"]) == list(names) for line in lines)
