"""Calls between members of the replicated log when a connection goes silent."""

import asyncio

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.replica_channel import RESEND_AFTER_S, ReplicaChannel
from cicadatray.internal.wire.errors import PeerLostError, WireError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged

TIMEOUT_S = 0.45


class FakeClient:
    """Answers after `delay_s`, or never; fails at once with `error`."""

    def __init__(self, delay_s: float | None, error: WireError | None = None) -> None:
        self.delay_s = delay_s
        self.error = error
        self.last_received_s = -1.0
        self.host = "127.0.0.1"
        self.port = 1
        self.calls = 0
        self.is_aborted = False

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        self.calls += 1
        if self.error is not None:
            raise self.error
        delay_s = timeout_s if self.delay_s is None else min(self.delay_s, timeout_s)
        await asyncio.sleep(delay_s)
        if delay_s >= timeout_s:
            raise PeerLostError("no reply in time")
        self.last_received_s = asyncio.get_running_loop().time()
        return Acknowledged()

    def abort(self) -> None:
        self.is_aborted = True


def make_channel(*clients: FakeClient) -> ReplicaChannel:
    unused = list(clients)
    return ReplicaChannel(lambda: unused.pop(0))  # type: ignore[arg-type, return-value]


def test_silent_connection_is_replaced_within_a_lease() -> None:
    """All connections of a leader went silent; it waited 0.3 s for answers that could not come."""

    async def main() -> None:
        silent, fresh = FakeClient(None), FakeClient(0.02)
        channel = make_channel(silent, fresh)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        assert isinstance(await channel.call(Acknowledged(), TIMEOUT_S), Acknowledged)
        assert loop.time() - started_s < RESEND_AFTER_S + 0.03
        assert silent.is_aborted and not fresh.is_aborted
        await channel.call(Acknowledged(), TIMEOUT_S)
        assert (silent.calls, fresh.calls) == (1, 2)

    run_virtual(main())


def test_slow_member_is_not_sent_everything_twice() -> None:
    """A member whose disk is slow would get each message on two connections."""

    async def main() -> None:
        slow, second = FakeClient(0.1), FakeClient(0.2)
        channel = make_channel(slow, second)
        for _ in range(4):
            assert isinstance(await channel.call(Acknowledged(), TIMEOUT_S), Acknowledged)
        assert (slow.calls, second.calls) == (4, 1)
        assert second.is_aborted and not slow.is_aborted

    run_virtual(main())


@pytest.mark.parametrize(
    ("first", "second", "is_answered"),
    [
        (FakeClient(0.01), FakeClient(0.01), True),
        (FakeClient(0.3), FakeClient(None, PeerLostError("refused")), True),
        (FakeClient(None), FakeClient(0.38), True),
        (FakeClient(None), FakeClient(None), False),
        (FakeClient(None, PeerLostError("reset")), FakeClient(0.01), False),
    ],
    ids=["quick", "second refused", "both late", "both silent", "reset"],
)
def test_answer_is_the_first_of_both(
    first: FakeClient, second: FakeClient, is_answered: bool
) -> None:
    """A failed second connection must not end a call that the first one still answers."""

    async def main() -> None:
        channel = make_channel(first, second)
        if is_answered:
            assert isinstance(await channel.call(Acknowledged(), TIMEOUT_S), Acknowledged)
            return
        with pytest.raises(WireError):
            await channel.call(Acknowledged(), TIMEOUT_S)

    run_virtual(main())
