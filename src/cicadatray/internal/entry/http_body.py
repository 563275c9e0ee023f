"""Reading of HTTP request bodies within limits of size and time."""

import asyncio
from typing import TypeVar

import msgspec
from starlette.requests import ClientDisconnect, Request

from cicadatray.internal.entry.errors import EntryError

MAX_BODY_BYTES = 512 * 1024
BODY_TIMEOUT_S = 10.0
# A body that is too large is still read and discarded up to this size: closing a connection with
# unread bytes resets it, and the caller would not receive the response.
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
Document = TypeVar("Document")


async def read_body(request: Request) -> bytes:
    """Returns the complete body.

    Raises:
        EntryError: the body is too large or too slow, or the caller has disconnected.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for chunk in request.stream():
                size += len(chunk)
                if size > MAX_DISCARDED_BYTES:
                    break
                if size > MAX_BODY_BYTES:
                    chunks.clear()
                else:
                    chunks.append(chunk)
    except TimeoutError as error:
        detail = f"the request body was not received within {BODY_TIMEOUT_S:.0f} s"
        raise EntryError(408, "body_too_slow", detail) from error
    except ClientDisconnect as error:
        raise EntryError(400, "caller_disconnected", "the caller has disconnected") from error
    if size > MAX_BODY_BYTES:
        detail = f"the request body exceeds {MAX_BODY_BYTES} bytes"
        raise EntryError(413, "body_too_large", detail)
    return b"".join(chunks)


async def read_document(request: Request, document_type: type[Document]) -> Document:
    """Returns the decoded JSON body.

    Raises:
        EntryError: see `read_body`; also 400 for a body that is not a valid document.
    """
    body = await read_body(request)
    try:
        return msgspec.json.decode(body, type=document_type)
    except msgspec.MsgspecError as error:
        raise EntryError(400, "invalid_body", str(error)) from error
