"""One machine of a soak, with the programs that run on it."""

import os
import random
import shutil
import signal
import subprocess
import sys
from pathlib import Path

from nocover.configuration_soak.machine_faults import MachineFaults
from nocover.configuration_soak.power_loss import lose_power
from nocover.configuration_soak.site_shape import SiteShape

FIRST_INNER_PORT, LAST_INNER_PORT = 7000, 7015
CLIENTS, READINESS, CONTROL = 8521, 8523, 8526
FAULTY_PROGRAM = Path(__file__).with_name("faulty_program.py")
REAP_TIMEOUT_S = 30.0
ENDING_SIGNALS = (signal.SIGKILL, signal.SIGTERM)


class Machine:
    """A machine; it is off until `start`.

    `disturbed_until_s` is the steady time until which its programs may end without that being a
    finding, and `ended_pids` the processes that were told to end.
    """

    __slots__ = (
        "checkout",
        "disturbed_until_s",
        "ended_pids",
        "faults",
        "folder",
        "has_disk",
        "host",
        "is_frozen",
        "is_on",
        "processes",
        "roles",
        "seeds",
        "shape",
        "zone",
    )

    def __init__(
        self,
        host: str,
        zone: str,
        has_disk: bool,
        roles: tuple[str, ...],
        folder: Path,
        checkout: Path,
        shape: SiteShape,
    ) -> None:
        self.host = host
        self.zone = zone
        self.has_disk = has_disk
        self.roles = roles
        self.folder = folder / host
        self.checkout = checkout
        self.shape = shape
        self.seeds: tuple[str, ...] = ()
        self.faults = MachineFaults()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.is_on = False
        self.is_frozen = False
        self.disturbed_until_s = 0.0
        self.ended_pids: set[int] = set()
        self.folder.mkdir(parents=True, exist_ok=True)

    @property
    def runs_control(self) -> bool:
        """Whether operators can call the machine."""
        return "control" in self.roles

    def configure(self, is_first_start: bool) -> None:
        """Writes the settings files."""
        for role in self.roles:
            text = self._settings_text(role, is_first_start)
            (self.folder / f"{role}.toml").write_text(text, encoding="utf-8")

    def apply_faults(self) -> None:
        """Puts the faults into force."""
        self.faults.store(self.folder / "faults.json")

    def start(self) -> None:
        """Starts every program that does not run."""
        self.is_on = True
        self.apply_faults()
        for role in self.roles:
            # Two disturbances may have turned the machine off.
            if role not in self.processes or self.processes[role].poll() is not None:
                self.start_role(role)

    def start_role(self, role: str) -> None:
        """Starts one program."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "CICADATRAY_CONFIG": str(self.folder / f"{role}.toml"),
            # The checkout may be another one, so no caches are written there.
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        arguments = [str(self.checkout), str(self.folder), self.host]
        with (self.folder / f"{role}.log").open("ab") as log:
            self.processes[role] = subprocess.Popen(
                [sys.executable, str(FAULTY_PROGRAM), *arguments],
                env=environment,
                cwd=self.checkout,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to every program that runs."""
        for process in self.processes.values():
            if process.poll() is None:
                if number in ENDING_SIGNALS:
                    self.ended_pids.add(process.pid)
                process.send_signal(number)

    def freeze(self) -> None:
        """Stops all programs without ending them."""
        self.is_frozen = True
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets frozen programs run on."""
        self.is_frozen = False
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """Kills all programs; their files stay as they are."""
        self.is_on = False
        self.is_frozen = False
        self.send(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(REAP_TIMEOUT_S)

    def lose_power(self, source: random.Random) -> None:
        """Kills all programs and loses what their disk has not made durable."""
        self.kill()
        lose_power(self.folder / "data", self.folder / "durable", source)

    def wipe(self) -> None:
        """Empties the disk of a machine that is off."""
        for name in ("data", "durable"):
            shutil.rmtree(self.folder / name, ignore_errors=True)
        self.configure(is_first_start=False)

    def ended_roles(self) -> list[str]:
        """Returns the programs that have ended although the machine is on."""
        if not self.is_on:
            return []
        return [role for role, process in self.processes.items() if process.poll() is not None]

    def _settings_text(self, role: str, is_first_start: bool) -> str:
        shape = self.shape
        data = f'DataDir = "{self.folder}/data"' if self.has_disk and role == "control" else ""
        zones = "\n".join(f'zone-{number} = "region"' for number in range(len(shape.disks)))
        seeds = ", ".join(f'"{seed}:{CONTROL}"' for seed in self.seeds)
        return f"""
NodeName = "{self.host}"
Role = "{role}"
MachineClass = "front"
Ip = "{self.host}"
Zone = "{self.zone}"
Region = "region"
InternalPorts = [{FIRST_INNER_PORT}, {LAST_INNER_PORT}]
Seeds = [{seeds}]
Bootstrap = {"true" if is_first_start else "false"}
Contracts = ["base", "drain", "config", "recover", "sched", "tenants"]
InTolerance = {"true" if self.has_disk else "false"}
{data}
[Zones]
{zones}
[Listen]
Front = "{self.host}:{CLIENTS}"
Ready = "{self.host}:{READINESS}"
Control = "{self.host}:{CONTROL}"
[FaultTolerance]
Machines = {shape.lost_disks}
[Bounds]
MaxHoldMs = 6000
StopMs = 200
ReclaimMs = 2700
GraceS = {shape.grace_s}
"""
