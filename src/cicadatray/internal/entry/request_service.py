"""Admits requests and joins resends to requests in progress."""

import asyncio

from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.endpoint_selector import EndpointSelector
from cicadatray.internal.entry.idempotent_runner import IdempotentRunner
from cicadatray.internal.entry.non_idempotent_runner import NonIdempotentRunner
from cicadatray.internal.entry.request_outcome import RequestOutcome, not_run
from cicadatray.internal.entry.shared_request import SharedRequest
from cicadatray.internal.wire.control_client import ControlClient

KEY_REUSED_CODE = "key_reused"


class RequestService:
    """Owns every request in progress at this entry."""

    __slots__ = ("control", "directory", "in_progress", "running", "selector")

    def __init__(self, directory: DirectoryCache, control: ControlClient) -> None:
        self.directory = directory
        self.control = control
        self.selector = EndpointSelector(directory)
        self.in_progress: dict[str, SharedRequest] = {}
        self.running: set[asyncio.Task[RequestOutcome]] = set()

    async def run(self, request: CallerRequest) -> RequestOutcome:
        """Returns the final outcome of a request, or of the one in progress with the same key."""
        name = f"{request.client_account}/{request.key}"
        shared = self.in_progress.get(name) if request.key else None
        if shared is not None and shared.request.digest() != request.digest():
            return not_run(422, KEY_REUSED_CODE, "this key is in use for another request", 0.0)
        if shared is None or shared.request.abandoned.is_set():
            shared = self._start(name, request)
        return await shared.wait()

    async def finish(self) -> None:
        """Waits for all requests in progress."""
        while self.running:
            await asyncio.wait(self.running)

    def _start(self, name: str, request: CallerRequest) -> SharedRequest:
        task = asyncio.create_task(self._runner(request).run())
        shared = SharedRequest(request, task)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        if request.key:
            self.in_progress[name] = shared
            task.add_done_callback(lambda _: self._forget(name, shared))
        return shared

    def _runner(self, request: CallerRequest) -> IdempotentRunner | NonIdempotentRunner:
        if request.non_idempotent:
            return NonIdempotentRunner(request, self.selector, self.directory, self.control)
        return IdempotentRunner(request, self.selector)

    def _forget(self, name: str, shared: SharedRequest) -> None:
        if self.in_progress.get(name) is shared:
            del self.in_progress[name]
