"""The settings of the replicated log on a control instance."""

from cicadatray.internal.settings.control_settings import ControlSettings
from cicadatray.replication.member import Member
from cicadatray.replication.replica_settings import ReplicaSettings

# Leaves time for one lost message before a member starts an election.
CALL_TIMEOUT_SHARE = 0.4


def replica_settings(settings: ControlSettings) -> ReplicaSettings:
    """Returns the settings of the replicated log for a control instance."""
    members = tuple(Member(m.name, m.host, m.port) for m in settings.control)
    return ReplicaSettings(
        member_id=settings.name,
        data_folder=settings.data_folder,
        initial_members=members,
        bootstrap=settings.bootstrap,
        data_centre=settings.data_centre,
        group_size=settings.group_size,
        election_timeout_min_s=settings.election_timeout_s,
        election_timeout_max_s=settings.election_timeout_s * 2,
        heartbeat_s=settings.election_timeout_s / 4,
        call_timeout_s=settings.election_timeout_s * CALL_TIMEOUT_SHARE,
    )
