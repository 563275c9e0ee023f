"""Helpers that build inventories, rules and jobs from short texts."""

from cicadatray.scheduling.decision import PlaceJob
from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.rules import Guarantee, Rules
from cicadatray.scheduling.scheduler import Scheduler
from cicadatray.scheduling.shape import Scope, Shape

SCOPES = {"w": Scope.WORKER, "r": Scope.RACK, "d": Scope.DATA_CENTRE}


def shape(text: str) -> Shape:
    """Parses a shape; "16r" means 16 accelerators in one rack."""
    return Shape(int(text[:-1]), SCOPES[text[-1]])


def inventory(*racks: tuple[int, ...]) -> Inventory:
    """Returns one data centre; each argument lists the accelerators of the workers in a rack."""
    return data_centres(racks)


def data_centres(*layouts: tuple[tuple[int, ...], ...]) -> Inventory:
    """Returns data centres d0, d1, ... with racks r0, r1, ... and workers such as d0r1w2."""
    workers = [
        WorkerRecord(f"d{d}r{r}w{w}", f"d{d}", f"r{r}", size, 8 * size, 64, "member")
        for d, racks in enumerate(layouts)
        for r, sizes in enumerate(racks)
        for w, size in enumerate(sizes)
    ]
    return Inventory(tuple(workers))


def rules(*guarantees: tuple[str, str, int], policy: str = "compact", large: str = "16r") -> Rules:
    """Returns rules with guarantees given as (account, shape, count)."""
    made = tuple(Guarantee(account, shape(text), count) for account, text, count in guarantees)
    return Rules(policy, shape(large), made)


def job(job_id: str, text: str, account: str = "a", **fields: object) -> JobRequest:
    """Returns a checkpointable ordinary job; `fields` override its other fields."""
    values: dict[str, object] = {"checkpointable": True, "urgent": False, "submitted_s": 0.0}
    values.update(fields)
    return JobRequest(job_id, account, shape(text), 3600.0, **values)  # type: ignore[arg-type]


def place_all(scheduler: Scheduler, now_s: float = 0.0) -> dict[str, PlaceJob]:
    """Decides once, reports every placed gang as started and returns the placements."""
    placed = {d.job_id: d for d in scheduler.decide(now_s) if isinstance(d, PlaceJob)}
    for job_id in placed:
        scheduler.gang_started(job_id, now_s)
    return placed
