"""Tests of calls to another process after a connection failure."""

import asyncio

import pytest

from cicadatray.internal.wire.errors import PeerLostError
from cicadatray.internal.wire.frame import pack_frame, read_frame
from cicadatray.internal.wire.handshake import authenticate
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.rpc_client import RpcClient

SECRET = b"secret"


class SilentOnceServer:
    """Never replies on its first connection, and replies to every call on later ones."""

    def __init__(self) -> None:
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        is_silent = self.connections == 1
        codec = message_codec()
        try:
            await authenticate(reader, writer, SECRET, dialer=False)
            while True:
                call_id, message = codec.decode(await read_frame(reader))
                if not is_silent:
                    writer.write(pack_frame(codec.encode(call_id, message)))
        except (EOFError, OSError):
            pass
        finally:
            writer.close()


def test_call_after_a_dead_connection_opens_a_new_one() -> None:
    """Guards against a call that fails on the connection that was reset after a timeout."""

    async def main() -> None:
        silent_server = SilentOnceServer()
        server = await asyncio.start_server(silent_server.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = RpcClient("127.0.0.1", port, message_codec(), SECRET)
        with pytest.raises(PeerLostError):
            await client.call(Acknowledged(), 0.2)
        assert isinstance(await client.call(Acknowledged(), 30.0), Acknowledged)
        assert silent_server.connections == 2
        await client.close()
        server.close()

    asyncio.run(main())
