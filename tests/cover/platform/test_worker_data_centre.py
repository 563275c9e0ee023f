"""The data centre of a worker that does not name one."""

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.messages.graph_messages import WorkerOffer
from cicadatray.platform.worker_api import WorkerApi
from cover.platform.asgi import request
from cover.platform.documents import ANNOUNCEMENT


@pytest.mark.parametrize(
    ("announced", "expected"), [("north", "north"), ("", "south"), (None, "south")]
)
def test_worker_is_in_the_data_centre_of_its_agent(announced: str | None, expected: str) -> None:
    """Guards against a worker on which an evacuation has no effect."""
    offers: list[WorkerOffer] = []

    async def receive_offer(offer: WorkerOffer, port: Any) -> bool:
        offers.append(offer)
        await port.close()
        return True

    async def main() -> int:
        agent: Any = SimpleNamespace(port=None, receive_offer=receive_offer)
        document = {k: v for k, v in ANNOUNCEMENT.items() if k != "Zone"}
        if announced is not None:
            document["Zone"] = announced
        api = WorkerApi(agent, "south").application()
        path = "/cicadatray/instances/i-1"
        return (await request(api, "PUT", path, msgspec.json.encode(document))).status

    assert run_virtual(main()) == 200
    assert [offer.data_centre for offer in offers] == [expected]
