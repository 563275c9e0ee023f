"""What the leader reports about guarantees."""

import asyncio
from collections.abc import Sequence
from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs.guarantee_log import GuaranteeLog, count_covered
from cicadatray.internal.observability.graph_metrics import guarantees_missed
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.messages.queue_configuration import (
    QueueAccount,
    QueueConfiguration,
)
from cicadatray.scheduling.taskgraphs.assignment import Assignment
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.placement_wait import PlacementWait
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import SchedulingRules
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_id import TaskRun
from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cover.taskgraphs.placement_helpers import ONE, make_graph, make_waiting
from cover.taskgraphs.test_graph_session import make_session

ROUND_S = 0.25
LIMIT_S = StartLimits().urgent_start_s


def report(rounds: Sequence[tuple[list[WaitingWork], bool]]) -> tuple[list[Any], float]:
    """Returns the lines and the count of rounds of waiting work, the first of which may start."""

    async def main() -> float:
        session, _ = make_session()
        session.leader.metrics = MetricsRegistry()
        guarantee_log = GuaranteeLog(session)
        for waiting, is_starting in rounds:
            plan = PlacementPlan()
            if waiting:
                plan.waits["queue"] = PlacementWait(waiting[0], WaitReason.NO_ROOM)
            if is_starting:
                work = waiting[0]
                plan.assignments.append(Assignment(TaskRun(work.task(0), work.run), "w0"))
            guarantee_log.record_round(waiting, plan)
            await asyncio.sleep(ROUND_S)
        return sum(guarantees_missed(session.leader.metrics).label_sets.values.values())

    with capture_logs() as captured:
        count = run_virtual(main())
    return [line for line in captured if line["event"] == "guarantee not met"], count


def covered_work(count: int = 1, run: int = 1, is_guaranteed: bool = True) -> list[WaitingWork]:
    works = make_waiting(Step(count, ONE, 5.0), 0)
    for work in works:
        work.is_guaranteed, work.run = is_guaranteed, run
    return works


LATE_ROUNDS = int(LIMIT_S / ROUND_S) + 2


@pytest.mark.parametrize(
    ("rounds", "lines", "count"),
    [
        ([(covered_work(), False)] * LATE_ROUNDS, 1, 1),
        ([(covered_work(), False)] * (LATE_ROUNDS - 1), 0, 0),
        # It is reported once, however long it waits.
        ([(covered_work(), False)] * 100, 1, 1),
        ([(covered_work(), False)] * (LATE_ROUNDS - 1) + [(covered_work(), True)], 0, 0),
        ([(covered_work(is_guaranteed=False), False)] * 100, 0, 0),
        # The wait for a restart begins anew.
        (
            [(covered_work(), False)] * (LATE_ROUNDS - 1)
            + [(covered_work(run=2), False)] * (LATE_ROUNDS - 1),
            0,
            0,
        ),
        # All tasks count, and one line a second is enough.
        ([(covered_work(30), False)] * LATE_ROUNDS, 1, 30),
        ([], 0, 0),
    ],
)
def test_guarantee_not_met(
    rounds: list[tuple[list[WaitingWork], bool]], lines: int, count: int
) -> None:
    """A guarantee that is not met must be seen, once and without flooding the log.

    Load: urgent tasks of one account that wait in rounds of a quarter second.
    """
    logged, counted = report(rounds)
    assert (len(logged), counted) == (lines, count)
    for line in logged:
        assert line["graph"] == "waits" and line["account"] == "account"
        assert line["waited_s"] > LIMIT_S and line["reason"] == WaitReason.NO_ROOM.value


@pytest.mark.parametrize(("rule", "covered"), [("by_account", 0.0), ("by_job", 4.0)])
def test_covered_accelerators(rule: str, covered: float) -> None:
    """An operator must see how much of its guarantee an account uses.

    Load: two urgent jobs of 4 accelerators beside a guarantee of 6, and an account without jobs.
    """

    async def main() -> dict[tuple[str, ...], float]:
        session, _ = make_session()
        session.rules = SchedulingRules(guarantees=rule)
        accounts = (
            QueueAccount("account", (), 6),
            QueueAccount("other", (), 8),
            QueueAccount("none"),
        )
        session.leader.state.graphs.queues = QueueConfiguration(1, (), (), accounts)
        for number, name in enumerate("ab"):
            session.graphs[name] = make_graph(name, Step(4, ONE, 5.0), 0, float(number))
        return count_covered(session)

    expected = {("other",): 0.0, ("account",): covered}
    assert run_virtual(main()) == expected
