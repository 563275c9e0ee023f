"""A stand-in for an endpoint of a caller: an HTTP service with limited slots."""

import asyncio

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cicadatray.internal.standins.http_standin import serve_until_stopped, standin_parser
from cicadatray.internal.standins.journal import Journal


class EndpointWork(msgspec.Struct):
    """The body of a request: the duration and the result of its execution.

    `fail_with` is an HTTP status code; `cut_short` closes the connection within the response body.
    """

    subject: str
    work_s: float = 0.02
    answer_bytes: int = 32
    fail_with: int = 0
    cut_short: bool = False


class EndpointStandin:
    """An endpoint that records every execution.

    With `fail_all` it fails every request immediately, as a broken instance does.
    """

    __slots__ = ("fail_all", "journal", "running", "slots")

    def __init__(self, journal: Journal, slots: int, fail_all: bool) -> None:
        self.journal = journal
        self.slots = slots
        self.fail_all = fail_all
        self.running = 0

    async def handle(self, request: Request) -> Response:
        """Executes one request."""
        work = msgspec.json.decode(await request.body(), type=EndpointWork)
        if self.fail_all:
            return Response(b"broken", 500)
        self.running += 1
        self.journal.record("started", work.subject, count=self.running)
        if self.running > self.slots:
            self.journal.record("slots_exceeded", work.subject, count=self.running)
        try:
            await asyncio.sleep(work.work_s)
        finally:
            self.running -= 1
        self.journal.record("finished", work.subject)
        return self._answer(work)

    def _answer(self, work: EndpointWork) -> Response:
        body = (work.subject.encode() + b" ").ljust(work.answer_bytes, b".")
        if work.cut_short:
            # The server closes the connection when the body is shorter than its Content-Length.
            return Response(body, headers={"Content-Length": str(len(body) + 100)})
        return Response(body, work.fail_with or 200, media_type="text/plain")


def main() -> None:
    """Runs the stand-in endpoint."""
    parser = standin_parser("Stand-in endpoint")
    parser.add_argument("--slots", type=int, default=8)
    arguments = parser.parse_args()
    journal = Journal(arguments.journal, arguments.name)
    standin = EndpointStandin(journal, arguments.slots, arguments.fail_all)
    application = Starlette(routes=[Route("/", standin.handle, methods=["POST"])])
    asyncio.run(serve_until_stopped(application, arguments.host, arguments.port))


if __name__ == "__main__":
    main()
