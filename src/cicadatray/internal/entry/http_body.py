"""Reading of HTTP bodies within limits."""

import asyncio
from typing import TypeVar

import msgspec
from starlette.requests import ClientDisconnect, Request

from cicadatray.internal.entry.errors import EntryError

BODY_LIMIT_BYTES = 512 * 1024
BODY_TIMEOUT_S = 10.0
# A body that is too large is read and dropped up to here: closing a connection with unread bytes
# resets it, and the caller would lose the answer.
DISCARD_LIMIT_BYTES = 4 * 1024 * 1024
Document = TypeVar("Document")


async def read_body(request: Request) -> bytes:
    """Returns the whole body.

    Raises:
        EntryError: the body is too large or too slow, or the caller has gone.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for chunk in request.stream():
                size += len(chunk)
                if size > DISCARD_LIMIT_BYTES:
                    break
                if size > BODY_LIMIT_BYTES:
                    chunks.clear()
                else:
                    chunks.append(chunk)
    except TimeoutError as error:
        detail = f"the body did not arrive within {BODY_TIMEOUT_S:.0f} s"
        raise EntryError(408, "body_too_slow", detail) from error
    except ClientDisconnect as error:
        raise EntryError(400, "caller_disconnected", "the caller has gone") from error
    if size > BODY_LIMIT_BYTES:
        detail = f"at most {BODY_LIMIT_BYTES} bytes are allowed"
        raise EntryError(413, "body_too_large", detail)
    return b"".join(chunks)


async def read_document(request: Request, document_type: type[Document]) -> Document:
    """Returns the decoded JSON body.

    Raises:
        EntryError: as of `read_body`, and 400 for a body that is not such a document.
    """
    body = await read_body(request)
    try:
        return msgspec.json.decode(body, type=document_type)
    except msgspec.MsgspecError as error:
        raise EntryError(400, "invalid_body", str(error)) from error
