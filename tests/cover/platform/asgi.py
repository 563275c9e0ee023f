"""Calls an ASGI application without a network."""

from typing import Any

import msgspec
from starlette.types import ASGIApp


class Answer:
    """Status, headers with small letters, and body."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Returns the decoded body."""
        return msgspec.json.decode(self.body)


async def request(
    application: ASGIApp,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Sends one request and returns the whole answer."""
    sent: list[dict[str, Any]] = []
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [(k.lower().encode(), v.encode()) for k, v in (headers or {}).items()],
    }

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: Any) -> None:
        sent.append(message)

    await application(scope, receive, send)
    head = sent[0]
    content = b"".join(part.get("body", b"") for part in sent[1:])
    answer_headers = {key.decode(): value.decode() for key, value in head["headers"]}
    return Answer(head["status"], answer_headers, content)
