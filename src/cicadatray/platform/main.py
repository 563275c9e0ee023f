"""Entry point of all processes on the platform."""

import asyncio
import importlib
import logging
import os
import signal
import sys
from pathlib import Path

import structlog

from cicadatray.internal.boot_time_loop import BootTimeLoop
from cicadatray.internal.daemon.supervisor import Supervisor
from cicadatray.internal.entry.http_server import HttpServer
from cicadatray.internal.observability.bounded_log_stream import BoundedLogStream
from cicadatray.internal.observability.graph_metrics import log_lines_dropped
from cicadatray.internal.observability.logging import configure_logging
from cicadatray.internal.observability.metrics_server import metrics_application
from cicadatray.internal.settings.common import LoggingSettings
from cicadatray.internal.wire.source_address import SOURCE_ADDRESS
from cicadatray.platform.errors import PlatformSettingsError
from cicadatray.platform.roles import role_factories
from cicadatray.platform.settings import PlatformSettings, load_platform_settings
from cicadatray.platform.settings_watch import SettingsWatch

SETTINGS_VARIABLE = "CICADATRAY_CONFIG"
SETTINGS_EXIT_CODE = 2
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# Also listed in deploy/system.toml. Roles on the same instance need different ports.
METRICS_PORTS = {"control": 9464, "entry": 9465, "agent": 9466}
ROLE_MODULES = {
    "control": "cicadatray.platform.control_role",
    "entry": "cicadatray.platform.entry_role",
    "agent": "cicadatray.platform.agent_role",
}

log = structlog.get_logger(__name__)


async def serve(settings: PlatformSettings, path: Path, stream: BoundedLogStream) -> None:
    """Runs the role until SIGTERM or SIGINT; SIGHUP reloads the settings."""
    # Imported here so that a process loads only the libraries of its role.
    importlib.import_module(ROLE_MODULES[settings.role])
    program = role_factories[settings.role](settings)
    stop = asyncio.Event()

    def on_stop() -> None:
        log.info("stopping")
        stop.set()

    watch = SettingsWatch(path, settings, program.reload)
    metrics = HttpServer(
        metrics_application(
            program.metrics, lambda: stream.count_dropped(log_lines_dropped(program.metrics))
        ),
        settings.ip,
        METRICS_PORTS[settings.role],
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, on_stop)
    loop.add_signal_handler(signal.SIGINT, on_stop)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    log.info(
        "started",
        ip=settings.ip,
        first_start=settings.is_bootstrap,
        seeds=[seed.host for seed in settings.seeds],
    )
    await metrics.start()
    supervisor = Supervisor(program.metrics)
    supervisor.start("settings watch", watch.run)
    await program.run(stop)
    await supervisor.stop()
    await metrics.stop()
    log.info("stopped")


def main() -> None:
    """Loads the settings and runs the role that they name."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = load_platform_settings(path)
        if settings.role not in ROLE_MODULES:
            raise PlatformSettingsError(f"unknown role {settings.role}")
        stream = BoundedLogStream(sys.stdout.fileno())
        configure_logging(LoggingSettings(), settings.role, settings.name, stream)
        for library in ("transitions", "uvicorn"):
            logging.getLogger(library).setLevel(logging.WARNING)
        SOURCE_ADDRESS.bind(settings.ip)
        with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
            runner.run(serve(settings, path, stream))
            # Closing the loop removes the handlers, and a further signal would end the process by
            # default.
            signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    except PlatformSettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(SETTINGS_EXIT_CODE)
