"""Tests of the HTTP routes for evacuations of data centres."""

import asyncio
import hashlib

import msgspec
import pytest
from deployment import Deployment
from http_connection import CREDENTIAL, HttpConnection

from cicadatray.internal.bench.requests_simulation.simulated_control import SimulatedControl
from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.evacuation_state import record_evacuation
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.configuration_messages import AccountRecord
from cicadatray.internal.wire.messages.evacuation_messages import (
    EvacuationProgress,
    EvacuationsReply,
    OrderEvacuation,
    ReadEvacuations,
    RecordEvacuation,
)

NOW_S = 1_700_000_000.0
OPERATION = b'{"operation_id": "op-1"}'


class EvacuationControl(SimulatedControl):
    """A leader that carries out orders with the real applier; `refusal` replaces its replies."""

    __slots__ = ("orders", "refusal")

    def __init__(self) -> None:
        super().__init__([], {})
        self.orders: list[OrderEvacuation] = []
        self.refusal: MessageStruct | None = None

    async def _answer(self, message: MessageStruct) -> MessageStruct:
        if not isinstance(message, OrderEvacuation | ReadEvacuations):
            return await super()._answer(message)
        if self.refusal is not None:
            return self.refusal
        if isinstance(message, ReadEvacuations):
            active = self.state.evacuations.active.values()
            return EvacuationsReply(
                evacuations=tuple(EvacuationProgress(e, workers=6, runs_left=2) for e in active)
            )
        self.orders.append(message)
        command = RecordEvacuation(order=message, now_s=NOW_S)
        reply = record_evacuation(self.state, len(self.orders), command)
        assert isinstance(reply, EvacuationsReply)
        return msgspec.structs.replace(reply, is_announced=False, unmet_accounts=("acueducto",))


async def start(is_operator: bool = True) -> tuple[Deployment, EvacuationControl]:
    """Returns a deployment whose account has the credential of the connections."""
    deployment, control = Deployment(agents=0), EvacuationControl()
    digest = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
    control.accounts = (AccountRecord("maria", digest, operator=is_operator),)
    context = deployment.entries[0].context
    context.control = control  # type: ignore[assignment]
    context.directory.control = control  # type: ignore[assignment]
    await deployment.poll()
    return deployment, control


async def exchange(
    deployment: Deployment, method: str, path: str, body: bytes = b""
) -> tuple[int, dict[str, str], dict[str, object]]:
    """Returns status, headers and document of the response to one request."""
    connection = HttpConnection(deployment)
    lines = [f"{method} {path} HTTP/1.1", "Host: entry", f"Authorization: Bearer {CREDENTIAL}"]
    lines += [f"Content-Length: {len(body)}", "", ""]
    connection.send("\r\n".join(lines).encode() + body)
    await connection.answer()
    await asyncio.sleep(0.1)
    head, _, content = connection.transport.written.decode().partition("\r\n\r\n")
    status_line, *header_lines = head.split("\r\n")
    headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in header_lines)}
    return int(status_line.split()[1]), headers, msgspec.json.decode(content)


def test_an_order_is_confirmed_with_what_is_in_force() -> None:
    """Guards against an answer that omits the missing worker or the guarantees that are unmet."""

    async def main() -> None:
        deployment, control = await start()
        status, _, document = await exchange(
            deployment, "PUT", "/v1/evacuations/paraiso", OPERATION
        )
        assert status == 200
        assert document["is_evacuated"] is True and document["is_announced"] is False
        assert document["unmet_accounts"] == ["acueducto"]
        assert control.orders == [
            OrderEvacuation(
                data_centre="paraiso", is_evacuated=True, operation_id="op-1", operator="maria"
            )
        ]
        _, _, listed = await exchange(deployment, "GET", "/v1/evacuations")
        assert listed == {
            "evacuations": [
                {
                    "data_centre": "paraiso",
                    "ordered_s": NOW_S,
                    "operator": "maria",
                    "workers": 6,
                    "runs_left": 2,
                }
            ]
        }

    run_virtual(main())


def test_a_late_repeat_is_answered_with_what_is_in_force_now() -> None:
    """Guards against "evacuated" as the answer to a repeat after the data centre was returned."""

    async def main() -> None:
        deployment, _ = await start()
        path = "/v1/evacuations/paraiso"
        await exchange(deployment, "PUT", path, OPERATION)
        _, _, returned = await exchange(deployment, "DELETE", path, b'{"operation_id": "op-2"}')
        status, _, repeated = await exchange(deployment, "PUT", path, OPERATION)
        assert (returned["is_evacuated"], returned["is_repeated"]) == (False, False)
        assert (status, repeated["is_evacuated"], repeated["is_repeated"]) == (200, False, True)

    run_virtual(main())


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param("no_leader", id="no-leader"),
        pytest.param("lost_reply", id="lost-reply"),
        pytest.param("failure", id="failure-without-retry-time"),
        pytest.param("other_reply", id="unexpected-reply"),
    ],
)
@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET"])
def test_what_is_not_confirmed_is_answered_503(fault: str, method: str) -> None:
    """Guards against a confirmation, or a final refusal, of an order that may not be durable."""

    async def main() -> None:
        deployment, control = await start()
        control.available = fault != "no_leader"
        control.lose_replies = int(fault == "lost_reply")
        if fault == "failure":
            control.refusal = Failure(code="unknown_call", detail="OrderEvacuation")
        elif fault == "other_reply":
            control.refusal = ReadEvacuations()
        path = "/v1/evacuations" if method == "GET" else "/v1/evacuations/paraiso"
        status, headers, document = await exchange(deployment, method, path, OPERATION)
        assert status == 503 and int(headers["retry-after"]) >= 1
        assert document["code"] and document["detail"]

    run_virtual(main())


@pytest.mark.parametrize(
    ("path", "body", "is_operator", "status", "code"),
    [
        ("/v1/evacuations/paraiso", OPERATION, False, 403, "operator_required"),
        ("/v1/evacuations/-paraiso", OPERATION, True, 422, "invalid_data_centre"),
        ("/v1/evacuations/a%20b", OPERATION, True, 422, "invalid_data_centre"),
        ("/v1/evacuations/paraiso", b"", True, 400, "invalid_body"),
        ("/v1/evacuations/paraiso", b'{"operation_id": ""}', True, 400, "invalid_body"),
        ("/v1/evacuations/paraiso", b'{"operation_id": 7}', True, 400, "invalid_body"),
        (
            "/v1/evacuations/paraiso",
            msgspec.json.encode({"operation_id": "x" * 129}),
            True,
            400,
            "invalid_body",
        ),
    ],
)
@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_a_refused_order_does_not_reach_control(
    method: str, path: str, body: bytes, is_operator: bool, status: int, code: str
) -> None:
    """Guards against orders of callers, and against orders that cannot be repeated safely."""

    async def main() -> None:
        deployment, control = await start(is_operator)
        answered, _, document = await exchange(deployment, method, path, body)
        assert (answered, document["code"]) == (status, code)
        assert control.orders == []

    run_virtual(main())
