"""Tests that the control group tolerates as many losses as the platform's settings promise."""

import asyncio
import random
from pathlib import Path

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.platform.control_role import ControlRole
from cicadatray.platform.settings import load_platform_settings
from cicadatray.replication.errors import NotLeaderError
from cicadatray.replication.member import Member
from cover.replication.fake_disk import FakeDisk
from cover.replication.local_group import LocalGroup

# The platform lists at most three seeds.
SEEDS = ("a", "b", "c")
JOIN_S = 0.4
JOIN_SILENCE_S = 1.5
# Far longer than elections and joins take; the time passes on the virtual clock only.
LIMIT_S = 60.0


def settings_text(lost_instances: int) -> str:
    return f"""
NodeName = "north-1"
Role = "control"
Ip = "10.0.0.1"
Zone = "north"
InternalPorts = [7000, 7007]
Seeds = ["10.0.0.1:8526", "10.0.0.2:8526", "10.0.0.3:8526"]
Bootstrap = true
DataDir = "/data/control"
[Listen]
Control = "10.0.0.1:8526"
[FaultTolerance]
Machines = {lost_instances}
Zones = 0
Regions = 0
[Bounds]
"""


class Instances:
    """Control instances with disks; instances that are not members keep asking to join."""

    def __init__(self, names: tuple[str, ...], group_size: int) -> None:
        self.group = LocalGroup(SEEDS, group_size)
        self.disks = {name: FakeDisk(random.Random(name)) for name in names}
        self.joining: list[asyncio.Task[None]] = []

    async def start_first(self) -> None:
        for name, disk in self.disks.items():
            await self.group.start(name, disk, bootstrap=name in SEEDS)
        self.joining = [asyncio.create_task(self._keep_joining(name)) for name in self.disks]

    async def lose_power(self, lost_disks: set[str]) -> None:
        """Stops and restarts all instances at once, those in `lost_disks` with an empty disk."""
        for name in list(self.group.replicas):
            self.group.kill(name)
        for name in self.disks:
            if name in lost_disks:
                self.disks[name] = FakeDisk(random.Random(f"new {name}"))
            else:
                self.disks[name].restart()
            await self.group.start(name, self.disks[name], bootstrap=False)

    async def wait_for_size(self, size: int) -> None:
        """Waits until the group has `size` voters, all with their current disks."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                voters = (await self.group.wait_for_leader()).core.membership.voters()
                identities = {replica.core.identity for replica in self.group.replicas.values()}
                if len(voters) == size and all(voter.identity in identities for voter in voters):
                    return
                await asyncio.sleep(JOIN_S)

    def stop(self) -> None:
        for task in self.joining:
            task.cancel()
        self.group.stop()

    async def _keep_joining(self, name: str) -> None:
        while True:
            await asyncio.sleep(JOIN_S)
            replica = self.group.replicas.get(name)
            if replica is None or not replica.needs_to_join(JOIN_SILENCE_S):
                continue
            try:
                (await self.group.wait_for_leader()).request_join(Member(name, "127.0.0.1", 1))
            except NotLeaderError:
                pass


async def lose_disks_twice(names: tuple[str, ...], lost: int, group_size: int) -> None:
    instances = Instances(names, group_size)
    await instances.start_first()
    await instances.wait_for_size(2 * lost + 1)
    for command in (b"first", b"second"):
        leader = await instances.group.wait_for_leader()
        await leader.propose(command, 5.0)
        # The disks with the newest entries are lost: those of the leader and of the voters that
        # have replicated its last entry.
        holders = [leader.settings.member_id] + [
            peer.record.member.member_id
            for peer in leader.core.leadership.peers.values()
            if peer.record.is_voter and peer.match_index == leader.core.storage.log.last_index
        ]
        await instances.lose_power(set(holders[:lost]))
        async with asyncio.timeout(LIMIT_S):
            recovered = await instances.group.wait_for_leader()
            await recovered.confirm_leadership(LIMIT_S)
        assert command in instances.group.states[recovered.settings.member_id].commands
        await instances.wait_for_size(2 * lost + 1)
    instances.stop()


# Commands were lost with the disks of two of three voters although the settings promised that the
# loss of two would be tolerated.
@pytest.mark.parametrize(
    ("lost", "names"),
    [(1, "abc"), (1, "abcd"), (2, "abcde"), (2, "abcdefgh")],
    ids=["1-of-3", "1-of-4", "2-of-5", "2-of-8"],
)
def test_acknowledged_commands_survive_the_promised_number_of_disk_losses(
    lost: int, names: str, tmp_path: Path
) -> None:
    """Guards against acknowledging a command that is stored on too few disks."""
    path = tmp_path / "settings.toml"
    path.write_text(settings_text(lost), encoding="utf-8")

    async def main() -> None:
        role = ControlRole(load_platform_settings(path))
        assert role.daemon is not None
        await lose_disks_twice(tuple(names), lost, role.daemon.replica.settings.group_size)

    run_virtual(main())


# In each data centre two instances serve operators; in small deployments only one has a disk.
def test_control_without_a_disk_forwards_operator_calls(tmp_path: Path) -> None:
    """Guards against a crash loop of an instance without a disk."""
    path = tmp_path / "settings.toml"
    text = settings_text(1).replace('DataDir = "/data/control"\n', "")
    path.write_text(text, encoding="utf-8")

    async def main() -> None:
        settings = load_platform_settings(path)
        role = ControlRole(settings)
        assert role.daemon is None
        assert role.client.member_names == [f"control-10.0.0.{number}" for number in (1, 2, 3)]
        role.reload(settings)

    run_virtual(main())


@pytest.mark.parametrize(
    ("losses", "expected"),
    [
        ("Machines = 1\nZones = 0\nRegions = 0", 1),
        ("Machines = 2\nZones = 1\nRegions = 0", 2),
        ("Machines = 1\nZones = 2\nRegions = 0", 2),
        ("", 0),
    ],
    ids=["instance", "instances and data centre", "data centres", "none named"],
)
def test_tolerated_losses_are_read_from_the_settings(
    losses: str, expected: int, tmp_path: Path
) -> None:
    """Guards against ignoring a promise of the settings."""
    path = tmp_path / "settings.toml"
    text = settings_text(9).replace("Machines = 9\nZones = 0\nRegions = 0", losses)
    path.write_text(text, encoding="utf-8")
    assert load_platform_settings(path).tolerated_losses == expected
