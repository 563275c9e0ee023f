"""Fault cases with several faults at once, and a race of operators."""

import asyncio

from cicadatray.internal.bench.fault_runs.case_registry import fault_case
from cicadatray.internal.bench.fault_runs.fault_run import FaultRun

FREEZE_S = 9.0
CHANGE_COUNT = 300
RACE_COUNT = 20


@fault_case("kill_entry_and_endpoint_agent")
async def kill_entry_and_endpoint_agent(run: FaultRun) -> None:
    """The caller resends while the agent that may have run its request restarts."""
    run.mark_fault()
    await asyncio.gather(run.kill("entry-0"), run.kill("agent-e0"))
    run.start("agent-e0")
    await run.measure_recovery()
    run.watch.reset(run.deployment.entry_urls()[0])
    run.start("entry-0")


@fault_case("kill_leader_and_worker_agent")
async def kill_leader_and_worker_agent(run: FaultRun) -> None:
    """A new leader takes over a gang that has lost a member."""
    leader = await run.leader_name()
    run.mark_fault()
    await asyncio.gather(run.kill(leader), run.kill("agent-w0"))
    await run.measure_recovery()
    run.start(leader)
    run.start("agent-w0")


@fault_case("kill_leader_and_entry")
async def kill_leader_and_entry(run: FaultRun) -> None:
    """Claims of keys are in doubt while their entry is down."""
    leader = await run.leader_name()
    run.mark_fault()
    await asyncio.gather(run.kill(leader), run.kill("entry-1"))
    await run.measure_recovery()
    run.watch.reset(run.deployment.entry_urls()[1])
    run.start("entry-1")
    run.start(leader)


@fault_case("freeze_leader_and_kill_worker_agent")
async def freeze_leader_and_kill_worker_agent(run: FaultRun) -> None:
    """The frozen leader still has a driver for the gang that the new leader stops."""
    leader = await run.leader_name()
    run.mark_fault()
    run.freeze(leader)
    await run.kill("agent-w0")
    await run.measure_recovery()
    run.start("agent-w0")
    await asyncio.sleep(FREEZE_S)
    run.thaw(leader)


@fault_case("kill_all_control")
async def kill_all_control(run: FaultRun) -> None:
    """All control instances restart from their disks after hundreds of changes."""
    for _ in range(CHANGE_COUNT):
        await run.operator.rewrite_rules()
    before = await run.operator.version()
    run.mark_fault()
    names = [member.name for member in run.deployment.control_members]
    await asyncio.gather(*(run.kill(name) for name in names))
    for name in names:
        run.start(name)
    await run.measure_recovery()
    run.watch.reverted += await run.operator.version() < before


@fault_case("operators_race")
async def operators_race(run: FaultRun) -> None:
    """Two operators replace the same version; one succeeds, and a resend gets the first outcome."""
    run.mark_fault()
    for _ in range(RACE_COUNT):
        run.watch.reverted += not await run.operator.race_changes()
    await run.measure_recovery()
