"""A Hypothesis state machine that drives the scheduler as a control leader does."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from cicadatray.scheduling.check_configuration import check_configuration
from cicadatray.scheduling.decision import Decision, FailJob, MoveJob, PlaceJob, ReclaimJob
from cicadatray.scheduling.gang_outcome import REQUEUED_OUTCOMES, GangOutcome
from cicadatray.scheduling.guarantee_block import GuaranteeBlock
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.rules import Guarantee, Rules
from cicadatray.scheduling.scheduler import Scheduler
from cicadatray.scheduling.shape import Scope
from guarantee_oracle import can_place_all, spans_one_unit
from scheduling_helpers import data_centres, job, rules

INVENTORIES = [
    data_centres(((4, 4, 4), (4, 2)), ((4, 4),)),
    data_centres(((4, 4, 4), (4, 2, 4)), ((4,),)),
    data_centres(((3, 4, 2), (5,), (1, 2))),
]
GUARANTEES: list[tuple[tuple[str, str, int], ...]] = [
    (("a", "8r", 1), ("b", "4w", 1)),
    (("a", "4w", 2), ("b", "4r", 1), ("c", "4d", 1)),
    (("a", "2w", 3), ("b", "8d", 1)),
    (("a", "3r", 2), ("c", "5r", 1), ("b", "2w", 1)),
    (),
]
SHAPES = ["1w", "2w", "4w", "3r", "6r", "8r", "8d", "10d", "1d"]
SCOPE_WIDTH = {Scope.WORKER: 0, Scope.RACK: 1, Scope.DATA_CENTRE: 2}
DRAIN_ROUNDS = 400


class SchedulerMachine(RuleBasedStateMachine):
    """Generates submissions, ends, losses, failures and configuration changes in any order."""

    policy = "compact"

    @initialize(chosen=st.sampled_from(INVENTORIES), guarantees=st.sampled_from(GUARANTEES))
    def start(self, chosen: Inventory, guarantees: tuple[tuple[str, str, int], ...]) -> None:
        self.now_s = 0.0
        self.counter = 0
        self.inventory = chosen
        self.rules = rules(*guarantees, policy=self.policy, large="4r")
        if check_configuration(self.inventory, self.rules):
            self.rules = rules(policy=self.policy, large="4r")
        self.scheduler = Scheduler(self.inventory, self.rules)
        self.requests: dict[str, JobRequest] = {}
        self.held: dict[str, Placement] = {}
        self.stopping: set[str] = set()
        self.lost: set[str] = set()
        self.failures: dict[str, int] = {}
        self.retry_s: dict[str, float] = {}

    @rule(
        text=st.sampled_from(SHAPES),
        account=st.sampled_from("abc"),
        urgent=st.booleans(),
        checkpointable=st.booleans(),
    )
    def submit(self, text: str, account: str, urgent: bool, checkpointable: bool) -> None:
        self.counter += 1
        request = job(
            f"j{self.counter}",
            text,
            account,
            urgent=urgent,
            checkpointable=checkpointable,
            submitted_s=self.now_s,
        )
        if self.scheduler.submit(request, self.now_s).accepted:
            self.requests[request.job_id] = request

    @rule(step_s=st.sampled_from([0.0, 1.0, 90.0, 4000.0]))
    def decide(self, step_s: float) -> None:
        self.now_s += step_s
        for decision in self.scheduler.decide(self.now_s):
            self.apply(decision)
        self.check_urgent()

    def apply(self, decision: Decision) -> None:
        job_id = decision.job_id
        if isinstance(decision, PlaceJob):
            assert job_id in self.requests and job_id not in self.held
            self.check_placement(self.requests[job_id], decision.placement)
            self.held[job_id] = decision.placement
        elif isinstance(decision, ReclaimJob):
            assert job_id in self.held and job_id not in self.stopping
            assert self.scheduler.block_of(job_id) is None, "victim is inside its own guarantee"
            self.stopping.add(job_id)
        elif isinstance(decision, MoveJob):
            assert job_id in self.held and self.requests[job_id].checkpointable
            self.stopping.add(job_id)
        elif isinstance(decision, FailJob):
            assert decision.reason and job_id not in self.held
            del self.requests[job_id]

    def check_placement(self, request: JobRequest, placement: Placement) -> None:
        shares = placement.shares
        assert sum(s.accelerators for s in shares) == request.shape.accelerators, "partial gang"
        assert len({s.worker_id for s in shares}) == len(shares)
        assert spans_one_unit(self.inventory, placement, request.shape.scope)
        assert not self.lost & {share.worker_id for share in shares}
        sizes = {worker.worker_id: worker.accelerators for worker in self.inventory.workers}
        for share in shares:
            others = [s for held in self.held.values() for s in held.shares]
            used = sum(s.accelerators for s in others if s.worker_id == share.worker_id)
            assert share.accelerators > 0
            assert used + share.accelerators <= sizes[share.worker_id], "granted twice"

    def check_urgent(self) -> None:
        """Checks that an urgent job waits only for its retry or while no block has capacity."""
        if any(set(w.worker_id for w in self.held[j].shares) & self.lost for j in self.held):
            return
        at_risk = self.scheduler.guarantees_at_risk()
        occupied: dict[GuaranteeBlock | None, int] = {}
        for job_id, scheduled in self.scheduler.state.jobs.items():
            block = self.scheduler.block_of(job_id)
            occupied[block] = occupied.get(block, 0) + scheduled.request.shape.accelerators
        for job_id, request in self.requests.items():
            state = self.scheduler.explain(job_id, self.now_s).state
            if not request.urgent or job_id in self.held or state != "waiting":
                continue
            if self.retry_s.get(job_id, 0.0) > self.now_s:
                continue
            for block in self.blocks():
                free = block.shape.accelerators - occupied.get(block, 0)
                widths = SCOPE_WIDTH[request.shape.scope], SCOPE_WIDTH[block.shape.scope]
                is_candidate = (
                    block.client_account == request.client_account and block not in at_risk
                )
                assert (
                    not is_candidate or widths[0] < widths[1] or free < request.shape.accelerators
                )

    @precondition(lambda self: self.held)
    @rule(data=st.data(), outcome=st.sampled_from(GangOutcome))
    def release(self, data: st.DataObject, outcome: GangOutcome) -> None:
        self.release_job(data.draw(st.sampled_from(sorted(self.held))), outcome)

    def release_job(self, job_id: str, outcome: GangOutcome) -> None:
        cancelled = job_id not in self.requests
        del self.held[job_id]
        self.stopping.discard(job_id)
        self.scheduler.gang_released(job_id, self.now_s, outcome)
        if not cancelled and outcome not in REQUEUED_OUTCOMES:
            del self.requests[job_id]

    @precondition(lambda self: self.held)
    @rule(data=st.data())
    def start_gang(self, data: st.DataObject) -> None:
        self.scheduler.gang_started(data.draw(st.sampled_from(sorted(self.held))), self.now_s)

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        job_id = data.draw(st.sampled_from(sorted(self.requests)))
        del self.requests[job_id]
        self.scheduler.cancel(job_id, self.now_s)

    @precondition(lambda self: self.held)
    @rule(data=st.data())
    def fail_task(self, data: st.DataObject) -> None:
        job_id = data.draw(st.sampled_from(sorted(self.held)))
        worker_id = data.draw(st.sampled_from(self.held[job_id].shares)).worker_id
        self.scheduler.task_failed(job_id, worker_id, self.now_s)
        del self.held[job_id]
        self.stopping.discard(job_id)
        self.scheduler.gang_released(job_id, self.now_s, GangOutcome.FAILED)
        self.failures[job_id] = self.failures.get(job_id, 0) + 1
        self.retry_s[job_id] = self.now_s + min(300.0, 5.0 * 2 ** (self.failures[job_id] - 1))

    @rule(data=st.data())
    def lose_worker(self, data: st.DataObject) -> None:
        worker_id = data.draw(st.sampled_from(self.inventory.workers)).worker_id
        self.lost.add(worker_id)
        self.scheduler.worker_lost(worker_id, self.now_s)

    @precondition(lambda self: self.lost)
    @rule(data=st.data())
    def return_worker(self, data: st.DataObject) -> None:
        worker_id = data.draw(st.sampled_from(sorted(self.lost)))
        self.lost.discard(worker_id)
        self.scheduler.worker_returned(worker_id, self.now_s)

    @rule(guarantees=st.sampled_from(GUARANTEES), dropped=st.integers(0, 6))
    def reconfigure(self, guarantees: tuple[tuple[str, str, int], ...], dropped: int) -> None:
        workers = self.inventory.workers
        if len(workers) > 4 and dropped < len(workers):
            workers = workers[:dropped] + workers[dropped + 1 :]
        wanted: Rules = rules(*guarantees, policy=self.policy, large="4r")
        if check_configuration(Inventory(workers), wanted):
            return
        removed = {w.worker_id for w in self.inventory.workers} - {w.worker_id for w in workers}
        for job_id, placement in list(self.held.items()):
            if removed & {share.worker_id for share in placement.shares}:
                self.release_job(job_id, GangOutcome.COMPLETED)
        self.inventory = Inventory(workers)
        self.rules = wanted
        self.lost -= removed
        self.scheduler.replace_configuration(self.inventory, wanted, self.now_s)

    @rule()
    def change_leader(self) -> None:
        """Restores a new leader from the log and reports lost workers, which the log lacks."""
        previous = self.scheduler
        self.scheduler = Scheduler(self.inventory, self.rules)
        for job_id, placement in self.held.items():
            request = self.requests.get(job_id, previous.state.jobs[job_id].request)
            self.scheduler.restore_running(request, placement, self.now_s)
            if job_id not in self.requests:
                self.scheduler.cancel(job_id, self.now_s)
        for job_id, request in list(self.requests.items()):
            if job_id not in self.held and not self.scheduler.submit(request, self.now_s).accepted:
                del self.requests[job_id]
        for worker_id in sorted(self.lost):
            self.scheduler.worker_lost(worker_id, self.now_s)
        self.stopping.clear()

    def blocks(self) -> list[GuaranteeBlock]:
        counts: dict[tuple[str, object], int] = {}
        numbered = []
        for guarantee in self.rules.guarantees:
            numbered.extend(self.numbered_blocks(guarantee, counts))
        return numbered

    def numbered_blocks(
        self, guarantee: Guarantee, counts: dict[tuple[str, object], int]
    ) -> list[GuaranteeBlock]:
        first = counts.get((guarantee.client_account, guarantee.shape), 0)
        counts[(guarantee.client_account, guarantee.shape)] = first + guarantee.count
        numbers = range(first + 1, first + guarantee.count + 1)
        return [
            GuaranteeBlock(guarantee.client_account, guarantee.shape, number) for number in numbers
        ]

    def inside(self) -> dict[GuaranteeBlock, list[Placement]]:
        placements: dict[GuaranteeBlock, list[Placement]] = {}
        for job_id, placement in self.held.items():
            block = self.scheduler.block_of(job_id)
            if block is not None:
                assert (
                    block.client_account == self.scheduler.state.jobs[job_id].request.client_account
                )
                placements.setdefault(block, []).append(placement)
        return placements

    @invariant()
    def guarantees_can_be_placed_together(self) -> None:
        if not hasattr(self, "scheduler"):
            return
        at_risk = self.scheduler.guarantees_at_risk()
        unusable = self.unusable()
        safe = [block for block in self.blocks() if block not in at_risk]
        inside = self.inside()
        assert can_place_all(self.inventory, unusable, safe, inside)
        for block in at_risk:
            possible = can_place_all(self.inventory, unusable, [*safe, block], inside)
            assert not possible, f"{block} is reported at risk but could be placed"

    def unusable(self) -> set[str]:
        """Returns the workers on which no guarantee can be placed."""
        return self.lost | self.quarantined()

    def quarantined(self) -> set[str]:
        workers = self.scheduler.state.fleet.workers.values()
        return {worker.key for worker in workers if worker.quarantined}

    def teardown(self) -> None:
        """Checks that every job runs once workers return and running jobs end."""
        if not hasattr(self, "scheduler"):
            return
        for worker_id in sorted(self.lost):
            self.scheduler.worker_returned(worker_id, self.now_s)
        self.lost.clear()
        for _ in range(DRAIN_ROUNDS):
            if not self.requests and not self.held:
                return
            for job_id in sorted(self.held):
                stopped = job_id in self.stopping
                self.release_job(job_id, GangOutcome.STOPPED if stopped else GangOutcome.COMPLETED)
            self.decide(60.0)
        raise AssertionError(f"never placed: {sorted(self.requests)}")
