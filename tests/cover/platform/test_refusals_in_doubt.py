"""Refusals of a call that control may have acted on in an earlier attempt."""

import asyncio
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs import graph_codes
from cicadatray.internal.entry.entry_context import FAILURE_STATUS_CODES, EntryContext
from cicadatray.internal.entry.errors import EntryError
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.errors import PeerLostError, PeerUnreachableError
from cicadatray.internal.wire.message import IN_DOUBT_CODE, Failure, MessageStruct
from cicadatray.internal.wire.messages.directory_messages import NotLeader
from cicadatray.internal.wire.messages.graph_messages import GraphState
from cicadatray.internal.wire.messages.job_messages import CancelJob, ReadJob
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.messages.relay_messages import RelayUnavailable
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.internal.wire.relay_server import RelayServer
from cicadatray.internal.wire.rpc_server import BUSY_CODE
from cicadatray.platform.client_answers import STATUS_BY_CODE
from cicadatray.platform.client_api import ClientApi
from cover.platform.asgi import request
from cover.platform.documents import JOB
from cover.test_relays import MEMBERS, RELAY

PATH = "/fast/00000000000000aa"
DEADLINE_S = 3.0
HEADERS = {"Host": "jobs.example", "Deadline-Ms": str(int(DEADLINE_S * 1000))}
SUBMISSION = msgspec.json.encode(JOB)
# Frozen for longer than one call to control lasts, so that the entry calls a second time.
FROZEN = "frozen"
LOST = PeerLostError("the connection was lost")
REFUSED = PeerUnreachableError("connection refused")
IN_DOUBT = Failure(code=IN_DOUBT_CODE, detail="not committed in time")
JOB_CALLS = {
    True: CancelJob(job_id="j", client_account="a"),
    False: ReadJob(job_id="j", client_account="a", wait_s=0.0),
}


class ScriptedGroup:
    """All control instances: gives each outcome to one attempt, and then the last one for good."""

    host = "127.0.0.1"
    port = 1

    def __init__(self, *outcomes: Any) -> None:
        self.outcomes = list(outcomes)

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        outcome = self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
        if outcome == FROZEN:
            await asyncio.sleep(timeout_s)
            raise PeerLostError("no reply in time")
        if isinstance(outcome, Exception):
            raise outcome
        reply: MessageStruct = outcome
        return reply


def make_control(*outcomes: Any) -> ControlClient:
    control = ControlClient(MEMBERS, message_codec(), b"", RelayRoutes("own"))
    group = ScriptedGroup(*outcomes)
    control.clients = {m.name: group for m in MEMBERS}  # type: ignore[misc]
    return control


def make_relaying_control(relay: Any) -> ControlClient:
    """Returns a client that is cut off from control, and calls it through `relay`."""
    control = make_control(REFUSED)
    control.relays.clients[RELAY] = relay
    control.relays.active = RELAY
    return control


class RelayPeer:
    """A connection to a relay that reaches the control instances."""

    host = "127.0.0.1"
    port = 1

    def __init__(self, control: ControlClient) -> None:
        self.server = RelayServer("127.0.0.1", 0, control, message_codec(), b"")

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        return await self.server.answer(message)


def ask(control: ControlClient, method: str) -> tuple[int, float, str]:
    """Returns the status of a client's call, its duration in seconds, and the metrics."""

    async def main() -> tuple[int, float, str]:
        metrics = MetricsRegistry()
        probe = SimpleNamespace(
            has_recent_leader_reply=lambda: True,
            contact=lambda: SimpleNamespace(leader="", relay="", known_for_s=0.0, silence_s=0.0),
        )
        api = ClientApi(control, probe, 4000, metrics)  # type: ignore[arg-type]
        body = SUBMISSION if method == "POST" else b""
        answer = await request(api, method, PATH, body, HEADERS)
        return answer.status, asyncio.get_running_loop().time(), metrics.render_text()

    return run_virtual(main())


