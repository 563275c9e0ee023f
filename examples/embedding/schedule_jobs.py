"""Embeds `cicadatray.scheduling`: two accounts share four workers, and one claims its guarantee."""

from cicadatray.scheduling.check_configuration import check_configuration
from cicadatray.scheduling.decision import Decision, PlaceJob, ReclaimJob
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.rules import Guarantee, Rules
from cicadatray.scheduling.scheduler import Scheduler
from cicadatray.scheduling.shape import Scope, Shape

ONE_WORKER = Shape(8, Scope.WORKER)
INVENTORY = Inventory(
    tuple(WorkerRecord(f"w{i}", "north", f"r{i // 2}", 8, 64, 128, "cartago") for i in range(4))
)
RULES = Rules(
    policy="compact",
    large_job=Shape(16, Scope.RACK),
    guarantees=(Guarantee("water", ONE_WORKER, count=2),),
    shares={"water": 2.0, "permits": 1.0},
)


def make_job(job_id: str, client_account: str, urgent: bool, now_s: float) -> JobRequest:
    """Returns a job that fills one worker and can be checkpointed."""
    return JobRequest(
        job_id=job_id,
        client_account=client_account,
        shape=ONE_WORKER,
        declared_run_s=3600.0,
        checkpointable=True,
        urgent=urgent,
        submitted_s=now_s,
    )


def carry_out(scheduler: Scheduler, decision: Decision, now_s: float) -> None:
    """Stands for the embedding program, which starts and stops real gangs."""
    if isinstance(decision, PlaceJob):
        workers = ", ".join(share.worker_id for share in decision.placement.shares)
        print(f"{now_s:5.1f} s  start {decision.job_id} on {workers}")
        scheduler.gang_started(decision.job_id, now_s)
    elif isinstance(decision, ReclaimJob):
        print(f"{now_s:5.1f} s  checkpoint {decision.job_id} for {decision.beneficiary_id}")
        scheduler.gang_released(decision.job_id, now_s, GangOutcome.CHECKPOINTED)


def main() -> None:
    """Fills the fleet with lent jobs, then submits an urgent one."""
    faults = check_configuration(INVENTORY, RULES)
    if faults:
        raise SystemExit("\n".join(f"{f.path}: {f.value}; expected {f.expected}" for f in faults))
    scheduler = Scheduler(INVENTORY, RULES)
    for number in range(4):
        scheduler.submit(make_job(f"lent-{number}", "permits", urgent=False, now_s=0.0), 0.0)
    for decision in scheduler.decide(0.0):
        carry_out(scheduler, decision, 0.0)
    scheduler.submit(make_job("claim", "water", urgent=True, now_s=60.0), 60.0)
    print(f" 60.0 s  claim waits: {scheduler.explain('claim', 60.0).reason}")
    for now_s in (60.0, 62.0):
        for decision in scheduler.decide(now_s):
            carry_out(scheduler, decision, now_s)


if __name__ == "__main__":
    main()
