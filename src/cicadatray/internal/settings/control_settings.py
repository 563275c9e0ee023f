"""Settings of a control instance."""

from cicadatray.internal.settings.common import (
    NonNegativeInteger,
    NonNegativeNumber,
    OptionalSha256,
    PathText,
    PositiveNumber,
    SettingsStruct,
)
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import DEFAULT_RULES, SchedulingRules


class ControlSettings(SettingsStruct, frozen=True, kw_only=True, tag="control"):
    """A control instance stores the replicated log on its own disk."""

    data_folder: PathText
    """Folder of the replicated log, votes and snapshots, on a disk of the instance."""
    bootstrap: bool = False
    """Forms a new group if the data folder is empty; true only for the deployment's first start."""
    group_size: NonNegativeInteger = 0
    """Number of voters that the leader maintains, replacing lost ones; 0 leaves it to an operator.

    2 f + 1 voters tolerate the loss of f disks at once; further instances are learners."""
    election_timeout_s: PositiveNumber = 1.0
    """Minimum time, in seconds, without a leader before an instance may start an election."""
    longest_task_lease_s: PositiveNumber = 6.0
    """Maximum duration, in seconds, of the leases that the workers of task graphs grant."""
    urgent_start_s: PositiveNumber = 2.5
    """Time limit, in seconds, for starting an urgent task graph within its account's guarantee."""
    longest_task_stop_s: PositiveNumber = 0.4
    """Maximum time, in seconds, that a worker takes to stop a task."""
    evacuation_start_limit_s: NonNegativeNumber = 0.0
    """Maximum time, in seconds, from the confirmation of an evacuation to the last start there.

    Agents may send starts for half of it after their latest contact with control; 0 sets no limit.
    """
    evacuation_drain_s: PositiveNumber = 60.0
    """Time, in seconds, after the order to evacuate within which tasks there may still end.

    Tasks that are expected to end later are restarted elsewhere at once."""
    scheduling_rules: SchedulingRules = DEFAULT_RULES
    """Rules of placement for task graphs."""
    bootstrap_operator_sha256: OptionalSha256 = ""
    """SHA-256 digest, in hexadecimal, of the credential that may set the initial accounts."""
