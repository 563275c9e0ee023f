"""How many lost disks a group bears, as its leader tells it."""

import asyncio
import math
import random
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.replication.redundancy import CONTACT_S, VoterContact, assess_redundancy
from cicadatray.replication.redundancy_watch import current_redundancy
from cover.replication.fake_disk import FakeDisk
from cover.replication.local_group import LocalGroup

COMMITTED = 7
# Above the time after which a voter counts as missing.
SETTLE_S = 2 * CONTACT_S


def voter(name: str, kind: str) -> VoterContact:
    """`.` is current, `b` behind, `x` silent, `n` never heard, `e` just not silent yet."""
    silence_s = {"x": CONTACT_S, "n": math.inf, "e": CONTACT_S * 0.99}.get(kind, 0.1)
    return VoterContact(name, silence_s, COMMITTED - 1 if kind == "b" else COMMITTED)


@pytest.mark.parametrize(
    ("kinds", "quorum", "borne"),
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
def test_lost_disks_that_a_group_bears(kinds: str, quorum: int, borne: int) -> None:
    """A group with less redundancy than its deployment promises looks healthy until the loss."""
    voters = [voter(f"v{number}", kind) for number, kind in enumerate(kinds)]
    found = assess_redundancy(voters, quorum, COMMITTED)
    assert found.tolerated_disk_losses == borne
    assert [int(name[1:]) for name in found.missing] == [
        number for number, kind in enumerate(kinds) if kind in "xn"
    ]
    assert [int(name[1:]) for name in found.behind] == [
        number for number, kind in enumerate(kinds) if kind == "b"
    ]


def _watch(names: tuple[str, ...], lost: int) -> tuple[list[dict[str, Any]], list[int]]:
    """Returns the lines of a group that loses members, and what it bears before and after."""
    borne = []

    async def main() -> None:
        group = LocalGroup(names, len(names))
        for name in names:
            await group.start(name, FakeDisk(random.Random(name)), bootstrap=True)
        leader = await group.wait_for_leader()
        for _ in range(2):
            await asyncio.sleep(SETTLE_S)
            assert leader.core.leadership is not None
            borne.append(current_redundancy(leader.core.leadership).tolerated_disk_losses)
            others = [name for name in group.replicas if name != leader.settings.member_id]
            for name in others[:lost]:
                group.kill(name)
        group.stop()

    with capture_logs() as lines:
        run_virtual(main())
    return [dict(line) for line in lines if line["event"] == "redundancy changed"], borne


@pytest.mark.parametrize(
    ("names", "lost", "borne"),
    [
        (("a", "b", "c"), 0, [1, 1]),
        (("a", "b", "c"), 1, [1, 0]),
        (("a", "b", "c", "d", "e"), 1, [2, 1]),
        (("a", "b", "c", "d", "e"), 2, [2, 0]),
    ],
)
def test_leader_logs_each_change_once(names: tuple[str, ...], lost: int, borne: list[int]) -> None:
    """After a loss nobody could tell whether the group had been short of a voter before."""
    lines, read = _watch(names, lost)
    assert read == borne
    assert [line["lost_disks_borne"] for line in lines] == list(dict.fromkeys(borne))
    assert [len(line["missing"]) for line in lines] == ([0, lost] if lost else [0])
    assert all(sorted(line["voters"]) == list(names) for line in lines)
