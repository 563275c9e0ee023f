"""Calls to entries, with resends and failover."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.entry_response import EntryResponse
from cicadatray.internal.cli.error_mapping import find_exit_code
from cicadatray.internal.cli.errors import AnswerLostError, EntryUnreachableError, ToolError
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.wire.backoff import Backoff

MAX_RETRY_AFTER_S = 60.0  # longer waits are left to the caller of the tool


class Transport(Protocol):
    """Makes one attempt to send a request."""

    async def send(self, address: str, request: EntryRequest) -> EntryResponse:
        """Returns the complete response, or raises EntryUnreachableError or AnswerLostError."""


class EntryClient:
    """Tries the entries in turn, resends after a lost response and honours Retry-After.

    Every resend carries the same request, with the same idempotency key or operation ID, for at
    most `retry_for_s`. `report_retry` is called with a human-readable line before each resend.
    """

    __slots__ = (
        "addresses",
        "address_index",
        "backoff",
        "report_retry",
        "retry_for_s",
        "sleep",
        "transport",
    )

    def __init__(
        self,
        addresses: tuple[str, ...],
        transport: Transport,
        retry_for_s: float,
        report_retry: Callable[[str], None],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.addresses = addresses
        self.transport = transport
        self.retry_for_s = retry_for_s
        self.report_retry = report_retry
        self.sleep = sleep
        self.backoff = Backoff()
        self.address_index = 0

    async def call(self, request: EntryRequest) -> EntryResponse:
        """Returns the last response, which may be an error.

        Raises:
            ToolError: no entry responded. The exit code is OUTCOME_UNKNOWN if a change may have
                been carried out, UNREACHABLE otherwise.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self.retry_for_s
        answer_lost = request.is_resend
        failures = 0
        while True:
            address = self.addresses[self.address_index]
            response: EntryResponse | None = None
            detail = ""
            try:
                response = await self.transport.send(address, request)
                delay_s = response.retry_after_s()
            except (EntryUnreachableError, AnswerLostError) as error:
                answer_lost = answer_lost or isinstance(error, AnswerLostError)
                detail = f"entry {address}: {error}"
                failures += 1
                delay_s = self._switch_entry(failures)
            if response is not None and delay_s == 0:
                return msgspec.structs.replace(response, earlier_answer_lost=answer_lost)
            if delay_s > MAX_RETRY_AFTER_S or loop.time() + delay_s > deadline_s:
                return self._finish(request, response, detail, answer_lost)
            if response is not None and request.is_change:
                is_unknown = find_exit_code(response, True) is ExitCode.OUTCOME_UNKNOWN
                answer_lost = answer_lost or is_unknown
            self._report_retry(address, response, detail, delay_s)
            await self.sleep(delay_s)

    def _switch_entry(self, failures: int) -> float:
        """Selects the next entry; returns the delay in seconds, 0 until all have failed in turn."""
        self.address_index = (self.address_index + 1) % len(self.addresses)
        return self.backoff.next_delay_s() if failures % len(self.addresses) == 0 else 0.0

    def _report_retry(
        self, address: str, response: EntryResponse | None, detail: str, delay_s: float
    ) -> None:
        if response is not None:
            detail = f"entry {address}: {response.error_body().code}"
        self.report_retry(f"{detail}; retrying in {delay_s:.1f} s")

    def _finish(
        self, request: EntryRequest, response: EntryResponse | None, detail: str, answer_lost: bool
    ) -> EntryResponse:
        if response is not None:
            return msgspec.structs.replace(response, earlier_answer_lost=answer_lost)
        if answer_lost and request.is_change:
            hint = "the request may have been carried out; resend it only with the same ID"
            raise ToolError(ExitCode.OUTCOME_UNKNOWN, f"{detail}; {hint}", "answer_lost")
        raise ToolError(ExitCode.UNREACHABLE, detail, "unreachable")
