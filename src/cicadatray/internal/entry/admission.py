"""Admission of requests: a bounded queue that is fair between client accounts."""

import asyncio
from collections.abc import Callable

import msgspec

from cicadatray.internal.entry.caller_request import CallerRequest
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.queue_ticket import QueueTicket, TicketOutcome
from cicadatray.internal.entry.service_admission import ServiceAdmission

NO_ENDPOINT_CODE = "no_endpoint"
QUEUE_FULL_CODE = "queue_full"
OVERLOADED_CODE = "overloaded"
EXPIRED_CODE = "deadline_exceeded"
NO_ENDPOINT_RETRY_AFTER_S = 1.0


class AdmissionRefusal(msgspec.Struct, frozen=True):
    """The refusal of a request; `retry_after_s` is derived from the measured service rate."""

    code: str
    detail: str
    retry_after_s: float


class Admission:
    """The admission of all services; `queue_limit` bounds the total number of waiting requests.

    `on_wait` is called with the account and the time in seconds that a request spent in the queue.
    """

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

    async def acquire(
        self, request: CallerRequest, requeued: bool = False
    ) -> AdmissionRefusal | None:
        """Waits for a permit; returns None once it is granted, otherwise the refusal.

        A granted permit must be returned with `release`. `requeued` puts a request that held a
        permit before but found no free slot at the head of its account's queue.
        """
        if not self.directory.has_service(request.service):
            self._remove_idle_services()
            detail = "this service has no registered endpoint"
            return AdmissionRefusal(NO_ENDPOINT_CODE, detail, NO_ENDPOINT_RETRY_AFTER_S)
        service = self.service(request.service)
        if service.has_free_permit():
            service.in_use += 1
            self._record_wait(request, 0.0)
            return None
        refusal = self._check_arrival(service, request)
        if refusal is not None:
            return refusal
        return await self._wait_in_queue(service, request, requeued)

    def release(self, request: CallerRequest, held_s: float) -> None:
        """Returns the permit of a request, held for `held_s` seconds."""
        self.service(request.service).release(held_s)

    def service(self, name: str) -> ServiceAdmission:
        """Returns the admission of one service, creating it on first use."""
        if name not in self.services:
            self.services[name] = ServiceAdmission(name, self.directory)
        return self.services[name]

    def waiting_count(self) -> int:
        """Returns the number of waiting requests of all services."""
        return sum(service.queue.length for service in self.services.values())

    def _check_arrival(
        self, service: ServiceAdmission, request: CallerRequest
    ) -> AdmissionRefusal | None:
        account = request.client_account
        needed_s = service.estimated_wait_s(account) + service.expected_run_s()
        if needed_s > request.remaining_s():
            detail = "the estimated queueing time exceeds the deadline"
            return AdmissionRefusal(OVERLOADED_CODE, detail, service.retry_after_s(account))
        if self.waiting_count() >= self.queue_limit and not self._displace_for(service, account):
            detail = f"the queue is full: {self.queue_limit} requests are waiting"
            return AdmissionRefusal(QUEUE_FULL_CODE, detail, service.retry_after_s(account))
        return None

    async def _wait_in_queue(
        self, service: ServiceAdmission, request: CallerRequest, requeued: bool
    ) -> AdmissionRefusal | None:
        loop = asyncio.get_running_loop()
        queued_at_s = loop.time()
        account = request.client_account
        ticket = QueueTicket(account, self.directory.weight_of(account), request.deadline_s)
        service.queue.push(ticket, at_head=requeued)
        service.dispatch()
        try:
            await request.wait_for(ticket.outcome)
        except asyncio.CancelledError:
            self._withdraw(service, ticket)
            raise
        self._record_wait(request, loop.time() - queued_at_s)
        if not ticket.outcome.done():
            service.queue.remove(ticket)
            detail = "not started before the deadline"
            return AdmissionRefusal(EXPIRED_CODE, detail, service.retry_after_s(account))
        if ticket.outcome.result() is TicketOutcome.DISPLACED:
            detail = "the queue is full and this account has the most waiting requests"
            return AdmissionRefusal(QUEUE_FULL_CODE, detail, service.retry_after_s(account))
        if ticket.outcome.result() is TicketOutcome.TOO_LATE:
            detail = "the request left the queue too late to complete before the deadline"
            return AdmissionRefusal(OVERLOADED_CODE, detail, service.retry_after_s(account))
        return None

    def _withdraw(self, service: ServiceAdmission, ticket: QueueTicket) -> None:
        if not ticket.outcome.done():
            service.queue.remove(ticket)
        elif ticket.outcome.result() is TicketOutcome.GRANTED:
            service.in_use -= 1
            service.dispatch()

    def _displace_for(self, service: ServiceAdmission, client_account: str) -> bool:
        """Displaces a request if the account's queue stays shorter than the longest one.

        Returns whether a request was displaced.
        """
        weight = self.directory.weight_of(client_account)
        own_length = service.queue.normalized_length_after_push(client_account, weight)
        most_loaded, max_length = service, 0.0
        for candidate in self.services.values():
            queue = candidate.queue.longest_account_queue()
            if queue is not None and queue.normalized_length() > max_length:
                most_loaded, max_length = candidate, queue.normalized_length()
        if own_length >= max_length:
            return False
        return most_loaded.displace() is not None

    def _record_wait(self, request: CallerRequest, wait_s: float) -> None:
        if self.on_wait is not None:
            self.on_wait(request.client_account, wait_s)

    def _remove_idle_services(self) -> None:
        for name, service in list(self.services.items()):
            idle = service.in_use == 0 and service.queue.length == 0
            if idle and not self.directory.has_service(name):
                del self.services[name]
