"""Tests of the replicated record of control instances without a replica."""

from types import SimpleNamespace
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control import commands
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.member_calls import read_members
from cicadatray.internal.control.graphs.relay_directory import RelayDirectory
from cicadatray.internal.control.rendezvous_state import RENDEZVOUS_LIMIT
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import (
    MemberAddress,
    ReadMembers,
    RecordRendezvous,
)

assert commands.COMMAND_MODULES


def address(number: int, host: str = "127.0.0.1") -> MemberAddress:
    return MemberAddress(f"control-{number}", host, 7000)


def apply(state: ControlState, *addresses: MemberAddress) -> None:
    for index, recorded in enumerate(addresses, start=1):
        state.apply(index, state.encode_command(RecordRendezvous(address=recorded)))


@pytest.mark.parametrize(
    ("addresses", "expected"),
    [
        ([address(1), address(2)], (address(1), address(2))),
        ([address(1), address(2), address(1)], (address(1), address(2))),
        ([address(1), address(2), address(1, "127.0.0.9")], (address(2), address(1, "127.0.0.9"))),
        (
            [address(number) for number in range(RENDEZVOUS_LIMIT + 2)],
            tuple(address(number) for number in range(2, RENDEZVOUS_LIMIT + 2)),
        ),
    ],
    ids=["two", "repeated", "moved", "too many"],
)
def test_recorded_instances(
    addresses: list[MemberAddress], expected: tuple[MemberAddress, ...]
) -> None:
    """Guards against a record that grows without bound or is lost with a snapshot."""
    state = ControlState()
    apply(state, *addresses)
    restored = ControlState()
    restored.restore(state.snapshot())
    assert state.rendezvous == restored.rendezvous == expected


@pytest.mark.parametrize(
    ("rendezvous", "expected_proposals"),
    [(None, 0), (address(1), 0), (address(2), 1)],
    ids=["entry", "recorded", "new"],
)
def test_leader_records_each_instance_once(
    rendezvous: MemberAddress | None, expected_proposals: int
) -> None:
    """Guards against an entry in the log for each probe of an instance without a replica."""

    async def main() -> None:
        state = ControlState()
        apply(state, address(1))
        proposals: list[MessageStruct] = []

        async def propose(command: MessageStruct) -> None:
            proposals.append(command)

        async def require_leader_session() -> Any:
            return SimpleNamespace(state=state, propose=propose, term=1)

        graph_session = SimpleNamespace(relays=RelayDirectory(), now_s=lambda: 0.0)
        daemon: Any = SimpleNamespace(
            require_leader_session=require_leader_session,
            require_graph_session=lambda session: graph_session,
            replica=SimpleNamespace(members=lambda: ()),
        )
        await read_members(daemon, ReadMembers(rendezvous=rendezvous))
        assert len(proposals) == expected_proposals

    run_virtual(main())
