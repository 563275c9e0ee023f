"""All machines of a soak, and what operators and callers know of them."""

import asyncio
import itertools
import random
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

from nocover.configuration_soak.findings import Findings
from nocover.configuration_soak.machine import Machine
from nocover.configuration_soak.sent_versions import SentVersions
from nocover.configuration_soak.site_shape import SiteShape
from nocover.job_soak.job_ledger import JobLedger
from nocover.job_soak.worker_machine import WorkerMachine

RESTART_DELAY_S = 0.3
SUPERVISION_INTERVAL_S = 0.05
# A program that ends within this time of a disturbance on its machine may have ended by it.
OWN_END_SLACK_S = 1.0
SEED_COUNT = 3


def read_control_count(checkout: Path) -> int:
    """Returns how many machines of each zone run control."""
    text = (checkout / "deploy" / "system.toml").read_text(encoding="utf-8")
    return int(tomllib.loads(text)["roles"]["control"]["count"])


class Site:
    """A deployment as real processes.

    `listed` are the machines that the operators' list names, which lags behind the true ones. `off`
    are the addresses that have no power. `confirmed` is set, and replaced, with each confirmation
    of a change; `confirming_host` is the machine that sent it.
    """

    __slots__ = (
        "checkout",
        "confirmed",
        "confirming_host",
        "findings",
        "folder",
        "listed",
        "machines",
        "ledger",
        "network",
        "numbers",
        "off",
        "random",
        "shape",
        "versions",
    )

    def __init__(
        self, shape: SiteShape, folder: Path, checkout: Path, seed: int, network: int
    ) -> None:
        """Creates the machines; `network` is the second part of their loopback addresses."""
        self.shape = shape
        self.folder = folder
        self.checkout = checkout
        self.network = network
        self.random = random.Random(seed)
        self.findings = Findings()
        self.versions = SentVersions()
        self.numbers = itertools.count(1)
        self.ledger = JobLedger(self.findings)
        self.off: set[str] = set()
        self.confirmed = asyncio.Event()
        self.confirming_host = ""
        self.machines: list[Machine] = []
        # Control runs on the first machines of each zone, besides an entry.
        controls_per_zone = read_control_count(checkout)
        for zone, (disks, diskless) in enumerate(zip(shape.disks, shape.diskless, strict=True)):
            for position in range(disks + diskless):
                runs_control = position < controls_per_zone
                self.machines.append(self.add(zone, position < disks, runs_control))
        for zone, count in enumerate(shape.workers):
            self.machines += [self.add_worker_machine(zone) for _ in range(count)]
        self.listed = self.controls()
        seeds = self.draw_seeds(lambda machine: machine.has_disk)
        for machine in self.machines:
            machine.seeds = seeds
            machine.configure(is_first_start=True)

    def add(self, zone: int, has_disk: bool, runs_control: bool) -> Machine:
        """Returns a new machine at an address that was never used."""
        return Machine(
            host=self._new_host(zone),
            zone=f"zone-{zone}",
            has_disk=has_disk,
            roles=("control", "entry") if runs_control else ("entry",),
            folder=self.folder,
            checkout=self.checkout,
            shape=self.shape,
        )

    def add_worker_machine(self, zone: int) -> WorkerMachine:
        """Returns a new machine with an agent and a worker."""
        return WorkerMachine(
            host=self._new_host(zone),
            zone=zone,
            folder=self.folder,
            checkout=self.checkout,
            shape=self.shape,
            ledger=self.ledger,
            seed=self.random.random(),
        )

    def _new_host(self, zone: int) -> str:
        return f"127.{self.network}.{zone + 1}.{next(self.numbers)}"

    def draw_seeds(
        self, is_eligible: Callable[[Machine], bool] = lambda machine: True
    ) -> tuple[str, ...]:
        """Returns the addresses of three control instances, of different zones where possible."""
        controls = [machine for machine in self.controls() if is_eligible(machine)]
        self.random.shuffle(controls)
        first_of_zone = {machine.zone: machine for machine in controls}
        chosen = list(first_of_zone.values())
        chosen += [machine for machine in controls if machine not in chosen]
        return tuple(machine.host for machine in chosen[:SEED_COUNT])

    def controls(self) -> list[Machine]:
        """Returns the machines that run control."""
        return [machine for machine in self.machines if machine.runs_control]

    def worker_machines(self) -> list[WorkerMachine]:
        """Returns the machines with an agent and a worker."""
        return [machine for machine in self.machines if isinstance(machine, WorkerMachine)]

    def set_power(self, machines: list[Machine], is_on: bool) -> None:
        """Makes the addresses of machines answer nothing, or answer again.

        Without workers the addresses refuse connections.
        """
        if not self.shape.workers:
            return
        hosts = {machine.host for machine in machines}
        # Another disturbance may turn a machine on after it was taken away.
        present = {machine.host for machine in self.machines}
        self.off = self.off - (hosts & present) if is_on else self.off | hosts
        for machine in self.machines:
            machine.faults.off = sorted(self.off)
            machine.apply_faults()

    def core(self) -> list[Machine]:
        """Returns the machines with a disk that run control."""
        return [machine for machine in self.machines if machine.has_disk]

    def mark_disturbed(self, machines: list[Machine], for_s: float = 0.0) -> None:
        """Records a disturbance that lasts for some time from now."""
        until_s = time.monotonic() + for_s + OWN_END_SLACK_S
        for machine in machines:
            machine.disturbed_until_s = max(machine.disturbed_until_s, until_s)

    async def start(self) -> None:
        """Starts all machines within 0.3 s."""
        for machine in self.random.sample(self.machines, len(self.machines)):
            machine.start()
            await asyncio.sleep(0.2 / len(self.machines))
        for worker_machine in self.worker_machines():
            await worker_machine.start_worker()

    async def supervise(self) -> None:
        """Starts programs again that have ended, until cancelled."""
        async with asyncio.TaskGroup() as restarts:
            noticed: set[int] = set()
            while True:
                await asyncio.sleep(SUPERVISION_INTERVAL_S)
                for machine in list(self.machines):
                    for role in machine.ended_roles():
                        process = machine.processes[role]
                        if process.pid not in noticed:
                            noticed.add(process.pid)
                            restarts.create_task(self._restart(machine, role))

    async def _restart(self, machine: Machine, role: str) -> None:
        process = machine.processes[role]
        code = process.returncode
        is_told = process.pid in machine.ended_pids
        if not is_told and time.monotonic() > machine.disturbed_until_s:
            self.findings.report("process ended", f"{role} on {machine.host} with code {code}")
        await asyncio.sleep(RESTART_DELAY_S)
        # The machine may have been turned off and on again meanwhile.
        if machine.is_on and machine.processes[role] is process:
            machine.start_role(role)

    def publish_list(self) -> None:
        """Makes the operators' list name the present machines after its lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.shape.seed_lag_s, self._update_list)

    def _update_list(self) -> None:
        self.listed = self.controls()

    def note_confirmation(self, host: str) -> None:
        """Wakes the disturbances that wait for a confirmation."""
        self.confirming_host = host
        self.confirmed.set()
        self.confirmed = asyncio.Event()

    def stop(self) -> None:
        """Kills everything."""
        for machine in self.machines:
            machine.kill()
        for worker_machine in self.worker_machines():
            worker_machine.crash_worker()
