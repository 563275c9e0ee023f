"""Tests of what a process logs while it searches for the control leader."""

import asyncio

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.leader_probe import LeaderProbe
from cover.wire.test_rendezvous import (
    LEADER,
    MEMBERS,
    SEED,
    Network,
    answer_as_leader,
    make_client,
)

OUTAGE_S = 30.0
SEARCH_S = 5.0


def test_a_search_is_logged_once_with_the_addresses_tried(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that knows only wrong addresses and does not say which."""

    async def main() -> None:
        network = Network(monkeypatch)
        client = make_client(SEED)
        client.learn_members(MEMBERS)
        probe = LeaderProbe(client)
        running = asyncio.create_task(probe.run())
        with capture_logs() as lines:
            await asyncio.sleep(OUTAGE_S)
            network.handlers[LEADER.port] = answer_as_leader
            await asyncio.sleep(SEARCH_S)
        running.cancel()
        searches = [line for line in lines if line["event"].startswith("leader not found")]
        assert [line["event"] for line in searches] == [
            "leader not found",
            "leader not found, ended",
        ]
        assert searches[0]["addresses"] == ["follower", "leader", "seed"]
        assert searches[0]["members"] == ["follower", "leader"]
        assert searches[1]["duration_s"] > OUTAGE_S / 2

    run_virtual(main())
