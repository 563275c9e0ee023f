"""Tests of the search for the leader among instances that name a former one."""

import asyncio
import itertools
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged, NotLeader
from cicadatray.internal.wire.messages.graph_messages import (
    GroupAddresses,
    MemberAddress,
    ReadMembers,
)
from cicadatray.internal.wire.messages.registry import message_codec
from cover.test_relay_search import AnsweringPeer, SilentPeer

HOST = "127.0.0.1"
# A connection to a machine without power is given up after 0.5 s, and a search meets it twice.
SEARCH_S = 3.0
ADDRESSES = {name: ControlMember(name, HOST, 1) for name in ("gone", "stale", "other", "leader")}


class NamingPeer:
    """An instance that does not lead and names another one as the leader."""

    host = HOST
    port = 1

    def __init__(self, reply: MessageStruct) -> None:
        self.reply = reply

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        return self.reply


def not_leader(name: str) -> NamingPeer:
    return NamingPeer(NotLeader(leader_name=name, leader_host=HOST, leader_port=1))


def rendezvous(name: str) -> NamingPeer:
    members = tuple(MemberAddress(m.name, m.host, m.port) for m in ADDRESSES.values())
    return NamingPeer(GroupAddresses(members=members, leader_name=name))


@pytest.mark.parametrize(
    "peers",
    [
        {"gone": SilentPeer(), "stale": not_leader("gone"), "leader": AnsweringPeer()},
        {"gone": SilentPeer(), "stale": rendezvous("gone"), "leader": AnsweringPeer()},
        {"other": not_leader("stale"), "stale": not_leader("other"), "leader": AnsweringPeer()},
    ],
    ids=["member names gone", "rendezvous names gone", "two name each other"],
)
def test_search_goes_on_after_a_redirect_to_an_instance_that_does_not_lead(
    peers: dict[str, Any],
) -> None:
    """Guards against a process that never asks the leader.

    A member that was removed from the group names its last leader for good. If that one is gone,
    each search went back and forth between the two.
    """

    async def main() -> None:
        for names in itertools.permutations(peers):
            for first in names:
                client = ControlClient(
                    tuple(ADDRESSES[name] for name in names), message_codec(), b""
                )
                client.clients = {name: peers[name] for name in peers}
                client.leader_name = first
                reply = await client.call(ReadMembers(), SEARCH_S)
                assert isinstance(reply, Acknowledged)
                assert client.leader_name == "leader"

    run_virtual(asyncio.wait_for(main(), 100 * SEARCH_S))


def test_redirect_is_followed_again_after_one_failure() -> None:
    """Guards against a search through all instances after the leader has lost one connection."""

    async def main() -> None:
        names = ("leader", "stale", "gone")
        client = ControlClient(tuple(ADDRESSES[name] for name in names), message_codec(), b"")
        client.clients = {
            "leader": AnsweringPeer(),  # type: ignore[dict-item]
            "stale": not_leader("leader"),  # type: ignore[dict-item]
            "gone": SilentPeer(),  # type: ignore[dict-item]
        }
        for _ in range(5):
            client.leader_name = "stale"
            started_s = asyncio.get_running_loop().time()
            assert isinstance(await client.call(ReadMembers(), SEARCH_S), Acknowledged)
            assert asyncio.get_running_loop().time() == started_s

    run_virtual(main())
