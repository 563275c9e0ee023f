"""Calls that survive the loss of an entry."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.entry_response import EntryResponse
from cicadatray.internal.cli.errors import AnswerLostError, EntryUnreachableError, ToolError
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.wire.backoff import Backoff

RETRY_AFTER_LIMIT_S = 60.0  # a longer wait is better left to whoever runs the tool


class Transport(Protocol):
    """Sends a request once."""

    async def send(self, address: str, request: EntryRequest) -> EntryResponse:
        """Returns the complete answer, or raises EntryUnreachableError or AnswerLostError."""


class EntryClient:
    """Tries the entries in turn, sends again after a lost answer and honours Retry-After.

    Every request is sent again unchanged, with the same idempotency key or operation ID, for at
    most `retry_for_s`. `report` gets a line for people on each further attempt.
    """

    __slots__ = ("addresses", "backoff", "pause", "position", "report", "retry_for_s", "transport")

    def __init__(
        self,
        addresses: tuple[str, ...],
        transport: Transport,
        retry_for_s: float,
        report: Callable[[str], None],
        pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.addresses = addresses
        self.transport = transport
        self.retry_for_s = retry_for_s
        self.report = report
        self.pause = pause
        self.backoff = Backoff()
        self.position = 0

    async def call(self, request: EntryRequest) -> EntryResponse:
        """Returns the last answer.

        Raises:
            ToolError: no entry answered; the exit code tells whether something may have happened.
        """
        clock = asyncio.get_running_loop()
        deadline_s = clock.time() + self.retry_for_s
        answer_lost = request.repeats
        failures = 0
        while True:
            address = self.addresses[self.position]
            response: EntryResponse | None = None
            detail = ""
            try:
                response = await self.transport.send(address, request)
                delay_s = response.retry_after_s()
            except (EntryUnreachableError, AnswerLostError) as error:
                answer_lost = answer_lost or isinstance(error, AnswerLostError)
                detail = f"entry {address}: {error}"
                failures += 1
                delay_s = self._next_entry(failures)
            if response is not None and delay_s == 0:
                return msgspec.structs.replace(response, answer_lost_before=answer_lost)
            if delay_s > RETRY_AFTER_LIMIT_S or clock.time() + delay_s > deadline_s:
                return self._give_up(request, response, detail, answer_lost)
            self._report_attempt(address, response, detail, delay_s)
            await self.pause(delay_s)

    def _next_entry(self, failures: int) -> float:
        """Moves to the next entry; waits only when all of them have failed in turn."""
        self.position = (self.position + 1) % len(self.addresses)
        return self.backoff.next_delay_s() if failures % len(self.addresses) == 0 else 0.0

    def _report_attempt(
        self, address: str, response: EntryResponse | None, detail: str, delay_s: float
    ) -> None:
        if response is not None:
            detail = f"entry {address}: {response.error().code}"
        self.report(f"{detail}; sending again in {delay_s:.1f} s")

    def _give_up(
        self, request: EntryRequest, response: EntryResponse | None, detail: str, answer_lost: bool
    ) -> EntryResponse:
        if response is not None:
            return msgspec.structs.replace(response, answer_lost_before=answer_lost)
        if answer_lost and request.changes:
            hint = "it may have been carried out; repeat it only with the same ID"
            raise ToolError(ExitCode.OUTCOME_UNKNOWN, f"{detail}; {hint}", "answer_lost")
        raise ToolError(ExitCode.UNREACHABLE, detail, "unreachable")
