"""Starts the daemon of the role that the settings select."""

import argparse
import asyncio
import logging
import signal
import sys
from pathlib import Path
from typing import Protocol

import structlog

from cicadatray.internal.boot_time_loop import BootTimeLoop
from cicadatray.internal.observability.logging import configure_logging
from cicadatray.internal.observability.state_dump import StateDump
from cicadatray.internal.settings.agent_settings import AgentSettings
from cicadatray.internal.settings.control_settings import ControlSettings
from cicadatray.internal.settings.errors import SettingsError
from cicadatray.internal.settings.load import DaemonSettings, load_settings, read_secret
from cicadatray.internal.wire.source_address import SOURCE_ADDRESS
from cicadatray.internal.wire.traffic import TRAFFIC

SETTINGS_EXIT_CODE = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

log = structlog.get_logger(__name__)


class RoleDaemon(Protocol):
    """The interface of the daemon of a role."""

    dump: StateDump

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set and then drains."""

    def abandon(self) -> None:
        """Answers all work in progress immediately, without further waiting."""


def build_daemon(settings: DaemonSettings) -> RoleDaemon:
    """Returns the daemon of the role. Each role imports only the libraries that it uses."""
    secret = read_secret(settings)
    if isinstance(settings, ControlSettings):
        from cicadatray.internal.control.control_daemon import ControlDaemon

        return ControlDaemon(settings, secret)
    if isinstance(settings, AgentSettings):
        from cicadatray.internal.agent.agent_daemon import AgentDaemon

        return AgentDaemon(settings, secret)
    from cicadatray.internal.entry.entry_daemon import EntryDaemon

    return EntryDaemon(settings, secret)


async def serve(settings: DaemonSettings) -> None:
    """Runs until the daemon has drained after a stop signal; a second signal ends the draining."""
    stop = asyncio.Event()
    daemon = build_daemon(settings)

    def on_stop_signal() -> None:
        if stop.is_set():
            daemon.abandon()
        stop.set()

    loop = asyncio.get_running_loop()
    daemon.dump.register("traffic", lambda: TRAFFIC)
    daemon.dump.install_signal(loop)
    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, on_stop_signal)
    await daemon.run(stop)
    # Closing the loop removes the handlers, and a further signal would end the process by default.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)


def main() -> None:
    """Runs `cicadatrayd`."""
    parser = argparse.ArgumentParser(prog="cicadatrayd", description="Runs one cicadatray process.")
    parser.add_argument("--settings", type=Path, required=True, help="JSON settings file")
    arguments = parser.parse_args()
    try:
        settings = load_settings(arguments.settings)
        role = type(settings).__struct_config__.tag
        configure_logging(settings.logging, str(role), settings.name)
        logging.getLogger("transitions").setLevel(logging.WARNING)
        SOURCE_ADDRESS.bind(settings.listen.host)
        with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
            runner.run(serve(settings))
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(SETTINGS_EXIT_CODE)


if __name__ == "__main__":
    main()
