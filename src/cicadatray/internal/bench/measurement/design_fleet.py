"""A fleet of design size, or scaled down, with running gangs."""

import random

import msgspec

from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.placement import Placement, WorkerShare
from cicadatray.scheduling.rules import Guarantee, Rules
from cicadatray.scheduling.scheduler import Scheduler
from cicadatray.scheduling.shape import Scope, Shape

DESIGN_WORKERS = 6100
DESIGN_ACCOUNTS = 410
DATA_CENTRES = 7
WORKERS_PER_RACK = 20
# Of 61 workers 10 have 8 accelerators, 20 have 2 and 31 have none: 12,000 on 6,100 workers. The
# design's 52,000 tasks include CPU tasks, which run on the workers without accelerators and need no
# placement here.
WORKER_SIZES = (8,) * 10 + (2,) * 20 + (0,) * 31
SIZE_STRIDE = 7  # coprime to 61, so that the sizes are mixed in every rack
SHAPES = (
    (40, Shape(1, Scope.WORKER)),
    (30, Shape(2, Scope.WORKER)),
    (15, Shape(4, Scope.WORKER)),
    (10, Shape(8, Scope.WORKER)),
    (4, Shape(16, Scope.RACK)),
    (0.7, Shape(32, Scope.DATA_CENTRE)),
    (0.3, Shape(128, Scope.DATA_CENTRE)),
)
GUARANTEES_PER_100_ACCOUNTS = (
    (28, Shape(8, Scope.WORKER)),
    (14, Shape(16, Scope.RACK)),
    (5, Shape(64, Scope.DATA_CENTRE)),
)
FILLED_SHARE = 0.95


class DesignFleet:
    """An inventory with rules, a scheduler filled by `restore_running`, and a source of jobs."""

    __slots__ = (
        "accounts",
        "guarantees",
        "idle",
        "inventory",
        "random",
        "running",
        "scheduler",
        "submitted",
    )

    def __init__(self, workers: int, policy: str) -> None:
        self.random = random.Random(f"design/{workers}")
        self.accounts = max(4, DESIGN_ACCOUNTS * workers // DESIGN_WORKERS)
        self.inventory = _inventory(workers)
        self.idle = {w.worker_id: w.accelerators for w in self.inventory.workers}
        self.running: list[JobRequest] = []
        self.submitted = 0
        self.guarantees = self._guarantees()
        rules = Rules(policy, Shape(16, Scope.RACK), self.guarantees)
        self.scheduler = Scheduler(self.inventory, rules)

    @property
    def capacity(self) -> int:
        """The number of accelerators in the inventory."""
        return sum(worker.accelerators for worker in self.inventory.workers)

    def fill(self) -> None:
        """Restores running gangs until nearly all accelerators are in use."""
        order = list(self.inventory.workers)
        target = FILLED_SHARE * self.capacity
        used = 0
        cursor = 0
        while used < target:
            request = self.next_request(now_s=0.0)
            cursor, placement = self._first_fit(order, cursor, request.shape)
            if placement is None:
                request = self.next_request(now_s=0.0, shape=Shape(1, Scope.WORKER))
                cursor, placement = self._first_fit(order, cursor, request.shape)
            if placement is None:
                return
            self.scheduler.restore_running(request, placement, 0.0)
            self.running.append(request)
            used += request.shape.accelerators

    def next_request(self, now_s: float, shape: Shape | None = None) -> JobRequest:
        """Draws a job from the mix of shapes, or one of the given shape."""
        weights = [weight for weight, _ in SHAPES]
        drawn = self.random.choices([shape for _, shape in SHAPES], weights)[0]
        self.submitted += 1
        return JobRequest(
            job_id=f"job-{self.submitted:06d}",
            client_account=f"account-{self.random.randrange(self.accounts)}",
            shape=shape or drawn,
            declared_run_s=self.random.uniform(600, 14400),
            checkpointable=self.random.random() < 0.8,
            urgent=False,
            submitted_s=now_s,
        )

    def urgent_request(self, guarantee: Guarantee, now_s: float) -> JobRequest:
        """Returns a job that claims the guarantee."""
        request = self.next_request(now_s, guarantee.shape)
        return msgspec.structs.replace(
            request, client_account=guarantee.client_account, urgent=True
        )

    def _guarantees(self) -> tuple[Guarantee, ...]:
        guarantees: list[Guarantee] = []
        for per_100, shape in GUARANTEES_PER_100_ACCOUNTS:
            for _ in range(per_100 * self.accounts // 100):
                guarantees.append(Guarantee(f"account-{len(guarantees)}", shape))
        return tuple(guarantees)

    def _first_fit(
        self, order: list[WorkerRecord], cursor: int, shape: Shape
    ) -> tuple[int, Placement | None]:
        """Finds a first fit from the cursor, wrapping around once; a gang stays inside one unit."""
        depth = {Scope.DATA_CENTRE: 1, Scope.RACK: 2, Scope.WORKER: 3}[shape.scope]
        unit: tuple[str, ...] = ()
        shares: list[WorkerShare] = []
        for step in range(len(order)):
            worker = order[(cursor + step) % len(order)]
            key = (worker.data_centre, worker.rack, worker.worker_id)[:depth]
            if key != unit:
                unit, shares = key, []
            missing = shape.accelerators - sum(share.accelerators for share in shares)
            taken = min(missing, self.idle[worker.worker_id])
            if taken:
                shares.append(WorkerShare(worker.worker_id, taken))
            if taken == missing:
                for share in shares:
                    self.idle[share.worker_id] -= share.accelerators
                return (cursor + step) % len(order), Placement(tuple(shares))
        return cursor, None


def _inventory(workers: int) -> Inventory:
    records = []
    for index in range(workers):
        data_centre = index * DATA_CENTRES // workers
        records.append(
            WorkerRecord(
                worker_id=f"worker-{index:04d}",
                data_centre=f"dc-{data_centre}",
                rack=f"rack-{index // WORKERS_PER_RACK}",
                accelerators=WORKER_SIZES[index * SIZE_STRIDE % len(WORKER_SIZES)],
                cores=64,
                memory_gb=128,
                member=f"member-{data_centre}",
            )
        )
    return Inventory(tuple(records))
