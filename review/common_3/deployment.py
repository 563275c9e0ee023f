"""Starts the programs of deploy/system.toml as processes on loopback addresses."""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ROLES = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))["roles"]
# Set by a case that runs without its disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.3
POOL = "pool"
HOST = "jobs.example"
PREFIX = "/fast/"
KEY = "k1"
# The part of a job's steps that the record holds.
LOGGED_LENGTH = 200


class CannotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, path):
        self.file = Path(path).open("w", encoding="utf-8")
        self.began_s = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.began_s:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class Machine:
    """One machine with its address and one process for each of its roles."""

    def __init__(self, deployment, name, host, zone, roles, has_disk):
        self.deployment = deployment
        self.name = name
        self.host = host
        self.zone = zone
        self.roles = roles
        self.has_disk = has_disk
        self.processes = {}

    def start(self, is_first_start=False):
        """Starts every role that does not run."""
        for role in self.roles:
            process = self.processes.get(role)
            if process is None or process.poll() is not None:
                self._start_role(role, is_first_start)

    def _start_role(self, role, is_first_start):
        folder = self.deployment.folder / self.name
        folder.mkdir(exist_ok=True)
        settings = folder / f"{role}.toml"
        settings.write_text(self._settings(role, is_first_start), encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CICADATRAY_CONFIG": str(settings),
        }
        with (folder / f"{role}.log").open("ab") as log:
            self.processes[role] = subprocess.Popen(
                ROLES[role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Sends a signal to every process that runs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(number)

    def kill(self):
        """Kills all processes."""
        self.send(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(30)

    def ended(self):
        """Returns the roles whose processes have ended."""
        return [role for role, process in self.processes.items() if process.poll() is not None]

    def log_text(self, role):
        path = self.deployment.folder / self.name / f"{role}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    def _settings(self, role, is_first_start):
        deployment = self.deployment
        ports = deployment.ports
        zones = "\n".join(f'{zone} = "region-1"' for zone in deployment.zones)
        seeds = ", ".join(f'"{host}:{ports["control"]}"' for host in deployment.seeds)
        has_disk = self.has_disk and role == "control"
        data = f'DataDir = "{deployment.folder / self.name}/data"' if has_disk else ""
        bounds = "\n".join(f"{name} = {value}" for name, value in deployment.bounds.items())
        served = {"control": "control", "entry": "front", "agent": "side"}[role]
        return f"""
NodeName = "{self.name}"
Role = "{role}"
MachineClass = "{"side" if role == "agent" else "front"}"
Serves = ["{served}"]
Ip = "{self.host}"
Zone = "{self.zone}"
Region = "region-1"
InternalPorts = [{ports["inner"]}, {ports["inner"] + 15}]
Seeds = [{seeds}]
Bootstrap = {"true" if is_first_start else "false"}
InTolerance = {"true" if self.has_disk else "false"}
{data}
Discovery = "local"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base", "drain", "config", "cost", "recover", "sched", "tenants"]
config_mode = "highest"
Orders = "call"
[Zones]
{zones}
[Listen]
Front = "{self.host}:{ports["front"]}"
Ready = "{self.host}:{ports["ready"]}"
Control = "{self.host}:{ports["control"]}"
[Limits]
CpuShare = 0.717
Cores = 3
MemoryMb = 300
MaxFds = 4096
LinkMbps = 1000.0
DiskMb = 128
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
{bounds}
"""


class Deployment:
    """Three control instances with a disk, each beside an entry, and machines with an agent.

    The bounds are those of affiche-sched.
    """

    def __init__(self, record, agents, fronts=3):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        # PIDs of runs at the same time differ, and so do their networks.
        self.network = f"127.{100 + os.getpid() % 100}.{random.randrange(1, 250)}"
        self.ports = self._find_ports()
        self.zones = ["zone-1", "zone-2", "zone-3"]
        self.bounds = {
            "SeedLagS": 3,
            "AddrReuseS": 2,
            "ContactMs": 3000,
            "AckTimeoutMs": 4000,
            "CatchUpS": 4,
            "DrainMs": 2000,
            "GraceS": 6,
            "LossSlackMs": 200,
            "ConfigApplyMs": 2000,
            "RollbackSlackMs": 250,
            "OuterMs": 5000,
            "RecoveryS": 12,
            "MaxHoldMs": 6000,
            "StopMs": 200,
            "GangWaitMs": 3000,
            "cancel_ms": 3000,
            "visible_ms": 3000,
            "early_ms": 250,
            "finish_s": 14,
            "status_s": 120,
            "ReclaimMs": 2700,
        }
        self.fronts = [
            Machine(
                self,
                f"front-{number + 1}",
                f"{self.network}.{number + 1}",
                self.zones[number % 3],
                ("control", "entry"),
                True,
            )
            for number in range(fronts)
        ]
        self.sides = [
            Machine(
                self,
                f"side-{number + 1}",
                f"{self.network}.{100 + number}",
                self.zones[number % 3],
                ("agent",),
                False,
            )
            for number in range(agents)
        ]
        self.seeds = [machine.host for machine in self.fronts[:3]]
        self.version = 0
        self.log_paths = []

    def _find_ports(self):
        for _ in range(50):
            base = random.randrange(20_000, 30_000)
            numbers = [base, base + 1, *range(base + 16, base + 20), 9464, 9465, 9466]
            if all(self._is_free(number) for number in numbers):
                return {
                    "inner": base,
                    "front": base + 16,
                    "ready": base + 17,
                    "control": base + 18,
                    "app": base + 19,
                }
        raise CannotRunError("no free ports")

    def _is_free(self, port):
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                listener.bind((f"{self.network}.1", port))
            except OSError:
                return False
            return True

    def start(self):
        """Starts all machines for the first time."""
        for machine in (*self.fronts, *self.sides):
            machine.start(is_first_start=True)
        self.record.write(f"started {len(self.fronts)} fronts and {len(self.sides)} sides")

    async def restart(self, machine):
        """Starts the ended processes of a machine again, after the delay of the platform."""
        await asyncio.sleep(RESTART_DELAY_S)
        machine.start()

    async def set_configuration(self, document, limit_s=30.0):
        """Sends a configuration until it is acknowledged."""
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            for machine in self.fronts:
                address = (machine.host, self.ports["control"])
                status, _ = await call(
                    "PUT", address, "/cicadatray/config", document, timeout_s=1.0
                )
                if status == 200:
                    self.record.write(f"configuration {document['Version']} acknowledged")
                    return
            await asyncio.sleep(0.2)
        raise CannotRunError("no configuration was acknowledged")

    async def wait_until_ready(self, limit_s=20.0):
        """Waits until all entries report themselves ready."""
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            states = [
                await call("GET", (m.host, self.ports["ready"]), "/cicadatray/ready")
                for m in self.fronts
            ]
            if all(status == 200 for status, _ in states):
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the entries are not ready")

    def close(self):
        """Kills all processes and removes all files."""
        for machine in (*self.fronts, *self.sides):
            machine.kill()
        if "KEEP" in os.environ:
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version=1, **changes):
    """Returns a configuration with one queue, one pool and one account."""
    route = {
        "Name": "fast",
        "Host": HOST,
        "PathPrefix": PREFIX,
        "Kind": "unsafe",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 1000,
        "Priority": 1,
        "Service": POOL,
        "MaxAttempts": 3,
        "Stretch": 3.0,
        "Public": False,
    }
    service = {
        "Name": POOL,
        "HealthPath": "/health",
        "MaxConns": 64,
        "Protocol": "h1",
        "Tls": False,
        "AdmissionCheck": False,
        "Standby": False,
    }
    return {
        "Version": version,
        "Routes": [{**route, **changes}],
        "Services": [service],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "north", "ApiKeys": [KEY], "Priority": 1, "Guaranteed": {"Gpus": 4}}],
    }