@pytest.mark.parametrize("earlier", [(LOST,), (FROZEN,), (FROZEN, FROZEN), (IN_DOUBT,)], ids=repr)
@pytest.mark.parametrize("method", ["POST", "DELETE"])
@pytest.mark.parametrize("code", sorted(STATUS_BY_CODE))
def test_refusal_of_a_repeated_attempt_is_not_final(
    code: str, method: str, earlier: tuple[Any, ...]
) -> None:
    """Guards against a refusal of a job that an earlier attempt of the same call has submitted."""
    with capture_logs() as lines:
        status, duration_s, metrics = ask(
            make_control(*earlier, Failure(code=code, detail="refused")), method
        )
    assert status == 504
    # The outcome is not waited for, because only the client's next call can tell it.
    assert duration_s < DEADLINE_S * 0.85
    assert f'cicadatray_refusals_in_doubt_total{{code="{code}"}} 1' in metrics
    (line,) = [line for line in lines if line["event"] == "refusal after an attempt in doubt"]
    assert (line["code"], line["attempts"]) == (code, len(earlier) + 1)


@pytest.mark.parametrize("earlier", [(), (REFUSED,), (NotLeader(),)], ids=repr)
@pytest.mark.parametrize("method", ["POST", "DELETE"])
@pytest.mark.parametrize("code", sorted(STATUS_BY_CODE))
def test_refusal_without_an_attempt_in_doubt_is_final(
    code: str, method: str, earlier: tuple[Any, ...]
) -> None:
    """Guards against an unknown outcome where no attempt can have had an effect."""
    status, _, _ = ask(make_control(*earlier, Failure(code=code, detail="refused")), method)
    assert status == STATUS_BY_CODE[code]


@pytest.mark.parametrize("code", sorted(STATUS_BY_CODE))
def test_read_is_answered_after_an_attempt_in_doubt(code: str) -> None:
    """Guards against a read without an answer, although reads have no effect."""
    status, _, _ = ask(make_control(LOST, Failure(code=code, detail="refused")), "GET")
    assert status == STATUS_BY_CODE[code]


@pytest.mark.parametrize("earlier", [(LOST,), (FROZEN, FROZEN), (IN_DOUBT,)], ids=repr)
def test_success_of_a_repeated_attempt_is_final(earlier: tuple[Any, ...]) -> None:
    """Guards against an unknown outcome for a job that the leader knows."""
    accepted = GraphState(graph_id="a", state="queued")
    assert ask(make_control(*earlier, accepted), "POST")[0] == 200


@pytest.mark.parametrize(
    ("earlier", "status"), [((LOST,), 504), ((REFUSED,), 401), ((), 401)], ids=repr
)
def test_attempts_of_a_relay_count(earlier: tuple[Any, ...], status: int) -> None:
    """Guards against a final refusal of what the relay repeated, not this process."""
    refusal = Failure(code=graph_codes.CREDENTIAL_UNKNOWN, detail="refused")
    relay = RelayPeer(make_control(*earlier, refusal))
    assert ask(make_relaying_control(relay), "POST")[0] == status


@pytest.mark.parametrize(("may_have_effect", "status"), [(True, 504), (False, 404)])
def test_call_that_a_relay_gave_up_counts(may_have_effect: bool, status: int) -> None:
    """Guards against a final refusal by control after a relay lost its reply to the same call."""
    control = make_relaying_control(
        ScriptedGroup(RelayUnavailable(reason="cut", may_have_effect=may_have_effect))
    )
    refusal = Failure(code=graph_codes.QUEUE_UNKNOWN, detail="refused")
    control.clients = {m.name: ScriptedGroup(refusal) for m in MEMBERS}  # type: ignore[misc]
    assert ask(control, "POST")[0] == status


@pytest.mark.parametrize("changes_state", [True, False])
@pytest.mark.parametrize("earlier", [(), (LOST,), (REFUSED,)], ids=repr)
@pytest.mark.parametrize("code", [*sorted(FAILURE_STATUS_CODES), BUSY_CODE])
def test_refusal_by_the_product_interface(
    code: str, earlier: tuple[Any, ...], changes_state: bool
) -> None:
    """Guards against a caller that is told that a change was refused which has been carried out."""

    async def main() -> EntryError:
        control = make_control(*earlier, Failure(code=code, detail="refused"))
        context: Any = SimpleNamespace(control=control)
        with pytest.raises(EntryError) as caught:
            await EntryContext.call_control(context, JOB_CALLS[changes_state])
        return caught.value

    error = run_virtual(main())
    if changes_state and earlier == (LOST,):
        assert (error.status_code, error.code) == (503, "control_unavailable")
        assert error.retry_after_s > 0
    else:
        assert (error.status_code, error.code) == (FAILURE_STATUS_CODES.get(code, 503), code)
