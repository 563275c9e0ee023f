"""Admission of requests: a bounded queue that is fair between client accounts."""

import asyncio
from collections.abc import Callable

import msgspec

from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.queue_ticket import QueueTicket, TurnResult
from cicadatray.internal.entry.service_admission import ServiceAdmission

NO_ENDPOINT_CODE = "no_endpoint"
QUEUE_FULL_CODE = "queue_full"
OVERLOADED_CODE = "overloaded"
EXPIRED_CODE = "deadline_exceeded"
NO_ENDPOINT_RETRY_AFTER_S = 1.0


class AdmissionRefusal(msgspec.Struct, frozen=True):
    """The request got no turn. `retry_after_s` comes from the measured service rate."""

    code: str
    detail: str
    retry_after_s: float


class Admission:
    """All services of an entry; `queue_limit` bounds their waiting requests together."""

    __slots__ = ("directory", "on_wait", "queue_limit", "services")

    def __init__(
        self,
        directory: DirectoryCache,
        queue_limit: int,
        on_wait: Callable[[str, float], None] | None = None,
    ) -> None:
        self.directory = directory
        self.queue_limit = queue_limit
        self.on_wait = on_wait
        self.services: dict[str, ServiceAdmission] = {}

    async def enter(self, request: CallerRequest, again: bool = False) -> AdmissionRefusal | None:
        """Waits for a turn; a caller that got one (None) calls `leave` when it is over.

        `again` puts a request that had a turn before, but found no free slot, at the head.
        """
        if not self.directory.knows_service(request.service):
            self._forget_idle_services()
            detail = "no endpoint of this service is known"
            return AdmissionRefusal(NO_ENDPOINT_CODE, detail, NO_ENDPOINT_RETRY_AFTER_S)
        service = self.service(request.service)
        if service.has_free_turn():
            service.in_use += 1
            self._record_wait(request, 0.0)
            return None
        refusal = self._refusal_on_arrival(service, request)
        if refusal is not None:
            return refusal
        return await self._wait(service, request, again)

    def leave(self, request: CallerRequest, held_s: float) -> None:
        """Gives a turn back."""
        self.service(request.service).leave(held_s)

    def service(self, name: str) -> ServiceAdmission:
        """Returns the admission of one service."""
        if name not in self.services:
            self.services[name] = ServiceAdmission(name, self.directory)
        return self.services[name]

    def waiting(self) -> int:
        """Returns the number of waiting requests."""
        return sum(service.queue.length for service in self.services.values())

    def _refusal_on_arrival(
        self, service: ServiceAdmission, request: CallerRequest
    ) -> AdmissionRefusal | None:
        account = request.client_account
        needed_s = service.estimated_wait_s(account) + service.run_time_s()
        if needed_s > request.remaining_s():
            detail = "the queue is longer than the deadline"
            return AdmissionRefusal(OVERLOADED_CODE, detail, service.retry_after_s(account))
        if self.waiting() >= self.queue_limit and not self._displace_for(service, account):
            detail = f"{self.queue_limit} requests wait already"
            return AdmissionRefusal(QUEUE_FULL_CODE, detail, service.retry_after_s(account))
        return None

    async def _wait(
        self, service: ServiceAdmission, request: CallerRequest, again: bool
    ) -> AdmissionRefusal | None:
        loop = asyncio.get_running_loop()
        entered_s = loop.time()
        account = request.client_account
        ticket = QueueTicket(account, self.directory.weight_of(account), request.deadline_s)
        service.queue.push(ticket, first=again)
        service.dispatch()
        try:
            await request.wait_for(ticket.turn)
        except asyncio.CancelledError:
            self._withdraw(service, ticket)
            raise
        self._record_wait(request, loop.time() - entered_s)
        if not ticket.turn.done():
            service.queue.remove(ticket)
            detail = "not started before the deadline"
            return AdmissionRefusal(EXPIRED_CODE, detail, service.retry_after_s(account))
        if ticket.turn.result() is TurnResult.DISPLACED:
            detail = "the queue is full and this account has the most requests in it"
            return AdmissionRefusal(QUEUE_FULL_CODE, detail, service.retry_after_s(account))
        if ticket.turn.result() is TurnResult.TOO_LATE:
            detail = "the turn came too late for the deadline"
            return AdmissionRefusal(OVERLOADED_CODE, detail, service.retry_after_s(account))
        return None

    def _withdraw(self, service: ServiceAdmission, ticket: QueueTicket) -> None:
        if not ticket.turn.done():
            service.queue.remove(ticket)
        elif ticket.turn.result() is TurnResult.GRANTED:
            service.in_use -= 1
            service.dispatch()

    def _displace_for(self, service: ServiceAdmission, client_account: str) -> bool:
        """Makes room for an account whose line stays shorter than the longest one."""
        weight = self.directory.weight_of(client_account)
        own_length = service.queue.relative_length_with(client_account, weight)
        fullest, fullest_length = service, 0.0
        for candidate in self.services.values():
            line = candidate.queue.longest_line()
            if line is not None and line.relative_length() > fullest_length:
                fullest, fullest_length = candidate, line.relative_length()
        if own_length >= fullest_length:
            return False
        return fullest.displace() is not None

    def _record_wait(self, request: CallerRequest, wait_s: float) -> None:
        if self.on_wait is not None:
            self.on_wait(request.client_account, wait_s)

    def _forget_idle_services(self) -> None:
        for name, service in list(self.services.items()):
            idle = service.in_use == 0 and service.queue.length == 0
            if idle and not self.directory.knows_service(name):
                del self.services[name]
