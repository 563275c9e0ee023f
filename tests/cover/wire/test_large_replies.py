"""Replies that cannot be sent."""

import asyncio

import pytest

from cicadatray.internal.wire.frame import FRAME_LIMIT_BYTES
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.graph_messages import QueuesReply, ReadQueues
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.rpc_client import RpcClient
from cicadatray.internal.wire.rpc_server import INTERNAL_ERROR_CODE, RpcServer

SECRET = b"secret"
LIMIT_S = 30.0


@pytest.mark.parametrize(
    "unsendable",
    [
        QueuesReply(version=1, source=bytes(FRAME_LIMIT_BYTES)),
        QueuesReply(version=1 << 64, source=b""),
        QueuesReply(version=1, source="text\ud800"),  # type: ignore[arg-type]
    ],
    ids=["too large", "number too large", "not valid text"],
)
def test_reply_that_cannot_be_sent_is_replaced_by_a_failure(unsendable: MessageStruct) -> None:
    """Guards against a caller that waits for, and asks for, a reply that can never be sent."""

    async def main() -> None:
        async def answer(call: MessageStruct) -> MessageStruct:
            return unsendable

        server = RpcServer("127.0.0.1", 0, message_codec(), answer, SECRET)
        await server.start()
        client = RpcClient("127.0.0.1", server.port, message_codec(), SECRET)
        reply = await client.call(ReadQueues(), LIMIT_S)
        assert isinstance(reply, Failure) and reply.code == INTERNAL_ERROR_CODE
        await client.close()
        await server.stop()

    asyncio.run(main())
