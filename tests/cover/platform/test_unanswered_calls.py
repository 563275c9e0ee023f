"""Tests of what an entry logs and counts about calls that control does not answer in time."""

import asyncio
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.control_client import CONNECT_TIMEOUT_S, ControlClient
from cicadatray.internal.wire.errors import PeerLostError, PeerUnreachableError
from cicadatray.internal.wire.leader_probe import PROBE_INTERVAL_S, LeaderProbe
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.directory_messages import NotLeader
from cicadatray.internal.wire.messages.graph_messages import GraphState, MembersReply, ReadMembers
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.messages.relay_messages import RelayedReply
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.platform.client_api import CALL_TIMEOUT_SHARE, ClientApi
from cicadatray.platform.fields import MS_PER_S
from cover.platform.asgi import request
from cover.test_relay_search import FrozenPeer, SilentPeer
from cover.test_relays import MEMBERS, RELAY

LEADER = MEMBERS[0].name
FOUND_S = 5.0
DEADLINE_S = 2.0
# The rounding of sums of virtual time.
TOLERANCE_S = 1e-6
PATH = "/fast/00000000000000aa"
BUSY = Failure(code="too_many_calls", detail="too many calls on one connection")


class Leader:
    """Answers the probe at once, and other calls after `delay_s`."""

    host = "127.0.0.1"
    port = 1

    def __init__(self, reply: MessageStruct, delay_s: float = 0.0) -> None:
        self.reply = reply
        self.delay_s = delay_s

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        if isinstance(message, ReadMembers):
            return MembersReply(members=(), term=1)
        await asyncio.sleep(min(self.delay_s, timeout_s))
        if self.delay_s >= timeout_s:
            raise PeerLostError("no reply in time")
        return self.reply


def repr_type(peer: Any) -> str:
    return type(peer).__name__


class LateConnection(FrozenPeer):
    """A peer whose connection opens late, and that does not answer."""

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        await asyncio.sleep(timeout_s)
        raise PeerLostError("no reply in time", connection_wait_s=CONNECT_TIMEOUT_S)


def make_entry(peer: Any, metrics: MetricsRegistry) -> tuple[ClientApi, LeaderProbe]:
    """Returns the client interface of an entry that reaches `peer` at all control addresses."""
    control = ControlClient(MEMBERS, message_codec(), b"", RelayRoutes("own"))
    control.clients = {m.name: peer for m in MEMBERS}
    control.leader_name = LEADER
    probe = LeaderProbe(control)
    return ClientApi(control, probe, 4000, metrics), probe


async def call_after_search(peer: Any, metrics: MetricsRegistry, relay: Any = None) -> list[Any]:
    """Lets an entry find the leader, replaces all peers, and returns the log lines of one call."""
    api, probe = make_entry(Leader(GraphState(graph_id="a", state="queued")), metrics)
    probing = asyncio.create_task(probe.run())
    await asyncio.sleep(FOUND_S)
    probe.control.clients = {m.name: peer for m in MEMBERS}
    probing.cancel()
    if relay is not None:
        probe.control.relays.clients[RELAY] = relay
        probe.control.relays.active = RELAY
    with capture_logs() as lines:
        await request(api, "GET", PATH, headers={"Deadline-Ms": str(DEADLINE_S * 1000)})
    return [line for line in lines if line.get("path") == PATH]


@pytest.mark.parametrize(
    ("peer", "waits_for"),
    [(SilentPeer(), "connection"), (FrozenPeer(), "reply"), (LateConnection(), "connection")],
    ids=["no power", "frozen", "connected late"],
)
def test_unanswered_call_is_logged_with_what_was_tried(peer: Any, waits_for: str) -> None:
    """Guards against a 503 whose log line does not tell a lost leader from a lost connection."""

    async def main() -> None:
        metrics = MetricsRegistry()
        (line,) = await call_after_search(peer, metrics)
        assert (line["event"], line["status"]) == ("control unavailable", 503)
        assert line["leader"] == LEADER
        assert FOUND_S <= line["leader_known_s"] <= FOUND_S + DEADLINE_S
        assert 0 <= line["leader_silence_s"] <= DEADLINE_S + PROBE_INTERVAL_S
        assert line["asked"] in {m.name for m in MEMBERS}
        assert line["attempts"] >= 1
        waits = {"connection": line["connection_wait_s"], "reply": line["reply_wait_s"]}
        assert max(waits, key=lambda phase: waits[phase]) == waits_for
        text = metrics.render_text()
        assert f"cicadatray_client_call_attempts_total {line['attempts']}" in text
        assert 'cicadatray_client_call_wait_seconds_count{phase="connection"} 1' in text
        assert f"cicadatray_leader_silence_seconds {line['leader_silence_s']}" in text

    run_virtual(main())


