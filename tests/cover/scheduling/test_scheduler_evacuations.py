"""Tests of evacuated data centres: a state machine and single cases."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from cicadatray.scheduling.decision import Decision, MoveJob, PlaceJob, ReclaimJob
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.scheduler import Scheduler
from scheduler_machine import GUARANTEES, INVENTORIES, SchedulerMachine
from scheduling_helpers import data_centres, job, place_all, rules

POLICIES = ["compact", "swift"]
ALL_POLICIES = [*POLICIES, "first_fit", "best_fit_backfill"]
TWO_CENTRES = data_centres(((8, 8),), ((8, 8),))
D0 = frozenset({"d0"})
# Shrinking a failure of this machine takes many minutes, so the steps are printed as generated.
PHASES = (Phase.explicit, Phase.generate)


class EvacuationMachine(SchedulerMachine):
    """Adds evacuations and returns at any time to the events of the scheduler's machine."""

    @initialize(chosen=st.sampled_from(INVENTORIES), guarantees=st.sampled_from(GUARANTEES))
    def start(self, chosen: Inventory, guarantees: tuple[tuple[str, str, int], ...]) -> None:
        super().start(chosen, guarantees)
        self.evacuated: frozenset[str] = frozenset()

    @rule(data_centres=st.frozensets(st.sampled_from(["d0", "d1", "absent"])))
    def evacuate(self, data_centres: frozenset[str]) -> None:
        self.evacuated = data_centres
        self.scheduler.set_evacuated(data_centres, self.now_s)

    @rule()
    def change_leader(self) -> None:
        super().change_leader()
        self.scheduler.set_evacuated(self.evacuated, self.now_s)

    def apply(self, decision: Decision) -> None:
        if isinstance(decision, ReclaimJob | MoveJob):
            assert not self.is_evacuated(self.held[decision.job_id]), "stopped without any gain"
        super().apply(decision)

    def check_placement(self, request: JobRequest, placement: Placement) -> None:
        assert not self.is_evacuated(placement), "started in an evacuated data centre"
        super().check_placement(request, placement)

    def is_evacuated(self, placement: Placement) -> bool:
        return bool({share.worker_id for share in placement.shares} & self.evacuated_workers())

    def evacuated_workers(self) -> set[str]:
        workers = self.inventory.workers
        return {w.worker_id for w in workers if w.data_centre in self.evacuated}

    def unusable(self) -> set[str]:
        return super().unusable() | self.evacuated_workers()

    def teardown(self) -> None:
        """Checks that every job runs once all data centres have returned as well."""
        if hasattr(self, "scheduler"):
            self.evacuate(frozenset())
        super().teardown()


class CompactMachine(EvacuationMachine):
    """Guards against starts in an evacuated data centre and against guarantees that it breaks."""

    __slots__ = ()
    policy = "compact"


class SwiftMachine(EvacuationMachine):
    """Guards against the same failures under the other production policy."""

    __slots__ = ()
    policy = "swift"


TestCompact = CompactMachine.TestCase
TestCompact.settings = settings(max_examples=100, stateful_step_count=30, phases=PHASES)
TestSwift = SwiftMachine.TestCase
TestSwift.settings = settings(max_examples=100, stateful_step_count=30, phases=PHASES)


@pytest.mark.parametrize("policy", ALL_POLICIES)
def test_nothing_new_is_placed_and_what_runs_goes_on(policy: str) -> None:
    """Guards against starts in an evacuated data centre and against stopping what runs there."""
    scheduler = Scheduler(TWO_CENTRES, rules(policy=policy, large="8w"))
    for number in range(4):
        scheduler.submit(job(f"old-{number}", "4w"), 0.0)
    running = place_all(scheduler)
    scheduler.set_evacuated(D0, 1.0)
    for number in range(8):
        scheduler.submit(job(f"new-{number}", "4w"), 1.0)
    placed = place_all(scheduler, 1.0)
    used = {share.worker_id for d in placed.values() for share in d.placement.shares}
    assert used and all(worker_id.startswith("d1") for worker_id in used)
    assert all(scheduler.state.jobs[job_id].is_active for job_id in running)
    scheduler.set_evacuated(frozenset(), 2.0)
    assert len(running) + len(placed) + len(place_all(scheduler, 2.0)) == 8


@pytest.mark.parametrize("policy", POLICIES)
def test_a_guarantee_that_no_longer_fits_is_reported_until_the_return(policy: str) -> None:
    """Guards against an error, or a guarantee that is promised without capacity."""
    guarantees = (("a", "16r", 1), ("b", "16r", 1))
    scheduler = Scheduler(TWO_CENTRES, rules(*guarantees, policy=policy))
    scheduler.set_evacuated(D0, 0.0)
    assert len(scheduler.guarantees_at_risk()) == 1
    scheduler.set_evacuated(D0 | {"d1"}, 1.0)
    at_risk = {block.client_account for block in scheduler.guarantees_at_risk()}
    assert at_risk == {"a", "b"}
    scheduler.set_evacuated(frozenset(), 2.0)
    assert scheduler.guarantees_at_risk() == []


