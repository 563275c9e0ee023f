"""Announcements in the name of a worker that another process has written."""

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.messages.graph_messages import WorkerOffer
from cicadatray.platform.worker_api import WorkerApi
from cover.platform.asgi import request
from cover.platform.documents import ANNOUNCEMENT

PATH = "/cicadatray/instances/i-1"
BORN = {**ANNOUNCEMENT, "born": 1_700_000_000_000}
REBORN = {**BORN, "born": 1_700_000_009_000, "Seq": 1}


def announce(*documents: dict[str, Any]) -> tuple[list[int], list[WorkerOffer]]:
    """Returns the statuses of announcements in sequence, and the offers that the agent received."""
    offers: list[WorkerOffer] = []

    async def receive_offer(offer: WorkerOffer, port: Any) -> bool:
        offers.append(offer)
        await port.close()
        return True

    async def main() -> list[int]:
        agent: Any = SimpleNamespace(port=None, receive_offer=receive_offer)
        api = WorkerApi(agent, "south").application()
        answers = [await request(api, "PUT", PATH, msgspec.json.encode(d)) for d in documents]
        return [answer.status for answer in answers]

    return run_virtual(main()), offers


@pytest.mark.parametrize(
    ("first", "foreign"),
    [
        (BORN, {**ANNOUNCEMENT, "Seq": 9}),
        (BORN, {**BORN, "Service": "elsewhere", "Seq": 10**6}),
        (BORN, {**BORN, "Address": "10.0.0.10:8080", "Seq": 10**6}),
        (ANNOUNCEMENT, {**ANNOUNCEMENT, "Service": "elsewhere", "Seq": 10**6}),
        (BORN, {name: value for name, value in BORN.items() if name != "Capacity"}),
        (BORN, {name: value for name, value in BORN.items() if name != "Labels"}),
        (BORN, {name: value for name, value in BORN.items() if name != "Seq"}),
        (BORN, {**BORN, "Capacity": None}),
        (BORN, {**BORN, "State": "resting"}),
    ],
    ids=[
        "without its start",
        "another service",
        "another address",
        "another service, no start",
        "no capacity",
        "no labels",
        "no sequence number",
        "null capacity",
        "unknown state",
    ],
)
def test_foreign_announcement_changes_nothing(
    first: dict[str, Any], foreign: dict[str, Any]
) -> None:
    """Guards against a worker at work that is taken for ended, or whose own calls are ignored.

    The worker's next announcement follows the foreign one.
    """
    statuses, offers = announce(first, foreign, {**first, "Seq": first["Seq"] + 1})
    assert statuses == [200, 400, 200]
    assert len(offers) == 2 and offers[0] == offers[1]


@pytest.mark.parametrize(
    "next_document",
    [
        {**BORN, "Seq": 5, "State": "draining", "RemainingMs": 2000},
        {**BORN, "Seq": 5, "Capacity": {"Cpu": 1, "MemMb": 2, "Gpus": 0}},
        {**BORN, "Seq": 5, "New": True},
        REBORN,
        {**REBORN, "Address": "10.0.0.9:9090", "Service": "elsewhere"},
    ],
    ids=["draining", "smaller", "unknown field", "started again", "started again elsewhere"],
)
def test_own_announcements_are_accepted(next_document: dict[str, Any]) -> None:
    """Guards against a worker that is refused after a change that it may announce."""
    statuses, offers = announce(BORN, next_document)
    assert statuses == [200, 200] and len(offers) == 2
