"""Reading of request bodies up to a limit."""

from starlette.requests import Request

from cicadatray.platform.errors import BodyTooLargeError


async def read_body(request: Request, limit_bytes: int) -> bytes:
    """Returns the whole body.

    Raises:
        BodyTooLargeError: the body exceeds the limit; the rest is not read.
        ClientDisconnect: the connection was lost before the end of the body.
    """
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > limit_bytes:
            raise BodyTooLargeError(f"the request body exceeds {limit_bytes} bytes")
    return bytes(body)
