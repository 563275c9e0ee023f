"""One round of placing ordinary jobs on idle capacity."""

from collections.abc import Callable
from heapq import heappop, heappush

from cicadatray.scheduling.job import Job
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.placement_search import PlacementSearch
from cicadatray.scheduling.reservation_manager import ReservationManager
from cicadatray.scheduling.shape import Shape
from cicadatray.scheduling.share_ledger import ShareLedger
from cicadatray.scheduling.waiting_queue import WaitingQueue

Rank = Callable[[Job, float], float]


class OrdinaryRound:
    """Places jobs in the order of the policy's rank, to which it adds the delay of their account.

    A shape that does not fit is not tried again in the round, so that a full fleet costs one search
    per shape and not one per waiting job. `delayed` contains the jobs that must not be retried yet.
    """

    __slots__ = (
        "delayed",
        "ledger",
        "now_s",
        "queue",
        "rank",
        "reservations",
        "search",
        "unplaceable",
    )

    def __init__(
        self,
        queue: WaitingQueue,
        ledger: ShareLedger,
        search: PlacementSearch,
        reservations: ReservationManager,
        rank: Rank,
        now_s: float,
    ) -> None:
        self.queue = queue
        self.ledger = ledger
        self.search = search
        self.reservations = reservations
        self.rank = rank
        self.now_s = now_s
        self.unplaceable: set[Shape] = set()
        self.delayed: set[int] = set()

    def run(self, place: Callable[[Job, Placement], None]) -> None:
        """Places jobs until no waiting job fits."""
        delays = self.ledger.delays(self.queue, self.now_s)
        order: list[tuple[float, int, str]] = []
        for account in self.queue.accounts:
            self._push_next(account, delays, order)
        while order:
            _, sequence, account = heappop(order)
            job = self.queue.jobs[sequence]
            if job.request.shape not in self.unplaceable:
                placement = self.find(job)
                if placement is not None:
                    place(job, placement)
            self._push_next(account, delays, order)

    def _push_next(
        self, account: str, delays: dict[str, float], order: list[tuple[float, int, str]]
    ) -> None:
        job = self._next_job(account)
        if job is not None:
            rank = self.rank(job, self.now_s) + delays[account]
            heappush(order, (rank, job.sequence, account))

    def find(self, job: Job) -> Placement | None:
        """Returns a placement, where possible without the workers on which the job failed."""
        avoided = job.failed_workers
        placement = self.search.find(job.request.shape, avoided)
        if placement is None and avoided:
            placement = self.search.find(job.request.shape, set())
        if placement is None:
            placement = self.reservations.backfill(job)
        if placement is None:
            self.unplaceable.add(job.request.shape)
        return placement

    def _next_job(self, account: str) -> Job | None:
        while True:
            heads = self.queue.head_jobs(account, self.delayed, self.unplaceable)
            due = [job for job in heads if job.retry_not_before_s <= self.now_s]
            if due or not heads:
                return min(due, key=lambda job: self.rank(job, self.now_s), default=None)
            self.delayed.update(job.sequence for job in heads)
