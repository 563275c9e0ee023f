"""Execution of requests; resends join the request in progress with the same key."""

import asyncio
from typing import Any

import msgspec
import structlog

from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.idempotent_runner import IdempotentRunner
from cicadatray.internal.entry.non_idempotent_runner import NonIdempotentRunner
from cicadatray.internal.entry.request_outcome import (
    OutcomeKind,
    RequestOutcome,
    not_run,
    outcome_unknown,
)
from cicadatray.internal.entry.request_resources import RequestResources
from cicadatray.internal.entry.shared_request import SharedRequest

KEY_REUSED_CODE = "key_reused"
INTERNAL_ERROR_CODE = "internal_error"
# The metrics label for a caller that disconnected before the outcome.
CALLER_GONE_OUTCOME = "caller_gone"
INTERNAL_RETRY_AFTER_S = 1.0

log = structlog.get_logger(__name__)


class RequestIdentity(msgspec.Struct, frozen=True):
    """The identity of a request in progress.

    Idempotent and non-idempotent requests never share an execution, even with the same key.
    """

    client_account: str
    key: str
    non_idempotent: bool


class RequestService:
    """All requests in progress at this entry."""

    __slots__ = ("by_identity", "resources", "running", "stopping")

    def __init__(self, resources: RequestResources) -> None:
        self.resources = resources
        self.by_identity: dict[RequestIdentity, SharedRequest] = {}
        self.running: set[SharedRequest] = set()
        self.stopping = False

    async def run(self, request: CallerRequest) -> RequestOutcome:
        """Runs a request, or joins the one in progress with the same key; returns the outcome."""
        started_s = asyncio.get_running_loop().time()
        metrics, label = self.resources.metrics, CALLER_GONE_OUTCOME
        try:
            outcome = await self._run(request)
            label = outcome.kind.value
        finally:
            duration_s = asyncio.get_running_loop().time() - started_s
            metrics.record_outcome(request.client_account, label, duration_s)
        if outcome.kind is OutcomeKind.NOT_RUN:
            metrics.record_refusal(request.client_account, outcome.code)
        return outcome

    def find(self, request: CallerRequest) -> SharedRequest | None:
        """Returns the request in progress with the same key unless it has been abandoned."""
        shared = self.by_identity.get(self._identity(request)) if request.key else None
        return None if shared is None or shared.request.abandoned.done() else shared

    async def drain(self) -> None:
        """Waits for all requests in progress and for attempts whose callers have disconnected."""
        while self.running or (self.resources.background and not self.stopping):
            ends: set[asyncio.Future[Any]] = {shared.task for shared in self.running}
            ends |= {shared.wait_ended for shared in self.running}
            if not self.stopping:
                ends |= self.resources.background
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            self.running = {shared for shared in self.running if not shared.wait_ended.done()}
        for task in self.resources.background:
            task.cancel()

    def abandon(self) -> None:
        """Ends all requests in progress; callers get the true outcome within `STOP_GRACE_S`."""
        self.stopping = True
        for shared in self.running:
            shared.stop()
        for task in self.resources.background:
            task.cancel()

    async def _run(self, request: CallerRequest) -> RequestOutcome:
        shared = self.find(request)
        if shared is not None and shared.request.digest() != request.digest():
            return not_run(422, KEY_REUSED_CODE, "this key is in use for another request", 0.0)
        if shared is None:
            shared = self._start(request)
        return await shared.wait(request.deadline_s)

    def _start(self, request: CallerRequest) -> SharedRequest:
        shared = SharedRequest(request, asyncio.create_task(self._execute(request)))
        self.running.add(shared)
        if request.key:
            self.by_identity[self._identity(request)] = shared
        shared.task.add_done_callback(lambda _: self._remove(shared))
        return shared

    async def _execute(self, request: CallerRequest) -> RequestOutcome:
        try:
            if request.non_idempotent:
                return await NonIdempotentRunner(request, self.resources).run()
            return await IdempotentRunner(request, self.resources).run()
        except Exception:
            # A defect must not leave the caller without a response, and the response may not claim
            # that the request did not run.
            log.exception("request failed", trace_id=request.trace_id)
            detail = "internal error; the request may have run"
            return outcome_unknown(INTERNAL_ERROR_CODE, detail, INTERNAL_RETRY_AFTER_S)

    def _remove(self, shared: SharedRequest) -> None:
        self.running.discard(shared)
        identity = self._identity(shared.request)
        if self.by_identity.get(identity) is shared:
            del self.by_identity[identity]

    def _identity(self, request: CallerRequest) -> RequestIdentity:
        return RequestIdentity(request.client_account, request.key, request.non_idempotent)
