"""Fault cases with a single fault."""

import asyncio

from cicadatray.internal.bench.fault_runs.case_registry import fault_case
from cicadatray.internal.bench.fault_runs.fault_run import FaultRun

# Longer than a lease with its drift margin (6.6 s): all leases of the frozen process have expired.
FREEZE_S = 9.0
PARTITION_S = 10.0


@fault_case("none")
async def no_fault(run: FaultRun) -> None:
    """Runs the load without a fault, as a reference."""
    run.mark_fault()
    await run.measure_recovery()


@fault_case("kill_entry")
async def kill_entry(run: FaultRun) -> None:
    """Callers resend through the other entry."""
    run.mark_fault()
    await run.kill("entry-0")
    await run.measure_recovery()
    run.watch.reset(run.deployment.entry_urls()[0])
    run.start("entry-0")


@fault_case("kill_endpoint_agent")
async def kill_endpoint_agent(run: FaultRun) -> None:
    """Attempts in progress at a killed agent become unknown and are never run again."""
    run.mark_fault()
    await run.kill("agent-e0")
    await run.measure_recovery()
    run.start("agent-e0")


@fault_case("kill_endpoint")
async def kill_endpoint(run: FaultRun) -> None:
    """An endpoint is killed while it carries out requests."""
    run.mark_fault()
    await run.kill("endpoint-0")
    await run.measure_recovery()
    run.start("endpoint-0")


@fault_case("kill_leader")
async def kill_leader(run: FaultRun) -> None:
    """Another control instance becomes the leader."""
    leader = await run.leader_name()
    run.mark_fault()
    await run.kill(leader)
    await run.measure_recovery()
    run.start(leader)


@fault_case("kill_follower")
async def kill_follower(run: FaultRun) -> None:
    """The control group continues with two of three members."""
    follower = run.followers(await run.leader_name())[0]
    run.mark_fault()
    await run.kill(follower)
    await run.measure_recovery()
    run.start(follower)


@fault_case("kill_worker_agent")
async def kill_worker_agent(run: FaultRun) -> None:
    """All members of the gang are stopped and the gang is started again."""
    run.mark_fault()
    await run.kill("agent-w0")
    await run.measure_recovery()
    await asyncio.sleep(1.0)
    run.start("agent-w0")


@fault_case("kill_worker")
async def kill_worker(run: FaultRun) -> None:
    """A worker and its agent are killed, as when their instance fails."""
    run.mark_fault()
    await run.kill("worker-0")
    await run.kill("agent-w0")
    await run.measure_recovery()
    await asyncio.sleep(FREEZE_S)
    run.start("worker-0")
    run.start("agent-w0")


@fault_case("freeze_leader")
async def freeze_leader(run: FaultRun) -> None:
    """A frozen leader takes no action after it resumes."""
    leader = await run.leader_name()
    run.mark_fault()
    run.freeze(leader)
    await run.measure_recovery()
    await asyncio.sleep(FREEZE_S)
    run.thaw(leader)


@fault_case("freeze_worker_agent")
async def freeze_worker_agent(run: FaultRun) -> None:
    """The worker stops the tasks of a frozen agent before its accelerators are granted again."""
    run.mark_fault()
    run.freeze("agent-w0")
    await run.measure_recovery()
    await asyncio.sleep(FREEZE_S)
    run.thaw("agent-w0")


@fault_case("freeze_endpoint_agent")
async def freeze_endpoint_agent(run: FaultRun) -> None:
    """A frozen agent retains its attempts; none runs twice."""
    run.mark_fault()
    run.freeze("agent-e0")
    await run.measure_recovery()
    await asyncio.sleep(FREEZE_S)
    run.thaw("agent-e0")


@fault_case("freeze_entry")
async def freeze_entry(run: FaultRun) -> None:
    """A frozen entry does not use an old configuration after it resumes."""
    run.mark_fault()
    run.freeze("entry-0")
    await run.measure_recovery()
    await asyncio.sleep(FREEZE_S)
    run.thaw("entry-0")


@fault_case("partition_leader")
async def partition_leader(run: FaultRun) -> None:
    """The leader is partitioned from all others, without a connection reset."""
    leader = await run.leader_name()
    run.mark_fault()
    run.isolate(leader)
    await run.measure_recovery()
    await asyncio.sleep(PARTITION_S)
    run.heal()


@fault_case("lose_disk")
async def lose_disk(run: FaultRun) -> None:
    """A control instance that lost its disk rejoins; then a second one is killed."""
    leader = await run.leader_name()
    lost, second = run.followers(leader)
    await run.kill(lost)
    run.remove_data(lost)
    run.start(lost)
    await run.replace_member(lost)
    run.mark_fault()
    await run.kill(second)
    await run.measure_recovery()
    run.start(second)


@fault_case("planned_stop_entry")
async def planned_stop_entry(run: FaultRun) -> None:
    """Requests in progress at a stopping entry are finished."""
    run.mark_fault()
    await run.stop("entry-0")
    await run.measure_recovery()


@fault_case("planned_stop_endpoint_agent")
async def planned_stop_endpoint_agent(run: FaultRun) -> None:
    """A leaving endpoint finishes its requests and receives no new ones."""
    run.mark_fault()
    run.mark_leaving("endpoint-0")
    await run.stop("agent-e0")
    await run.measure_recovery()


@fault_case("planned_stop_leader")
async def planned_stop_leader(run: FaultRun) -> None:
    """The leader transfers its leadership before it stops."""
    leader = await run.leader_name()
    run.mark_fault()
    await run.stop(leader)
    await run.measure_recovery()
    run.start(leader)
