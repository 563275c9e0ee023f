"""Reads of clients while no control instance leads."""

import asyncio
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.errors import PeerUnreachableError
from cicadatray.internal.wire.leader_probe import CONTACT_TIMEOUT_S, LeaderProbe
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import NotLeader
from cicadatray.internal.wire.messages.graph_messages import GraphState, MembersReply, ReadMembers
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.platform.client_api import ClientApi
from cover.platform.asgi import request
from cover.test_relays import MEMBERS

PATH = "/fast/00000000000000aa"
FOUND_S = 2.0
DEADLINE_S = 3.0
# A client makes this many attempts, each at another entry, as soon as the one before is refused.
ATTEMPTS = 5


class Instance:
    """A control instance that does not lead from `lost_s` to `regained_s`, in virtual seconds."""

    host = "127.0.0.1"
    port = 1

    def __init__(self, lost_s: float, regained_s: float, is_cut_off: bool) -> None:
        self.lost_s = lost_s
        self.regained_s = regained_s
        self.is_cut_off = is_cut_off

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        if self.lost_s <= asyncio.get_running_loop().time() < self.regained_s:
            if self.is_cut_off:
                raise PeerUnreachableError("cut off")
            return NotLeader()
        if isinstance(message, ReadMembers):
            return MembersReply(members=(), term=1)
        return GraphState(graph_id="a", state="running")


async def read(
    outage_s: float, regained_after_s: float, method: str, is_cut_off: bool, attempts: int
) -> tuple[int, float]:
    """Returns the status of the last attempt, and for how long all attempts took.

    The first is made when control has been without a leader for `outage_s`, and
    `regained_after_s` before it has one again.
    """
    loop = asyncio.get_running_loop()
    lost_s = loop.time() + FOUND_S
    asked_s = lost_s + outage_s
    peer: Any = Instance(lost_s, asked_s + regained_after_s, is_cut_off)
    apis = []
    for _ in range(attempts):
        control = ControlClient(MEMBERS, message_codec(), b"", RelayRoutes("own"))
        control.clients = {member.name: peer for member in MEMBERS}
        probe = LeaderProbe(control)
        apis.append((ClientApi(control, probe, 4000, MetricsRegistry()), probe))
    probing = [asyncio.create_task(probe.run()) for _, probe in apis]
    await asyncio.sleep(asked_s - loop.time())
    status = 0
    headers = {"Host": "jobs.example", "Deadline-Ms": str(int(DEADLINE_S * 1000))}
    for api, _ in apis:
        status = (await request(api, method, PATH, b"", headers)).status
        if status < 500:
            break
    took_s = loop.time() - asked_s
    for task in probing:
        task.cancel()
    return status, took_s


@pytest.mark.parametrize("outage_s", [0.1, CONTACT_TIMEOUT_S + 0.5, 8.0])
@pytest.mark.parametrize("regained_after_s", [0.0, 0.2, 0.9, 2.0])
def test_read_is_answered_once_an_instance_leads(outage_s: float, regained_after_s: float) -> None:
    """Guards against a client whose attempts are all refused within milliseconds of an election."""
    status, took_s = run_virtual(read(outage_s, regained_after_s, "GET", False, ATTEMPTS))
    assert status == 200
    assert took_s < DEADLINE_S


@pytest.mark.parametrize(
    ("method", "is_cut_off"), [("GET", True), ("DELETE", False), ("DELETE", True)]
)
def test_other_calls_are_refused_at_once(method: str, is_cut_off: bool) -> None:
    """Guards against a call that waits at an entry that is cut off, or for no leader in sight."""
    status, took_s = run_virtual(read(CONTACT_TIMEOUT_S + 0.5, 60.0, method, is_cut_off, 1))
    assert status == 503
    assert took_s < 0.01


def test_wait_for_a_leader_ends_early() -> None:
    """Guards against a read that is held until its client can no longer ask elsewhere."""
    status, took_s = run_virtual(read(8.0, 60.0, "GET", False, 1))
    assert status == 503
    assert 0.5 < took_s <= DEADLINE_S / 2
