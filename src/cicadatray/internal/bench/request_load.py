"""The request load of a quickstart or fault run, and the checks of its answers."""

import asyncio

import msgspec

from cicadatray.internal.bench.deployment.caller import LOST, Caller, CallerAnswer
from cicadatray.internal.bench.deployment.journal_check import EndpointFindings
from cicadatray.internal.bench.tally import Tally
from cicadatray.internal.standins.endpoint import EndpointWork

DEADLINE_MS = 10_000
PROBE_WORK_S = 0.02
NON_IDEMPOTENT_PERIOD = 2
LARGE_ANSWER_PERIOD = 7
LARGE_ANSWER_BYTES = 20_000


class SentRequest(msgspec.Struct, frozen=True):
    """One request and its final answer."""

    subject: str
    non_idempotent: bool
    answer: CallerAnswer


class RequestLoad:
    """Sends requests of one caller with a limit on their concurrency."""

    __slots__ = ("caller", "concurrency_limit", "prefix", "sent", "service")

    def __init__(self, caller: Caller, service: str, prefix: str, concurrency: int) -> None:
        self.caller = caller
        self.service = service
        self.prefix = prefix
        self.concurrency_limit = asyncio.Semaphore(concurrency)
        self.sent: list[SentRequest] = []

    async def run(self, count: int, work_s: float) -> None:
        """Sends `count` requests, every second one non-idempotent."""
        await asyncio.gather(*(self._send(number, work_s) for number in range(count)))

    async def send_probe(self, number: int) -> bool:
        """Sends one non-idempotent request and returns whether it completed."""
        position = number * NON_IDEMPOTENT_PERIOD
        await self._send(position, PROBE_WORK_S)
        return self.sent[-1].answer.outcome == "completed"

    async def _send(self, number: int, work_s: float) -> None:
        subject = f"{self.prefix}-{number}"
        non_idempotent = number % NON_IDEMPOTENT_PERIOD == 0
        size = LARGE_ANSWER_BYTES if number % LARGE_ANSWER_PERIOD == 0 else 32
        work = EndpointWork(subject, work_s, answer_bytes=size)
        headers = {
            "Idempotency-Key": subject,
            "Content-Type": "application/json",
            "Request-Deadline-Ms": str(DEADLINE_MS),
            "Request-Non-Idempotent": "true" if non_idempotent else "false",
        }
        path = f"/v1/services/{self.service}/requests"
        async with self.concurrency_limit:
            answer = await self.caller.send("POST", path, msgspec.json.encode(work), headers)
        self.sent.append(SentRequest(subject, non_idempotent, answer))


def count_requests(sent: list[SentRequest], findings: EndpointFindings) -> Tally:
    """Counts outcomes; a non-idempotent request that was executed more than once is duplicated."""
    tally = Tally(submitted=len(sent))
    for request in sent:
        outcome = request.answer.outcome
        tally.completed += outcome == "completed"
        tally.not_run += outcome == "not_run"
        tally.unknown += outcome == "outcome_unknown"
        tally.lost += outcome in (LOST, "error")
        executions = findings.executions.get(request.subject, 0)
        tally.duplicated += request.non_idempotent and executions > 1
    return tally


def count_false_not_run(sent: list[SentRequest], findings: EndpointFindings) -> int:
    """Counts requests that were reported as not run and were executed."""
    return sum(
        1
        for request in sent
        if request.answer.outcome == "not_run" and findings.executions.get(request.subject, 0) > 0
    )


def count_wrong_answers(sent: list[SentRequest]) -> int:
    """Counts completed requests whose answer belongs to another request or is truncated."""
    wrong = 0
    for request in sent:
        if request.answer.outcome == "completed":
            wrong += not request.answer.body.startswith(request.subject.encode() + b" ")
    return wrong
