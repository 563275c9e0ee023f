"""Disturbances of processes: ends, freezes, signals and processor load."""

import asyncio
import signal
import subprocess
import sys

from nocover.configuration_soak.disturbance_registry import disturbance
from nocover.configuration_soak.machine import Machine
from nocover.configuration_soak.site import Site

BUSY_PROCESSES = 6
BUSY_PROGRAM = "import time\nend = time.monotonic() + {for_s}\nwhile time.monotonic() < end: pass"
CONFIRMATION_WAIT_S = 1.5
START_S = 3.0


def draw(site: Site, machines: list[Machine], most: int) -> list[Machine]:
    """Returns up to `most` of the machines."""
    return site.random.sample(machines, site.random.randint(1, min(most, len(machines))))


async def wait_for_confirmation(site: Site) -> Machine | None:
    """Waits a moment for a confirmation, and returns the machine that sent it."""
    try:
        async with asyncio.timeout(CONFIRMATION_WAIT_S):
            await site.confirmed.wait()
    except TimeoutError:
        return None
    hosts = {machine.host: machine for machine in site.machines}
    return hosts.get(site.confirming_host)


@disturbance("kill some")
async def kill_some(site: Site) -> None:
    """Kills the programs of some machines; they start again at once."""
    machines = draw(site, site.machines, 3)
    site.mark_disturbed(machines, START_S)
    for machine in machines:
        machine.send(signal.SIGKILL)


@disturbance("kill after a confirmation")
async def kill_after_confirmation(site: Site) -> None:
    """Kills the machine that has just confirmed a change, and another one."""
    confirming = await wait_for_confirmation(site)
    machines = [*draw(site, site.core(), 1), *([confirming] if confirming else [])]
    site.mark_disturbed(machines, START_S)
    for machine in machines:
        machine.send(signal.SIGKILL)


@disturbance("kill the core")
async def kill_core(site: Site) -> None:
    """Kills all programs of the core at the same moment."""
    site.mark_disturbed(site.core(), START_S)
    for machine in site.core():
        machine.send(signal.SIGKILL)


@disturbance("freeze")
async def freeze(site: Site) -> None:
    """Freezes one or two machines of the core for some seconds."""
    machines = draw(site, site.core(), 2)
    for_s = site.random.choice((0.3, 0.6, 1.5, 4.0))
    site.mark_disturbed(machines, for_s + START_S)
    for machine in machines:
        machine.freeze()
    await asyncio.sleep(for_s)
    for machine in machines:
        machine.thaw()


@disturbance("stop in turn")
async def stop_in_turn(site: Site) -> None:
    """Stops and starts machines in turn."""
    for machine in draw(site, site.machines, 4):
        site.mark_disturbed([machine], site.shape.grace_s + START_S)
        processes = list(machine.processes.values())
        machine.send(signal.SIGTERM)
        for _ in range(10 * site.shape.grace_s):
            if all(process.poll() is not None for process in processes):
                break
            await asyncio.sleep(0.1)
        for process in processes:
            if process.poll() is None:
                process.kill()
        await asyncio.sleep(site.random.uniform(0, 1.0))


@disturbance("new seeds")
async def name_other_seeds(site: Site) -> None:
    """Names other control instances as seeds, with and without a signal."""
    seeds = site.draw_seeds()
    for machine in site.machines:
        machine.seeds = seeds
        machine.configure(is_first_start=False)
        if site.random.random() < 0.5:
            machine.send(signal.SIGHUP)


@disturbance("processor load")
async def load_processors(site: Site) -> None:
    """Runs busy processes beside the deployment."""
    for_s = site.random.uniform(1.0, 4.0)
    site.mark_disturbed(site.machines, for_s)
    program = BUSY_PROGRAM.format(for_s=for_s)
    busy = [subprocess.Popen([sys.executable, "-c", program]) for _ in range(BUSY_PROCESSES)]
    await asyncio.sleep(for_s)
    for process in busy:
        await asyncio.to_thread(process.wait)