class RefusingPeer:
    """A machine that refuses connections at once."""

    host = "127.0.0.1"
    port = 1

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        raise PeerUnreachableError("connection refused")


class Follower:
    """An instance that does not know the leader."""

    host = "127.0.0.1"
    port = 1

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        return NotLeader()


@pytest.mark.parametrize("method", ["GET", "DELETE"])
@pytest.mark.parametrize("deadline_ms", [100, 250, 500, 1000, 3000, 10000])
@pytest.mark.parametrize("relay", [None, FrozenPeer(), SilentPeer(), RefusingPeer()], ids=repr_type)
@pytest.mark.parametrize(
    "peer", [SilentPeer(), FrozenPeer(), RefusingPeer(), Follower()], ids=repr_type
)
def test_call_that_control_does_not_answer_ends_before_its_deadline(
    peer: Any, relay: Any, deadline_ms: int, method: str
) -> None:
    """Guards against a client that gets no answer, because retries end after its deadline."""

    async def main() -> None:
        api, probe = make_entry(peer, MetricsRegistry())
        probe.last_leader_reply_s = asyncio.get_running_loop().time()
        if relay is not None:
            probe.control.relays.clients[RELAY] = relay
            probe.control.relays.active = RELAY
        answer = await request(api, method, PATH, headers={"Deadline-Ms": str(deadline_ms)})
        assert answer.status in (503, 504)
        duration_s = asyncio.get_running_loop().time()
        assert duration_s <= deadline_ms / MS_PER_S * CALL_TIMEOUT_SHARE + TOLERANCE_S

    run_virtual(main())


def test_call_without_a_leader_is_logged_with_its_silence() -> None:
    """Guards against a 503 whose log line does not tell since when there is no leader."""

    async def main() -> None:
        metrics = MetricsRegistry()
        api, probe = make_entry(SilentPeer(), metrics)
        probe.last_leader_reply_s = asyncio.get_running_loop().time()
        probe.leader_name = LEADER
        await asyncio.sleep(FOUND_S)
        with capture_logs() as lines:
            await request(api, "GET", PATH)
        (line,) = lines
        assert (line["leader"], line["leader_known_s"]) == ("", None)
        assert line["leader_silence_s"] == pytest.approx(FOUND_S)
        assert line["attempts"] == 0
        assert "cicadatray_leader_silence_seconds 5" in metrics.render_text()

    run_virtual(main())


@pytest.mark.parametrize("is_relayed", [False, True])
def test_refusal_without_a_verdict_is_logged_with_who_was_asked(is_relayed: bool) -> None:
    """Guards against a 503 of control whose log line does not tell which instance gave it."""

    async def main() -> None:
        payload = message_codec().encode(0, BUSY)
        relay = Leader(RelayedReply(payload=payload)) if is_relayed else None
        (line,) = await call_after_search(Leader(BUSY), MetricsRegistry(), relay)
        assert (line["event"], line["status"]) == ("request refused", 503)
        assert (line["leader"], line["relay"]) == (LEADER, RELAY.name if is_relayed else "")
        assert (line["asked"], line["attempts"]) == (RELAY.name if is_relayed else LEADER, 1)

    run_virtual(main())


def test_late_answer_is_logged() -> None:
    """Guards against a client that got no answer in time, of which the entry tells nothing."""

    async def main() -> None:
        metrics = MetricsRegistry()
        api, probe = make_entry(Leader(GraphState(graph_id="a", state="queued"), 0.05), metrics)
        probe.last_leader_reply_s = asyncio.get_running_loop().time()
        stalled = api.control.call

        async def call_late(*arguments: Any, **options: Any) -> MessageStruct:
            reply = await stalled(*arguments, **options)
            await asyncio.sleep(1.0)
            return reply

        api.control = FakeLateControl(call_late)  # type: ignore[assignment]
        with capture_logs() as lines:
            answer = await request(api, "GET", PATH, headers={"Deadline-Ms": "1000"})
        assert answer.status == 200
        (line,) = lines
        assert (line["event"], line["status"]) == ("call answered late", 200)
        assert line["duration_s"] > line["deadline_s"]
        assert 'cicadatray_client_calls_late_total{status="200"} 1' in metrics.render_text()

    run_virtual(main())


class FakeLateControl:
    """Delays the replies of a client, as a process does that is short of processor time."""

    def __init__(self, call: Any) -> None:
        self.call = call
