"""Requests to an ASGI application without a network."""

from typing import Any

import msgspec
from starlette.types import ASGIApp


class Answer:
    """A response; the names of its headers are in lower case."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Returns the decoded JSON body."""
        return msgspec.json.decode(self.body)


async def request(
    application: ASGIApp,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Sends a request and returns the complete response."""
    sent: list[dict[str, Any]] = []
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [
            (name.lower().encode(), text.encode()) for name, text in (headers or {}).items()
        ],
    }

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: Any) -> None:
        sent.append(message)

    await application(scope, receive, send)
    start = sent[0]
    content = b"".join(event.get("body", b"") for event in sent[1:])
    answer_headers = {key.decode(): value.decode() for key, value in start["headers"]}
    return Answer(start["status"], answer_headers, content)
