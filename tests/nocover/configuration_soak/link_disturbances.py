"""Disturbances of the links between machines."""

import asyncio
import time
from itertools import permutations

from nocover.configuration_soak.disturbance_registry import disturbance
from nocover.configuration_soak.machine import Machine
from nocover.configuration_soak.machine_faults import BOTH_WAYS, INCOMING, OUTGOING
from nocover.configuration_soak.site import Site


def set_cut(source: Machine, target: Machine, is_one_way: bool) -> None:
    """Holds up what one machine sends to another, or both directions."""
    source.faults.cuts[target.host] = OUTGOING if is_one_way else BOTH_WAYS
    target.faults.cuts[source.host] = INCOMING if is_one_way else BOTH_WAYS


async def cut_for(
    site: Site, pairs: list[tuple[Machine, Machine]], is_one_way: bool, for_s: float
) -> None:
    """Cuts links for some time."""
    machines = list({machine for pair in pairs for machine in pair})
    site.mark_disturbed(machines, for_s)
    for source, target in pairs:
        set_cut(source, target, is_one_way)
    for machine in machines:
        machine.apply_faults()
    await asyncio.sleep(for_s)
    for source, target in pairs:
        source.faults.cuts.pop(target.host, None)
        target.faults.cuts.pop(source.host, None)
    for machine in machines:
        machine.apply_faults()


@disturbance("cut off one")
async def cut_off_one(site: Site) -> None:
    """Cuts one machine off from the core or from all others, in one direction or both."""
    machine = site.random.choice(site.machines)
    others = site.random.choice((site.core(), site.machines))
    pairs = [(machine, other) for other in others if other is not machine]
    is_one_way = site.random.random() < 0.3
    if is_one_way and site.random.random() < 0.5:
        pairs = [(other, machine) for _, other in pairs]
    await cut_for(site, pairs, is_one_way, site.random.choice((0.5, 2.0, 5.0)))


@disturbance("split the core")
async def split_core(site: Site) -> None:
    """Cuts the core into two parts that all others reach."""
    core = site.core()
    side = site.random.sample(core, len(core) // 2)
    pairs = [(one, other) for one in side for other in core if other not in side]
    await cut_for(site, pairs, False, site.random.choice((0.5, 2.0, 5.0)))


@disturbance("cut all links of the core")
async def cut_core(site: Site) -> None:
    """Cuts every machine of the core from every other one."""
    await cut_for(site, list(permutations(site.core(), 2)), False, site.random.uniform(0.5, 3.0))


@disturbance("silent connections")
async def silence_connections(site: Site) -> None:
    """Makes all open connections of some machines silent for good."""
    machines = site.random.sample(site.machines, site.random.randint(1, len(site.machines)))
    site.mark_disturbed(site.machines)
    for machine in machines:
        machine.faults.silent_before_s = time.monotonic()
        machine.apply_faults()


@disturbance("reset connections")
async def reset_connections(site: Site) -> None:
    """Resets all open connections of some machines."""
    machines = site.random.sample(site.machines, site.random.randint(1, len(site.machines)))
    site.mark_disturbed(site.machines)
    for machine in machines:
        machine.faults.reset_before_s = time.monotonic()
        machine.apply_faults()