async def call(method, address, path, document=None, headers=None, timeout_s=3.0):
    """Sends one request on a new connection; returns the status, 0 without one, and the body."""
    import json

    body = json.dumps(document).encode() if document is not None else b""
    fields = {"Host": HOST, "Content-Type": "application/json", **(headers or {})}
    fields["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items())
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(head.encode() + b"\r\n" + body)
                answer_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                answer = dict(line.lower().split(": ", 1) for line in answer_head[1:] if line)
                content = await reader.readexactly(int(answer.get("content-length", "0")))
            finally:
                writer.close()
        return int(answer_head[0].split(" ")[1]), json.loads(content) if content else None
    except (OSError, EOFError, TimeoutError, ValueError, asyncio.LimitOverrunError):
        return 0, None


class Client:
    """Submits, reads and cancels jobs at the entries."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.record = deployment.record

    async def request(self, method, machine, path, document=None):
        headers = {"Authorization": f"Token {KEY}", "Deadline-Ms": "3000"}
        address = (machine.host, self.deployment.ports["front"])
        return await call(method, address, path, document, headers)

    async def submit(self, job_id, steps, spec="review", **fields):
        """Submits a job as a client does; returns whether it was accepted."""
        for machine in [*self.deployment.fronts, self.deployment.fronts[0]]:
            document = {"Spec": spec, "Steps": steps, **fields}
            status, body = await self.request("POST", machine, PREFIX + job_id, document)
            text = str(steps)[:LOGGED_LENGTH]
            self.record.write(f"POST {job_id} at {machine.name}: {status} {body} {text}")
            if 200 <= status < 300:
                return True
            if status not in (0, 502, 504, 503, 429):
                return False
            await asyncio.sleep(0.3)
        return False

    async def read(self, job_id, machine=None):
        """Returns the status and the state of a job at one entry."""
        machine = machine or self.deployment.fronts[0]
        status, body = await self.request("GET", machine, PREFIX + job_id)
        state = body.get("State", "") if status == 200 and body else ""
        self.record.write(f"GET {job_id} at {machine.name}: {status} {state}")
        return status, state

    async def wait_for(self, job_id, states, limit_s):
        """Reads a job twice a second until it has one of the states; returns the last state."""
        deadline_s = time.monotonic() + limit_s
        while True:
            _, state = await self.read(job_id)
            if state in states or time.monotonic() > deadline_s:
                return state
            await asyncio.sleep(0.5)
