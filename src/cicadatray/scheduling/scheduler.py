"""The scheduler: which job runs where and when."""

from cicadatray.scheduling.admission import Admission
from cicadatray.scheduling.decision import Decision, PlaceJob
from cicadatray.scheduling.explanation import Explanation
from cicadatray.scheduling.gang_outcome import REQUEUED_OUTCOMES, GangOutcome
from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.placement import Placement, WorkerShare
from cicadatray.scheduling.rules import Rules
from cicadatray.scheduling.shape import Scope, Shape


class Scheduler:
    """Arrival order with first fit; the interface of the full scheduler."""

    __slots__ = ("inventory", "lost_workers", "placements", "rules", "waiting")

    def __init__(self, inventory: Inventory, rules: Rules) -> None:
        self.inventory = inventory
        self.rules = rules
        self.waiting: dict[str, JobRequest] = {}
        self.placements: dict[str, tuple[JobRequest, Placement]] = {}
        self.lost_workers: set[str] = set()

    def submit(self, request: JobRequest, now_s: float) -> Admission:
        """Queues a job, or refuses one that no inventory unit could ever hold."""
        admission = self.check_admission(request)
        if admission.accepted:
            self.waiting[request.job_id] = request
        return admission

    def check_admission(self, request: JobRequest) -> Admission:
        """Tells whether `submit` would accept the job, and changes nothing."""
        largest = self._largest_unit(request.shape.scope)
        if request.shape.accelerators > largest:
            return Admission(
                accepted=False,
                reason=f"no {request.shape.scope.value} has {request.shape.accelerators}",
                largest_shape=Shape(largest, request.shape.scope),
            )
        return Admission(accepted=True)

    def cancel(self, job_id: str, now_s: float) -> None:
        """Forgets a waiting job; a running one is released by `gang_released`."""
        self.waiting.pop(job_id, None)

    def decide(self, now_s: float) -> list[Decision]:
        """Returns what to do now; placed jobs hold their capacity from here on."""
        decisions: list[Decision] = []
        for request in list(self.waiting.values()):
            placement = self._first_fit(request.shape)
            if placement is None:
                continue
            del self.waiting[request.job_id]
            self.placements[request.job_id] = (request, placement)
            decisions.append(PlaceJob(request.job_id, placement))
        return decisions

    def gang_started(self, job_id: str, now_s: float) -> None:
        """The gang runs."""

    def gang_released(self, job_id: str, now_s: float, outcome: GangOutcome) -> None:
        """Frees the gang's capacity and requeues the job where the outcome allows it."""
        held = self.placements.pop(job_id, None)
        if held is not None and outcome in REQUEUED_OUTCOMES:
            self.waiting[job_id] = held[0]

    def worker_lost(self, worker_id: str, now_s: float) -> None:
        """Takes a worker out of service."""
        self.lost_workers.add(worker_id)

    def worker_returned(self, worker_id: str, now_s: float) -> None:
        """Puts a worker back into service."""
        self.lost_workers.discard(worker_id)

    def task_failed(self, job_id: str, worker_id: str, now_s: float) -> None:
        """A task of the job failed on this worker."""

    def usage_reported(self, job_id: str, run_s: float, now_s: float) -> None:
        """The gang has run for this long, as reported with a lag."""

    def replace_configuration(self, inventory: Inventory, rules: Rules, now_s: float) -> None:
        """Puts another inventory and other rules into effect."""
        self.inventory = inventory
        self.rules = rules

    def restore_running(self, request: JobRequest, placement: Placement, now_s: float) -> None:
        """Adds a gang that already holds its capacity, after a change of leader."""
        self.placements[request.job_id] = (request, placement)

    def explain(self, job_id: str, now_s: float) -> Explanation:
        """Says why the job waits or runs."""
        if job_id in self.placements:
            return Explanation(job_id, "placed", "runs or starts")
        if job_id in self.waiting:
            return Explanation(job_id, "waiting", "no unit has enough idle accelerators")
        return Explanation(job_id, "unknown", "not queued and not placed")

    def _units(self, scope: Scope) -> dict[tuple[str, ...], list[WorkerRecord]]:
        units: dict[tuple[str, ...], list[WorkerRecord]] = {}
        for worker in self.inventory.workers:
            keys = (worker.data_centre, worker.rack, worker.worker_id)
            depth = {Scope.DATA_CENTRE: 1, Scope.RACK: 2, Scope.WORKER: 3}[scope]
            units.setdefault(keys[:depth], []).append(worker)
        return units

    def _largest_unit(self, scope: Scope) -> int:
        sizes = [sum(w.accelerators for w in unit) for unit in self._units(scope).values()]
        return max(sizes, default=0)

    def _idle(self) -> dict[str, int]:
        idle = {w.worker_id: w.accelerators for w in self.inventory.workers}
        for _, placement in self.placements.values():
            for share in placement.shares:
                idle[share.worker_id] = idle.get(share.worker_id, 0) - share.accelerators
        for worker_id in self.lost_workers:
            idle[worker_id] = 0
        return idle

    def _first_fit(self, shape: Shape) -> Placement | None:
        idle = self._idle()
        for unit in self._units(shape.scope).values():
            if sum(idle[w.worker_id] for w in unit) >= shape.accelerators:
                return self._take(unit, idle, shape.accelerators)
        return None

    def _take(self, unit: list[WorkerRecord], idle: dict[str, int], needed: int) -> Placement:
        shares = []
        for worker in unit:
            taken = min(needed, idle[worker.worker_id])
            if taken > 0:
                shares.append(WorkerShare(worker.worker_id, taken))
                needed -= taken
        return Placement(tuple(shares))
