"""Settings of a control instance."""

from cicadatray.internal.settings.common import OptionalSha256, PathText, SettingsStruct


class ControlSettings(SettingsStruct, frozen=True, kw_only=True, tag="control"):
    """A control instance keeps the replicated log on its own disk."""

    data_folder: PathText
    """Folder of the replicated log, votes and snapshots; on a disk of the instance."""
    bootstrap: bool = False
    """Forms a new group when the data folder is empty; true only for the first start ever."""
    bootstrap_operator_sha256: OptionalSha256 = ""
    """SHA-256 digest, in hexadecimal, of the credential that may set the first accounts."""
