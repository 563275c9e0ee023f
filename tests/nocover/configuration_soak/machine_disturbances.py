"""Disturbances of machines: power, disks, clocks, and machines that are replaced."""

import asyncio

from nocover.configuration_soak.disturbance_registry import disturbance
from nocover.configuration_soak.machine import Machine
from nocover.configuration_soak.machine_faults import DISK_FULL, DISK_STALLED
from nocover.configuration_soak.process_disturbances import START_S, draw, wait_for_confirmation
from nocover.configuration_soak.site import Site
from nocover.job_soak.worker_machine import WorkerMachine


async def lose_power(site: Site, machines: list[Machine], for_s: float) -> None:
    """Turns machines off at the same moment, and on again later."""
    site.mark_disturbed(machines, for_s + START_S)
    site.set_power(machines, is_on=False)
    for machine in machines:
        machine.lose_power(site.random)
    await asyncio.sleep(for_s)
    site.set_power(machines, is_on=True)
    for machine in machines:
        machine.configure(is_first_start=False)
        machine.start()
        if isinstance(machine, WorkerMachine):
            await machine.start_worker()


@disturbance("power of some")
async def power_of_some(site: Site) -> None:
    """Takes the power of some machines, often right after a confirmation."""
    if site.random.random() < 0.6:
        await wait_for_confirmation(site)
    await lose_power(site, draw(site, site.machines, 3), site.random.choice((0.3, 2.0)))


@disturbance("power of the core")
async def power_of_core(site: Site) -> None:
    """Takes the power of all machines with a disk, or of all machines."""
    if site.random.random() < 0.6:
        await wait_for_confirmation(site)
    machines = site.random.choice((site.core(), list(site.machines)))
    await lose_power(site, machines, site.random.choice((0.3, 2.0)))


@disturbance("slow disks")
async def slow_disks(site: Site) -> None:
    """Makes some disks slow."""
    await _disturb_disks(site, disk="", sync_s=site.random.choice((0.1, 0.3, 1.0)))


@disturbance("stalled disk")
async def stall_disks(site: Site) -> None:
    """Makes some disks answer nothing."""
    await _disturb_disks(site, disk=DISK_STALLED, sync_s=0.0)


@disturbance("full disk")
async def fill_disks(site: Site) -> None:
    """Makes some disks refuse every write."""
    await _disturb_disks(site, disk=DISK_FULL, sync_s=0.0)


async def _disturb_disks(site: Site, disk: str, sync_s: float) -> None:
    machines = draw(site, site.core(), 2)
    for_s = site.random.choice((0.4, 2.0, 4.0))
    site.mark_disturbed(machines, for_s + START_S)
    for machine in machines:
        machine.faults.disk, machine.faults.sync_s = disk, sync_s
        machine.apply_faults()
    await asyncio.sleep(for_s)
    for machine in machines:
        machine.faults.disk, machine.faults.sync_s = "", 0.0
        machine.apply_faults()


@disturbance("clock step")
async def step_clocks(site: Site) -> None:
    """Steps the time of day of some machines, and back again."""
    machines = draw(site, site.machines, len(site.machines))
    for machine in machines:
        machine.faults.clock_step_s = site.random.choice((-10.0, -2.0, 2.0, 10.0))
        machine.apply_faults()
    await asyncio.sleep(site.random.uniform(1.0, 4.0))
    for machine in machines:
        machine.faults.clock_step_s = 0.0
        machine.apply_faults()


@disturbance("lost disk", loses_disk=True)
async def lose_disk(site: Site) -> None:
    """Loses as many disks as may be lost at once, right after a confirmation."""
    machines = draw(site, site.core(), site.shape.lost_disks)
    confirming = await wait_for_confirmation(site)
    if confirming is not None and confirming.has_disk and confirming not in machines:
        machines[0] = confirming
    site.mark_disturbed(machines, site.shape.catch_up_s)
    for machine in machines:
        machine.kill()
        machine.wipe()
    if site.random.random() < 0.5:
        # All other disks are kept and must be enough.
        others = [machine for machine in site.core() if machine not in machines]
        await lose_power(site, others, 0.3)
    for machine in machines:
        machine.start()


@disturbance("replaced machine", loses_disk=True)
async def replace_machine(site: Site) -> None:
    """Replaces a machine of the core by an empty one at another address."""
    await replace(site, site.random.choice(site.core()))


async def replace(site: Site, old: Machine) -> None:
    """Replaces a machine, which is on until its successor has caught up or goes before."""
    new = site.add(int(old.zone.removeprefix("zone-")), has_disk=True, runs_control=True)
    is_planned = site.random.random() < 0.4
    site.mark_disturbed([old, new], site.shape.catch_up_s)
    if not is_planned:
        old.kill()
        site.set_power([old], is_on=False)
        await asyncio.sleep(site.random.uniform(0.2, 1.0))
    site.machines.append(new)
    new.seeds = site.draw_seeds(lambda machine: machine is not new)
    new.configure(is_first_start=False)
    new.start()
    if is_planned:
        await asyncio.sleep(site.shape.catch_up_s)
        site.mark_disturbed([old], 1.0)
        old.kill()
        site.set_power([old], is_on=False)
    site.machines.remove(old)
    site.publish_list()
