"""Answers to operators that evacuate data centres, and the settings behind them."""

import asyncio
from pathlib import Path
from typing import Any

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.control_client import ControlUnavailableError
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.evacuation_messages import (
    Evacuation,
    EvacuationProgress,
    EvacuationsReply,
    OrderEvacuation,
)
from cicadatray.platform.control_role import ControlRole
from cicadatray.platform.operator_api import OperatorApi
from cicadatray.platform.settings import load_platform_settings
from cover.platform.asgi import request
from cover.platform.test_client_api import FakeControl
from cover.platform.test_control_group import settings_text

LISTED = frozenset({"north", "south"})
DONE = EvacuationsReply(evacuations=(EvacuationProgress(Evacuation("north", 1.0)),))
REPEATED = EvacuationsReply(is_repeated=True)
UNANNOUNCED = EvacuationsReply(is_announced=False)
# An operator turns to another instance after this time without an answer.
OPERATOR_WAIT_S = 1.0
UNMET = EvacuationsReply(unmet_accounts=("one",))


@pytest.mark.parametrize(("method", "is_evacuated"), [("POST", True), ("DELETE", False)])
@pytest.mark.parametrize(
    ("outcome", "zone", "listed", "status"),
    [
        (DONE, "north", LISTED, 200),
        (REPEATED, "north", LISTED, 200),
        (UNANNOUNCED, "north", LISTED, 200),
        (UNMET, "north", LISTED, 200),
        (DONE, "anywhere", frozenset(), 200),
        (DONE, "anywhere", LISTED, 404),
        (Failure(code="x", detail="y"), "north", LISTED, 503),
        (Acknowledged(), "north", LISTED, 503),
        (ControlUnavailableError("no leader", True), "north", LISTED, 503),
        (ControlUnavailableError("no leader", False), "north", LISTED, 503),
    ],
    ids=[
        "done",
        "repeated",
        "not announced",
        "unmet guarantees",
        "nothing listed",
        "not listed",
        "failure",
        "another reply",
        "in doubt",
        "not sent",
    ],
)
def test_answers(
    method: str,
    is_evacuated: bool,
    outcome: MessageStruct | Exception,
    zone: str,
    listed: frozenset[str],
    status: int,
) -> None:
    """Guards against a confirmation of what is not durable, and against a final refusal.

    An operator repeats an order after 503 and ends at any other 4xx than 408 and 429.
    """
    control: Any = FakeControl(outcome)
    api = OperatorApi(control, listed).application()
    answer = run_virtual(request(api, method, f"/cicadatray/evacuate/{zone}"))
    assert answer.status == status
    assert ("retry-after" in answer.headers) is (status == 503)
    order = OrderEvacuation(data_centre=zone, is_evacuated=is_evacuated)
    assert [call for call, _ in control.calls] == ([] if status == 404 else [order])


class LateLeader:
    """Finds a leader only after some time, and applies each order then."""

    def __init__(self, found_s: float) -> None:
        self.found_s = found_s
        self.orders: list[bool] = []

    async def call(self, message: OrderEvacuation, timeout_s: float) -> MessageStruct:
        remaining_s = self.found_s - asyncio.get_running_loop().time()
        if remaining_s > timeout_s:
            await asyncio.sleep(timeout_s)
            raise ControlUnavailableError("no leader", False)
        await asyncio.sleep(max(0.0, remaining_s))
        self.orders.append(message.is_evacuated)
        return DONE


def test_order_is_not_repeated_after_the_operator_has_moved_on() -> None:
    """Guards against a data centre that is evacuated again after it was taken back.

    The first instance does not reach a leader. The operator turns to another one after a second,
    and takes the data centre back as soon as the evacuation is confirmed.
    """

    async def main() -> list[bool]:
        control: Any = LateLeader(asyncio.get_running_loop().time() + 1.2)
        first, second = (OperatorApi(control, LISTED).application() for _ in range(2))
        path = "/cicadatray/evacuate/north"
        unanswered = asyncio.create_task(request(first, "POST", path))
        await asyncio.sleep(OPERATOR_WAIT_S)
        control.found_s = 0.0
        assert (await request(second, "POST", path)).status == 200
        assert (await request(second, "DELETE", path)).status == 200
        await unanswered
        orders: list[bool] = control.orders
        return orders

    assert run_virtual(main()) == [True, False]


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/cicadatray/evacuate/north", 405),
        ("PUT", "/cicadatray/evacuate/north", 405),
        ("POST", "/cicadatray/evacuate/", 404),
        ("POST", "/cicadatray/evacuate/north/west", 404),
    ],
)
def test_other_calls_order_nothing(method: str, path: str, status: int) -> None:
    """Guards against an order by a call that the platform does not define."""
    control: Any = FakeControl(DONE)
    answer = run_virtual(request(OperatorApi(control).application(), method, path))
    assert (answer.status, control.calls) == (status, [])


@pytest.mark.parametrize(
    ("bounds", "zones", "limit_s", "listed"),
    [
        ("EvacuateMs = 5000", '[Zones]\nnorth = "r1"\nsouth = "r1"', 5.0, LISTED),
        ("EvacuateMs = 0", "", 0.0, frozenset()),
        ("", "", 0.0, frozenset()),
    ],
    ids=["both", "no limit", "neither"],
)
def test_settings_of_evacuations(
    bounds: str, zones: str, limit_s: float, listed: frozenset[str], tmp_path: Path
) -> None:
    """Guards against a bound or a data centre in the settings that has no effect."""
    path = tmp_path / "settings.toml"
    text = settings_text(1).replace("[Bounds]", f"[Bounds]\n{bounds}")
    path.write_text(f"{text}\n{zones}\n", encoding="utf-8")

    async def main() -> None:
        role = ControlRole(load_platform_settings(path))
        assert role.daemon is not None
        assert role.daemon.settings.evacuation_start_limit_s == limit_s
        assert role.operator_api.data_centres == listed
        without = path.with_name("without.toml")
        without.write_text(text, encoding="utf-8")
        role.reload(load_platform_settings(without))
        assert role.operator_api.data_centres == frozenset()

    run_virtual(main())
