"""A policy that checks what its rules promise in each round."""

from collections.abc import Sequence
from typing import Any

from cicadatray.internal.bench.graph_experiment.experiment_policy import Running, Workers
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.rules.displacement_history import PROTECTED_S
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import SchedulingRules
from cicadatray.scheduling.taskgraphs.task_id import TaskId
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


class CheckedPolicy:
    """Plans with rules and checks displacements that no guarantee justifies.

    The rules lose their memory at `leader_change_s`, as under a new leader. `displaced_tasks` has
    the number of stops of each task, `passed_over` the jobs reported as passed over,
    `first_start_s` the first start of each job.
    """

    def __init__(self, rules: SchedulingRules, leader_change_s: float = float("inf")) -> None:
        self.rules = rules
        self.memory = RuleMemory()
        self.leader_change_s = leader_change_s
        self.displacing: set[str] = set()
        self.displaced_tasks: dict[TaskId, int] = {}
        self.displaced_by_leader: set[TaskId] = set()
        self.spent: dict[str, float] = {}
        self.passed_over: list[str] = []
        self.first_start_s: dict[str, float] = {}

    def __call__(self, workers: Workers, running: Running, now_s: float) -> Any:
        if now_s >= self.leader_change_s:
            self.leader_change_s = float("inf")
            self.memory = RuleMemory()
            self.displacing.clear()
            self.displaced_by_leader.clear()
            self.spent.clear()
        self.round = PlacementRound(workers, running, now_s, rules=self.rules, memory=self.memory)
        return self

    def run(self, waiting: Sequence[WaitingWork]) -> PlacementPlan:
        guaranteed = {work.graph.graph.graph_id for work in waiting if work.is_guaranteed}
        plan = self.round.run(waiting)
        for displacement in plan.displacements:
            if not displacement.victims:
                continue
            graph_id = plan.displaced[displacement.victims[0].runs[0]]
            self.spent[graph_id] = self.spent.get(graph_id, 0.0) + displacement.cost
            is_checked = self.rules.victims == "worthwhile" and graph_id not in guaranteed
            if is_checked:
                assert self.spent[graph_id] <= displacement.value
            for victim in displacement.victims:
                if is_checked and victim.elapsed_s < PROTECTED_S:
                    assert victim.graph_id not in self.displacing
                    assert not {run.task for run in victim.runs} & self.displaced_by_leader
                for run in victim.runs:
                    self.displaced_tasks[run.task] = self.displaced_tasks.get(run.task, 0) + 1
                    self.displaced_by_leader.add(run.task)
            self.displacing.add(graph_id)
        for assignment in plan.assignments:
            self.first_start_s.setdefault(assignment.run.task.graph_id, self.round.now_s)
        self.passed_over += [job.graph_id for job in plan.passed_over]
        return plan
