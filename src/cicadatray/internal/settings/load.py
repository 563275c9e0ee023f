"""Reading a settings file."""

from pathlib import Path

import msgspec

from cicadatray.internal.settings.agent_settings import AgentSettings
from cicadatray.internal.settings.control_settings import ControlSettings
from cicadatray.internal.settings.entry_settings import EntrySettings
from cicadatray.internal.settings.errors import SettingsError

DaemonSettings = ControlSettings | EntrySettings | AgentSettings


def load_settings(path: Path) -> DaemonSettings:
    """Reads and checks the settings of one process.

    Raises:
        SettingsError: the file cannot be read or is faulty.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=DaemonSettings)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError(f"{path}: {error}") from error


def read_secret(settings: DaemonSettings) -> bytes:
    """Reads the cluster secret.

    Raises:
        SettingsError: the file cannot be read.
    """
    try:
        return Path(settings.secret_file).read_bytes().strip()
    except OSError as error:
        raise SettingsError(f"secret_file {settings.secret_file}: {error.strerror}") from error
