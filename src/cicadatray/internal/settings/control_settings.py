"""Settings of a control instance."""

from cicadatray.internal.settings.common import SettingsStruct


class ControlSettings(SettingsStruct, frozen=True, kw_only=True, tag="control"):
    """`data_folder` holds the replicated log; `bootstrap` forms a new group on an empty folder."""

    data_folder: str
    bootstrap: bool = False
    bootstrap_operator_sha256: str = ""
