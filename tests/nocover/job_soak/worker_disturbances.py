"""Disturbances of workers, and of the agents beside them."""

import asyncio
import signal
import time

from nocover.configuration_soak.disturbance_registry import disturbance
from nocover.configuration_soak.link_disturbances import cut_for
from nocover.configuration_soak.process_disturbances import START_S, draw
from nocover.configuration_soak.site import Site
from nocover.job_soak.worker_machine import WorkerMachine

FAULT_FIELDS = (
    "mute_until_s",
    "late_until_s",
    "late_orders_until_s",
    "still_until_s",
    "broken_until_s",
)


def draw_workers(site: Site, share: float) -> list[WorkerMachine]:
    """Returns some of the machines with a worker, at most this share of them."""
    machines = site.worker_machines()
    return site.random.sample(machines, site.random.randint(1, max(1, int(share * len(machines)))))


@disturbance("worker crash", needs_workers=True)
async def crash_workers(site: Site) -> None:
    """Crashes workers, which come back under other identifiers."""
    machines = draw_workers(site, 0.5)
    for machine in machines:
        machine.crash_worker()
    await asyncio.sleep(site.random.choice((0.1, 0.5, 2.0, 5.0)))
    for machine in machines:
        await machine.start_worker()


@disturbance("worker flaps", needs_workers=True)
async def flap_workers(site: Site) -> None:
    """Crashes workers and brings them back, by turns."""
    machines = draw_workers(site, 0.34)
    for _ in range(site.random.randint(2, 5)):
        for machine in machines:
            machine.crash_worker()
        await asyncio.sleep(site.random.uniform(1.0, 1.5))
        for machine in machines:
            await machine.start_worker()
        await asyncio.sleep(site.random.uniform(1.0, 1.5))


@disturbance("worker leaves", needs_workers=True)
async def drain_workers(site: Site) -> None:
    """Drains workers, which leave and come back later."""
    machines = draw_workers(site, 0.34)
    workers = [machine.worker for machine in machines if machine.worker is not None]
    for worker in workers:
        worker.is_draining = True
    await asyncio.sleep(site.random.choice((1.5, 3.5, 6.0)))
    for worker in workers:
        if worker.is_up and site.random.random() < 0.7:
            await worker.withdraw()
        worker.crash()
    await asyncio.sleep(site.random.choice((0.2, 2.0, 4.0)))
    for machine in machines:
        await machine.start_worker()


@disturbance("faulty workers", needs_workers=True)
async def fault_workers(site: Site) -> None:
    """Makes workers mute, late, stand still or fail what they start."""
    field = site.random.choice(FAULT_FIELDS)
    for_s = site.random.choice((0.5, 1.5, 4.0, 8.0))
    site.findings.note(f"{field} for {for_s} s")
    for machine in draw_workers(site, 0.5):
        if machine.worker is not None:
            setattr(machine.worker.faults, field, time.monotonic() + for_s)
    await asyncio.sleep(for_s)


@disturbance("agents end", needs_workers=True)
async def end_agents(site: Site) -> None:
    """Kills agents or stops them gracefully; they start again at once."""
    machines = draw_workers(site, 1.0)
    site.mark_disturbed(list(machines), site.shape.grace_s + START_S)
    number = site.random.choice((signal.SIGKILL, signal.SIGTERM))
    for machine in machines:
        machine.send(number)


@disturbance("agents freeze", needs_workers=True)
async def freeze_agents(site: Site) -> None:
    """Freezes agents beside workers that go on, for longer than a lease or not."""
    machines = draw_workers(site, 0.5)
    for_s = site.random.choice((0.5, 1.5, 4.0, 8.0))
    site.mark_disturbed(list(machines), for_s + START_S)
    for machine in machines:
        machine.freeze()
    await asyncio.sleep(for_s)
    for machine in machines:
        machine.thaw()


@disturbance("agents cut off", needs_workers=True)
async def cut_off_agents(site: Site) -> None:
    """Cuts agents off from some or all of control."""
    machines = draw_workers(site, 0.5)
    controls = site.random.choice((site.controls(), draw(site, site.controls(), 3)))
    pairs = [(machine, control) for machine in machines for control in controls]
    await cut_for(site, list(pairs), False, site.random.choice((0.5, 2.0, 5.0, 9.0)))


@disturbance("worker machine goes", needs_workers=True)
async def remove_machine(site: Site) -> None:
    """Takes a machine with its agent and worker away for good; another one comes."""
    old = site.random.choice(site.worker_machines())
    site.mark_disturbed([old], START_S)
    old.is_removed = True
    site.machines.remove(old)
    site.set_power([old], is_on=False)
    old.kill()
    old.crash_worker()
    await asyncio.sleep(site.random.uniform(0.5, 4.0))
    new = site.add_worker_machine(int(old.zone.removeprefix("zone-")))
    site.mark_disturbed([new], START_S)
    site.machines.append(new)
    new.seeds = site.draw_seeds()
    new.configure(is_first_start=False)
    new.start()
    await new.start_worker()
