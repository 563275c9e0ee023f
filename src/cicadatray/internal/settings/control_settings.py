"""Settings of a control instance."""

from cicadatray.internal.settings.common import (
    NonNegativeInteger,
    OptionalSha256,
    PathText,
    PositiveNumber,
    SettingsStruct,
)


class ControlSettings(SettingsStruct, frozen=True, kw_only=True, tag="control"):
    """A control instance keeps the replicated log on its own disk."""

    data_folder: PathText
    """Folder of the replicated log, votes and snapshots; on a disk of the instance."""
    bootstrap: bool = False
    """Forms a new group when the data folder is empty; true only for the first start ever."""
    group_size: NonNegativeInteger = 0
    """Voters that the leader keeps by itself, replacing lost ones; 0 leaves that to an operator.

    2 f + 1 voters bear the loss of f disks at once; more instances than that keep copies."""
    election_timeout_s: PositiveNumber = 1.0
    """Seconds without a leader after which an instance may stand for election at the earliest."""
    longest_task_lease_s: PositiveNumber = 6.0
    """Longest lease, in seconds, that the workers of task graphs grant."""
    urgent_start_s: PositiveNumber = 2.5
    """Seconds within which an urgent task graph inside its account's guarantee has begun."""
    longest_task_stop_s: PositiveNumber = 0.4
    """Longest time, in seconds, that a worker takes to stop a task."""
    bootstrap_operator_sha256: OptionalSha256 = ""
    """SHA-256 digest, in hexadecimal, of the credential that may set the first accounts."""
