"""Single faults."""

import asyncio

from cicadatray.internal.bench.fault_runs.case_registry import fault_case
from cicadatray.internal.bench.fault_runs.fault_run import FaultRun

# Longer than a lease with its margin (6.6 s), so that everything of the frozen process has expired.
FREEZE_S = 9.0
PARTITION_S = 10.0


@fault_case("none")
async def no_fault(run: FaultRun) -> None:
    """Shows what the load does without any fault."""
    run.mark_fault()
    await run.measure_recovery()


@fault_case("kill_entry")
async def kill_entry(run: FaultRun) -> None:
    """Callers resend through the other entry."""
    run.mark_fault()
    await run.kill("entry-0")
    await run.measure_recovery()
    run.watch.forget(run.deployment.entry_urls()[0])
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
    """An endpoint dies in the middle of requests."""
    run.mark_fault()
    await run.kill("endpoint-0")
    await run.measure_recovery()
    run.start("endpoint-0")


@fault_case("kill_leader")
async def kill_leader(run: FaultRun) -> None:
    """Another control instance takes over."""
    leader = await run.leader_name()
    run.mark_fault()
    await run.kill(leader)
    await run.measure_recovery()
    run.start(leader)


@fault_case("kill_follower")
async def kill_follower(run: FaultRun) -> None:
    """The group goes on with two of three."""
    follower = run.followers(await run.leader_name())[0]
    run.mark_fault()
    await run.kill(follower)
    await run.measure_recovery()
    run.start(follower)


@fault_case("kill_worker_agent")
async def kill_worker_agent(run: FaultRun) -> None:
    """The gang is stopped whole and started again."""
    run.mark_fault()
    await run.kill("agent-w0")
    await run.measure_recovery()
    await asyncio.sleep(1.0)
    run.start("agent-w0")


@fault_case("kill_worker")
async def kill_worker(run: FaultRun) -> None:
    """A worker dies with its agent, as an instance does."""
    run.mark_fault()
    await run.kill("worker-0")
    await run.kill("agent-w0")
    await run.measure_recovery()
    await asyncio.sleep(FREEZE_S)
    run.start("worker-0")
    run.start("agent-w0")


@fault_case("freeze_leader")
async def freeze_leader(run: FaultRun) -> None:
    """A frozen leader acts on nothing when it runs again."""
    leader = await run.leader_name()
    run.mark_fault()
    run.freeze(leader)
    await run.measure_recovery()
    await asyncio.sleep(FREEZE_S)
    run.thaw(leader)


@fault_case("freeze_worker_agent")
async def freeze_worker_agent(run: FaultRun) -> None:
    """The worker stops the tasks of a frozen agent before they are granted again."""
    run.mark_fault()
    run.freeze("agent-w0")
    await run.measure_recovery()
    await asyncio.sleep(FREEZE_S)
    run.thaw("agent-w0")


@fault_case("freeze_endpoint_agent")
async def freeze_endpoint_agent(run: FaultRun) -> None:
    """A frozen agent keeps its attempts; none runs twice."""
    run.mark_fault()
    run.freeze("agent-e0")
    await run.measure_recovery()
    await asyncio.sleep(FREEZE_S)
    run.thaw("agent-e0")


@fault_case("freeze_entry")
async def freeze_entry(run: FaultRun) -> None:
    """A frozen entry does not act on an old configuration when it runs again."""
    run.mark_fault()
    run.freeze("entry-0")
    await run.measure_recovery()
    await asyncio.sleep(FREEZE_S)
    run.thaw("entry-0")


@fault_case("partition_leader")
async def partition_leader(run: FaultRun) -> None:
    """A silent cut around the leader: no connection is reset."""
    leader = await run.leader_name()
    run.mark_fault()
    run.isolate(leader)
    await run.measure_recovery()
    await asyncio.sleep(PARTITION_S)
    run.heal()


@fault_case("lose_disk")
async def lose_disk(run: FaultRun) -> None:
    """An instance without its disk joins anew; then a second one is lost."""
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
    """A leaving endpoint finishes what it has and gets nothing new."""
    run.mark_fault()
    run.mark_leaving("endpoint-0")
    await run.stop("agent-e0")
    await run.measure_recovery()


@fault_case("planned_stop_leader")
async def planned_stop_leader(run: FaultRun) -> None:
    """The leader hands over first."""
    leader = await run.leader_name()
    run.mark_fault()
    await run.stop(leader)
    await run.measure_recovery()
    run.start(leader)
