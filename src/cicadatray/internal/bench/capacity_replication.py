"""Measures what replication costs each role; prints one JSON line.

Usage: python -m cicadatray.internal.bench.capacity_replication [FOLDER]

FOLDER is on the disk whose sync time is measured. The replicas use the folder of temporary files;
with TMPDIR on a file system in memory the processor times do not depend on a busy disk.

Three replicas with real disks run in one process and exchange encoded messages without sockets, so
the figures leave out the wire layer. Time spent in handling messages is counted for the follower,
all other processor time for the leader.
"""

import asyncio
import statistics
import sys
import tempfile
import time
import tracemalloc

import msgspec

from cicadatray.replication.errors import ReplicaTransportError
from cicadatray.replication.local_data_folder import LocalDataFolder
from cicadatray.replication.member import Member
from cicadatray.replication.message import (
    ReplicaMessage,
    decode_replica_message,
    encode_replica_message,
)
from cicadatray.replication.replica import Replica
from cicadatray.replication.replica_settings import ReplicaSettings
from cicadatray.replication.role import Role

CHANGES = 9000
COMMAND_BYTES = 300
SEQUENTIAL_PROPOSALS = 50
CONCURRENT_PROPOSALS = 500
IDLE_S = 10.0
SYNC_SAMPLES = 50
FOLLOWERS = 2


class ReplicationCapacity(msgspec.Struct, kw_only=True):
    """Processor time in microseconds; bytes are those of encoded messages in both directions."""

    sync_us_median: float
    sync_us_max: float
    leader_us_per_proposal_alone: float
    follower_us_per_proposal_alone: float
    leader_us_per_proposal_batched: float
    follower_us_per_proposal_batched: float
    proposal_ms_median: float
    bytes_per_proposal_alone: float
    bytes_per_proposal_batched: float
    leader_us_per_idle_second: float
    follower_us_per_idle_second: float
    bytes_per_idle_second: float
    restart_ms: float
    restart_processor_ms_until_applied: float
    restart_memory_kib: float
    restart_ms_without_snapshot: float
    restart_processor_ms_until_applied_without_snapshot: float
    restart_memory_kib_without_snapshot: float


class Usage(msgspec.Struct):
    """Processor time and message bytes, as running sums or over a period."""

    total_s: float = 0.0
    follower_s: float = 0.0
    sent_bytes: int = 0