@pytest.mark.parametrize("policy", POLICIES)
@pytest.mark.parametrize("urgent", [False, True])
def test_a_run_is_inside_its_guarantee_again_after_the_return(policy: str, urgent: bool) -> None:
    """Guards against a guaranteed run that stays a victim of others after the evacuation."""
    scheduler = Scheduler(TWO_CENTRES, rules(("a", "16r", 1), ("b", "16r", 1), policy=policy))
    scheduler.submit(job("x", "16r", urgent=urgent), 0.0)
    centre = place_all(scheduler)["x"].placement.shares[0].worker_id[:2]
    block = scheduler.block_of("x")
    assert block is not None
    scheduler.set_evacuated(frozenset({centre}), 1.0)
    assert scheduler.block_of("x") is None
    scheduler.set_evacuated(frozenset(), 2.0)
    assert scheduler.block_of("x") == block
    assert scheduler.guarantees_at_risk() == []


@pytest.mark.parametrize("policy", POLICIES)
def test_a_reclaim_in_progress_moves_out_of_an_evacuated_data_centre(policy: str) -> None:
    """Guards against an urgent job that starts there once its victims have been stopped."""
    scheduler = Scheduler(TWO_CENTRES, rules(("a", "8w", 1), policy=policy, large="8w"))
    for name in "pqrs":
        scheduler.submit(job(name, "8w", "b"), 0.0)
    placed = place_all(scheduler)
    scheduler.submit(job("u", "8w", "a", urgent=True), 100.0)
    (victim,) = [d.job_id for d in scheduler.decide(100.0) if isinstance(d, ReclaimJob)]
    centre = placed[victim].placement.shares[0].worker_id[:2]
    scheduler.set_evacuated(frozenset({centre}), 100.5)
    scheduler.gang_released(victim, 101.0, GangOutcome.CHECKPOINTED)
    decisions = scheduler.decide(101.0)
    assert not [d for d in decisions if isinstance(d, PlaceJob)]
    (second,) = [d.job_id for d in decisions if isinstance(d, ReclaimJob)]
    scheduler.gang_released(second, 102.0, GangOutcome.CHECKPOINTED)
    (start,) = [d for d in scheduler.decide(102.0) if isinstance(d, PlaceJob)]
    assert start.job_id == "u" and not scheduler.is_evacuated(start.placement.shares[0].worker_id)


@pytest.mark.parametrize("policy", POLICIES)
def test_no_trial_runs_on_a_quarantined_worker_there(policy: str) -> None:
    """Guards against a trial run as the one start that ignores the evacuation."""
    scheduler = Scheduler(data_centres(((8,),), ((8,),)), rules(policy=policy, large="8w"))
    worker_id = "d0r0w0"
    scheduler.worker_lost("d1r0w0", 0.0)
    for account in "ab":
        scheduler.submit(job(account, "8w", account), 0.0)
        place_all(scheduler)
        scheduler.task_failed(account, worker_id, 0.0)
        scheduler.gang_released(account, 0.0, GangOutcome.FAILED)
        scheduler.cancel(account, 0.0)
    scheduler.worker_returned("d1r0w0", 0.0)
    assert scheduler.state.fleet.workers[worker_id].quarantined
    scheduler.set_evacuated(D0, 1.0)
    scheduler.submit(job("small", "1w"), 1000.0)
    scheduler.submit(job("wide", "8w"), 1000.0)
    used = {d.placement.shares[0].worker_id for d in place_all(scheduler, 1000.0).values()}
    assert worker_id not in used
    scheduler.set_evacuated(frozenset(), 1001.0)
    scheduler.submit(job("trial", "1w"), 1001.0)
    assert any(
        d.placement.shares[0].worker_id == worker_id for d in place_all(scheduler, 1001.0).values()
    )


@pytest.mark.parametrize("policy", ALL_POLICIES)
def test_a_worker_that_joins_an_evacuated_data_centre_gets_nothing(policy: str) -> None:
    """Guards against an inventory change that undoes an evacuation, also of an unknown name."""
    scheduler = Scheduler(data_centres(((8,),)), rules(policy=policy, large="8w"))
    scheduler.set_evacuated(frozenset({"d1"}), 0.0)
    scheduler.replace_configuration(data_centres(((8,),), ((8,),)), scheduler.rules, 1.0)
    for name in "xy":
        scheduler.submit(job(name, "8w"), 1.0)
    (placed,) = place_all(scheduler, 1.0).values()
    assert placed.placement.shares[0].worker_id == "d0r0w0"


@pytest.mark.parametrize("policy", ALL_POLICIES)
def test_a_job_that_fits_only_there_waits(policy: str) -> None:
    """Guards against a final refusal of a job that fits again after the return."""
    scheduler = Scheduler(data_centres(((8,),), ((4,),)), rules(policy=policy, large="8w"))
    scheduler.set_evacuated(D0, 0.0)
    assert scheduler.submit(job("x", "8w"), 0.0).accepted
    assert place_all(scheduler) == {}
    scheduler.set_evacuated(frozenset(), 1.0)
    assert list(place_all(scheduler, 1.0)) == ["x"]
