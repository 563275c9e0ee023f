"""Small values for the tests of the measurement harness."""

from cicadatray.internal.bench.measurement.deployment import Deployment
from cicadatray.internal.bench.measurement.job_plan import JobPlan
from cicadatray.internal.bench.measurement.workload import Workload
from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.placement import Placement, WorkerShare
from cicadatray.scheduling.rules import Guarantee
from cicadatray.scheduling.shape import Scope, Shape

RACK_16 = Shape(16, Scope.RACK)


def make_inventory(racks: dict[str, int]) -> Inventory:
    """Returns workers of 8 accelerators; `racks` gives their number per rack of one site."""
    workers = [
        WorkerRecord(f"{rack}{index}", "site", rack, 8, 64, 128, "member")
        for rack, count in racks.items()
        for index in range(count)
    ]
    return Inventory(tuple(workers))


def make_deployment(racks: dict[str, int], guarantees: tuple[Guarantee, ...] = ()) -> Deployment:
    """Returns a deployment of one site whose large job is 16 accelerators of a rack."""
    return Deployment(
        "test", make_inventory(racks), RACK_16, guarantees, {"owner": 1.0, "other": 1.0}, "compact"
    )


def make_plan(
    job_id: str,
    shape: Shape,
    run_s: float = 100.0,
    submitted_s: float = 0.0,
    urgent: bool = False,
    fails_everywhere: bool = False,
    cancel_s: float | None = None,
) -> JobPlan:
    """Returns the plan of a checkpointable job with the slowest checkpoint."""
    account = "owner" if urgent else "other"
    request = JobRequest(job_id, account, shape, run_s, True, urgent, submitted_s)
    return JobPlan(request, run_s, 1.5, fails_everywhere, cancel_s=cancel_s)


def make_workload(*plans: JobPlan, horizon_s: float = 1000.0) -> Workload:
    """Returns a workload without faults of workers."""
    return Workload(horizon_s, plans, (), ())


def make_placement(**shares: int) -> Placement:
    """Returns a placement from accelerators by worker."""
    return Placement(tuple(WorkerShare(worker, count) for worker, count in shares.items()))