class LastValues:
    """A state machine that keeps the last command of each of 100 keys."""

    __slots__ = ("values",)

    def __init__(self) -> None:
        self.values: dict[int, bytes] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Stores the command."""
        self.values[index % 100] = command
        return b"ok"

    def snapshot(self) -> bytes:
        """Returns all values."""
        return msgspec.msgpack.encode(self.values)

    def restore(self, snapshot: bytes) -> None:
        """Replaces all values by those of a snapshot."""
        self.values = msgspec.msgpack.decode(snapshot, type=dict[int, bytes])


class _Transport:
    __slots__ = ("replicas", "usage")

    def __init__(self) -> None:
        self.replicas: dict[str, Replica] = {}
        self.usage = Usage()

    async def call(
        self, member: Member, message: ReplicaMessage, timeout_s: float
    ) -> ReplicaMessage:
        request = encode_replica_message(message)
        await asyncio.sleep(0)
        replica = self.replicas.get(member.member_id)
        if replica is None:
            raise ReplicaTransportError("replica not started")
        start_s = time.process_time()
        reply = encode_replica_message(await replica.handle(decode_replica_message(request)))
        self.usage.follower_s += time.process_time() - start_s
        self.usage.sent_bytes += len(request) + len(reply)
        return decode_replica_message(reply)

    def usage_since(self, start: Usage) -> Usage:
        """Returns the usage since the earlier reading `start`."""
        usage = self.current_usage()
        return Usage(
            usage.total_s - start.total_s,
            usage.follower_s - start.follower_s,
            usage.sent_bytes - start.sent_bytes,
        )

    def current_usage(self) -> Usage:
        """Returns the running sums."""
        return Usage(time.process_time(), self.usage.follower_s, self.usage.sent_bytes)


def measure_sync(path: str) -> list[float]:
    """Returns the times of appending and syncing a small record, in microseconds, in order."""
    folder = LocalDataFolder(path)
    folder.create("sample", b"")
    times_us: list[float] = []
    for _ in range(SYNC_SAMPLES):
        start_s = time.perf_counter()
        folder.append("sample", b"x" * COMMAND_BYTES)
        folder.sync("sample")
        times_us.append((time.perf_counter() - start_s) * 1e6)
    folder.close()
    return sorted(times_us)


async def _start_group(path: str, transport: _Transport) -> Replica:
    members = tuple(Member(f"m{number}", "127.0.0.1", number) for number in range(1, 4))
    for member in members:
        settings = ReplicaSettings(
            member_id=member.member_id,
            data_folder=f"{path}/{member.member_id}",
            initial_members=members,
            bootstrap=True,
        )
        replica = Replica(settings, LastValues(), transport)
        await replica.start()
        transport.replicas[member.member_id] = replica
    while True:
        for replica in transport.replicas.values():
            if replica.role is Role.LEADER:
                return replica
        await asyncio.sleep(0.05)


async def _propose(leader: Replica, count: int) -> list[float]:
    times_ms: list[float] = []
    for _ in range(count):
        start_s = time.perf_counter()
        await leader.propose(b"x" * COMMAND_BYTES, 10.0)
        times_ms.append((time.perf_counter() - start_s) * 1000)
    return times_ms


async def _measure_group(path: str, figures: dict[str, float]) -> None:
    transport = _Transport()
    leader = await _start_group(path, transport)
    start = transport.current_usage()
    figures["proposal_ms_median"] = statistics.median(await _propose(leader, SEQUENTIAL_PROPOSALS))
    _record_usage(figures, "per_proposal_alone", transport.usage_since(start), SEQUENTIAL_PROPOSALS)
    start = transport.current_usage()
    per_proposer = CHANGES // CONCURRENT_PROPOSALS
    await asyncio.gather(*(_propose(leader, per_proposer) for _ in range(CONCURRENT_PROPOSALS)))
    _record_usage(
        figures,
        "per_proposal_batched",
        transport.usage_since(start),
        per_proposer * CONCURRENT_PROPOSALS,
    )
    start = transport.current_usage()
    await asyncio.sleep(IDLE_S)
    _record_usage(figures, "per_idle_second", transport.usage_since(start), IDLE_S)
    for replica in transport.replicas.values():
        replica.abort()


def _record_usage(figures: dict[str, float], name: str, usage: Usage, count: float) -> None:
    figures[f"leader_us_{name}"] = (usage.total_s - usage.follower_s) / count * 1e6
    figures[f"follower_us_{name}"] = usage.follower_s / FOLLOWERS / count * 1e6
    figures[f"bytes_{name}"] = usage.sent_bytes / count


async def _measure_restart(path: str, snapshot_entries: int) -> tuple[float, float, float]:
    """Returns the time of a restart, the processor time until its log is applied, and its memory.

    Times are in milliseconds, the memory is in KiB.
    """
    member = Member("m1", "127.0.0.1", 1)
    settings = ReplicaSettings(
        member_id="m1",
        data_folder=path,
        initial_members=(member,),
        bootstrap=True,
        snapshot_entries=snapshot_entries,
    )
    replica = Replica(settings, LastValues(), _Transport())
    await replica.start()
    while replica.role is not Role.LEADER:
        await asyncio.sleep(0.05)
    per_proposer = CHANGES // CONCURRENT_PROPOSALS + 1
    await asyncio.gather(*(_propose(replica, per_proposer) for _ in range(CONCURRENT_PROPOSALS)))
    await replica.stop()
    start_s, start_processor_s = time.perf_counter(), time.process_time()
    replica = Replica(settings, LastValues(), _Transport())
    await replica.start()
    start_ms = (time.perf_counter() - start_s) * 1000
    while replica.applied_index < CHANGES:
        await asyncio.sleep(0.05)
    processor_ms = (time.process_time() - start_processor_s) * 1000
    await replica.stop()
    tracemalloc.start()
    replica = Replica(settings, LastValues(), _Transport())
    await replica.start()
    memory_kib = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    await replica.stop()
    return start_ms, processor_ms, memory_kib


async def measure_replication(path: str, sync_path: str) -> ReplicationCapacity:
    """Runs all measurements; `sync_path` is a folder on the disk whose sync time is measured."""
    times_us = measure_sync(sync_path)
    figures: dict[str, float] = {
        "sync_us_median": statistics.median(times_us),
        "sync_us_max": times_us[-1],
    }
    await _measure_group(path, figures)
    for suffix, snapshot_entries in (("", 4096), ("_without_snapshot", 2 * CHANGES)):
        restart_figures = await _measure_restart(f"{path}/restart{suffix}", snapshot_entries)
        names = ("restart_ms", "restart_processor_ms_until_applied", "restart_memory_kib")
        for name, figure in zip(names, restart_figures, strict=True):
            figures[name + suffix] = figure
    rounded = {name: round(value, 1) for name, value in figures.items()}
    return msgspec.convert(rounded, ReplicationCapacity)


def main() -> None:
    """Runs the measurements in temporary folders and prints the figures."""
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    with (
        tempfile.TemporaryDirectory() as path,
        tempfile.TemporaryDirectory(dir=parent) as sync_path,
    ):
        capacity = asyncio.run(measure_replication(path, sync_path))
    print(msgspec.json.encode(capacity).decode())


if __name__ == "__main__":
    main()
