"""An HTTP server on loopback that stands in for an entry and returns scripted responses."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import msgspec

CREDENTIAL = "unmistakable-credential-4711"


class ReceivedRequest(msgspec.Struct):
    """A request that the entry received."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def document(self) -> Any:
        return msgspec.json.decode(self.body)


class ScriptedResponse(msgspec.Struct):
    """A response to one request; `dropped` closes the connection without a response."""

    status_code: int = 200
    body: bytes = b"{}"
    headers: dict[str, str] = {}
    dropped: bool = False


class ScriptedEntry:
    """Responds by method and path; sends several responses in turn and repeats the last one."""

    __slots__ = ("received", "responses", "server")

    def __init__(self) -> None:
        self.responses: dict[tuple[str, str], list[ScriptedResponse]] = {}
        self.received: list[ReceivedRequest] = []
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), _handler_type(self))
        threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()

    def address(self) -> str:
        return f"127.0.0.1:{self.server.server_address[1]}"

    def respond(self, method: str, path: str, document: Any, status_code: int = 200) -> None:
        self.add(method, path, ScriptedResponse(status_code, msgspec.json.encode(document)))

    def add(self, method: str, path: str, response: ScriptedResponse) -> None:
        self.responses.setdefault((method, path), []).append(response)

    def next_response(self, method: str, path: str) -> ScriptedResponse:
        responses = self.responses.get((method, path), [])
        if not responses:
            return ScriptedResponse(404, b'{"code": "path_unknown", "detail": "no such path"}')
        return responses.pop(0) if len(responses) > 1 else responses[0]


def _handler_type(entry: ScriptedEntry) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        __slots__ = ()
        protocol_version = "HTTP/1.1"

        def _serve(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            headers = {name.lower(): value for name, value in self.headers.items()}
            entry.received.append(ReceivedRequest(self.command, self.path, headers, body))
            response = entry.next_response(self.command, self.path.split("?")[0])
            if response.dropped:
                self.close_connection = True
                return
            self.send_response(response.status_code)
            for name, value in response.headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(response.body)))
            self.end_headers()
            self.wfile.write(response.body)

        do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815 - names given by http.server

        def log_message(self, format: str, *args: Any) -> None:
            pass

    return Handler
