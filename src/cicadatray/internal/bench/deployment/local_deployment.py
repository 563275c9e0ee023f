"""Writes the settings of a local deployment, and starts and stops its processes."""

import hashlib
import secrets
from pathlib import Path

import msgspec

from cicadatray.internal.bench.deployment.deployment_plan import DeploymentPlan
from cicadatray.internal.bench.deployment.ports import HOST, free_ports
from cicadatray.internal.bench.deployment.process_handle import ProcessHandle
from cicadatray.internal.settings.agent_settings import (
    AgentSettings,
    EndpointSettings,
    WorkerSettings,
)
from cicadatray.internal.settings.common import Address, ControlMember, LoggingSettings
from cicadatray.internal.settings.control_settings import ControlSettings
from cicadatray.internal.settings.entry_settings import EntrySettings
from cicadatray.internal.settings.load import DaemonSettings

DAEMON_MODULE = "cicadatray.internal.daemon.main"
ENDPOINT_MODULE = "cicadatray.internal.standins.endpoint"
WORKER_MODULE = "cicadatray.internal.standins.worker"
SECRET_BYTES = 32
# Each control instance has its own loopback address, by which a forwarder identifies it.
FIRST_CONTROL_HOST = 10
DATA_CENTRES = ("centre-a", "centre-b", "centre-c")


class LocalDeployment:
    """Runs all processes of a deployment. `folder` holds settings, data, journals and logs."""

    __slots__ = (
        "control_members",
        "folder",
        "handles",
        "http_ports",
        "listen_addresses",
        "operator_credential",
        "plan",
    )

    def __init__(self, folder: Path, plan: DeploymentPlan) -> None:
        self.folder = folder
        self.plan = plan
        self.handles: dict[str, ProcessHandle] = {}
        self.operator_credential = secrets.token_hex(SECRET_BYTES)
        ports = free_ports(2 * plan.controls + plan.entries)
        self.listen_addresses = [
            Address(f"127.0.1.{FIRST_CONTROL_HOST + i}", ports[i]) for i in range(plan.controls)
        ]
        self.http_ports = ports[2 * plan.controls :]
        advertised = [Address(HOST, port) for port in ports[plan.controls : 2 * plan.controls]]
        advertised = advertised if plan.forward_control else self.listen_addresses
        self.control_members = tuple(
            ControlMember(f"control-{i}", address.host, address.port)
            for i, address in enumerate(advertised)
        )
        self._prepare_folder()
        self._add_controls()
        self._add_entries()
        self._add_endpoints()
        self._add_workers()

    def start(self) -> None:
        """Starts every process."""
        for handle in self.handles.values():
            handle.start()

    def stop(self) -> dict[str, int]:
        """Stops every process, entries first, and returns the exit codes."""
        order = ("entry", "agent", "control", "endpoint", "worker")
        names = sorted(self.handles, key=lambda name: order.index(name.split("-")[0]))
        return {name: self.handles[name].stop() for name in names}

    def kill(self) -> None:
        """Kills every process that is still running."""
        for handle in self.handles.values():
            if handle.is_running():
                handle.kill()

    def entry_urls(self) -> list[str]:
        """Returns the HTTP addresses of the entries."""
        return [f"http://{HOST}:{port}" for port in self.http_ports]

    def journal_paths(self, kind: str) -> list[Path]:
        """Returns the journals of `endpoint` or `worker` stand-ins."""
        return sorted((self.folder / "journals").glob(f"{kind}-*.jsonl"))

    def _prepare_folder(self) -> None:
        for name in ("settings", "journals", "logs", "data"):
            (self.folder / name).mkdir(parents=True, exist_ok=True)
        (self.folder / "secret").write_text(secrets.token_hex(SECRET_BYTES))

    def _add_controls(self) -> None:
        digest = hashlib.sha256(self.operator_credential.encode()).hexdigest()
        for position, member in enumerate(self.control_members):
            settings = ControlSettings(
                name=member.name,
                data_centre=DATA_CENTRES[position % len(DATA_CENTRES)],
                listen=self.listen_addresses[position],
                secret_file=str(self.folder / "secret"),
                control=self.control_members,
                logging=LoggingSettings(),
                dump_folder=str(self.folder / "logs"),
                data_folder=str(self.folder / "data" / member.name),
                bootstrap=True,
                bootstrap_operator_sha256=digest,
            )
            self._add_daemon(settings)

    def _add_entries(self) -> None:
        for position, port in enumerate(self.http_ports):
            settings = EntrySettings(
                name=f"entry-{position}",
                data_centre=DATA_CENTRES[position % len(DATA_CENTRES)],
                listen=Address(HOST, free_ports(1)[0]),
                secret_file=str(self.folder / "secret"),
                control=self.control_members,
                dump_folder=str(self.folder / "logs"),
                http=Address(HOST, port),
            )
            self._add_daemon(settings)

    def _add_endpoints(self) -> None:
        ports = free_ports(self.plan.endpoints)
        for position, port in enumerate(ports):
            name = f"endpoint-{position}"
            slots = str(self.plan.slots)
            self._add_standin(name, ENDPOINT_MODULE, port, ["--slots", slots])
            endpoint = EndpointSettings(self.plan.service, Address(HOST, port), self.plan.slots)
            self._add_agent(f"agent-e{position}", position, endpoint, None)

    def _add_workers(self) -> None:
        ports = free_ports(self.plan.workers)
        for position, port in enumerate(ports):
            name = f"worker-{position}"
            accelerators = str(self.plan.accelerators)
            self._add_standin(name, WORKER_MODULE, port, ["--accelerators", accelerators])
            worker = WorkerSettings(name, Address(HOST, port))
            self._add_agent(f"agent-w{position}", position, None, worker)

    def _add_agent(
        self,
        name: str,
        position: int,
        endpoint: EndpointSettings | None,
        worker: WorkerSettings | None,
    ) -> None:
        settings = AgentSettings(
            name=name,
            data_centre=DATA_CENTRES[position % len(DATA_CENTRES)],
            listen=Address(HOST, free_ports(1)[0]),
            secret_file=str(self.folder / "secret"),
            control=self.control_members,
            dump_folder=str(self.folder / "logs"),
            endpoint=endpoint,
            worker=worker,
        )
        self._add_daemon(settings)

    def _add_daemon(self, settings: DaemonSettings) -> None:
        path = self.folder / "settings" / f"{settings.name}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))
        self._add_process(settings.name, DAEMON_MODULE, ["--settings", str(path)])

    def _add_standin(self, name: str, module: str, port: int, options: list[str]) -> None:
        journal = self.folder / "journals" / f"{name}.jsonl"
        arguments = ["--port", str(port), "--name", name, "--journal", str(journal), *options]
        self._add_process(name, module, arguments)

    def _add_process(self, name: str, module: str, arguments: list[str]) -> None:
        log_path = self.folder / "logs" / f"{name}.log"
        self.handles[name] = ProcessHandle(name, module, arguments, log_path)
