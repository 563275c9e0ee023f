"""An in-memory HTTP connection to an entry that runs on the virtual clock."""

import asyncio
import hashlib

from deployment import Deployment
from uvicorn.server import ServerState

from cicadatray.internal.entry.guarded_protocol import GuardedProtocol
from cicadatray.internal.entry.http_application import build_application
from cicadatray.internal.entry.http_server import HttpServer
from cicadatray.internal.wire.messages.configuration_messages import AccountRecord

CREDENTIAL = "credential"
PATH = "/v1/services/meters/requests"


class _MemoryTransport(asyncio.Transport):
    __slots__ = ("closed", "protocol", "written")

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    abort = close

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


class HttpConnection:
    """A connection to the first entry; `state` is shared by the connections of one server."""

    __slots__ = ("protocol", "transport")

    def __init__(self, deployment: Deployment, state: ServerState | None = None) -> None:
        application = build_application(deployment.entries[0].context)
        config = HttpServer(application, "127.0.0.1", 1).server.config
        config.load()
        self.protocol = GuardedProtocol(
            config=config, server_state=state or ServerState(), app_state={}
        )
        self.transport = _MemoryTransport()
        self.transport.protocol = self.protocol
        self.protocol.connection_made(self.transport)

    def send(self, data: bytes) -> None:
        """Sends bytes, unless the entry has closed the connection."""
        if not self.transport.closed:
            self.protocol.data_received(data)

    def send_request(self, body: bytes, **headers: str) -> None:
        """Sends a request to the service; underscores in header names are sent as hyphens."""
        lines = [f"POST {PATH} HTTP/1.1", "Host: entry", f"Authorization: Bearer {CREDENTIAL}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.send("\r\n".join(lines).encode() + body)

    def disconnect(self) -> None:
        """Closes the connection from the caller's side."""
        self.transport.closed = True
        self.protocol.connection_lost(None)

    async def answer(self, limit_s: float = 60.0) -> str:
        """Waits until the entry has sent something, at most `limit_s`, and returns it."""
        waited_s = 0.0
        while not self.transport.written and waited_s < limit_s:
            await asyncio.sleep(0.05)
            waited_s += 0.05
        return self.transport.written.decode("latin-1")


async def connect_account(deployment: Deployment) -> None:
    """Adds an account to the deployment and refreshes the configuration of its entries."""
    digest = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
    deployment.control.accounts = (AccountRecord("acueducto", digest),)
    await deployment.poll()
