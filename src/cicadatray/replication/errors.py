"""Errors of the replicated log."""


class ReplicationError(Exception):
    """Base class of all errors of the replicated log."""


class NotLeaderError(ReplicationError):
    """This member is not the leader; nothing was appended and nothing may be read.

    `leader_id` is the name of the leader, or None when this member does not know it.
    """

    def __init__(self, leader_id: str | None, reason: str = "not the leader") -> None:
        super().__init__(f"{reason}; leader: {leader_id or 'unknown'}")
        self.leader_id = leader_id


class ProposalUnknownError(ReplicationError):
    """The command was appended to this member's log and may still be committed."""


class ProposalRefusedError(ReplicationError):
    """The command or the backlog of commands is too large; nothing was appended."""


class MembershipChangeError(ReplicationError):
    """A membership change is not possible now, or its outcome is unknown."""


class StorageError(ReplicationError):
    """The data folder cannot be used."""


class StorageDamagedError(StorageError):
    """Acknowledged data is damaged or missing, and the member must not serve it.

    To recover, clear the data folder and add the member again as a learner.
    """


class MessageDecodeError(ReplicationError):
    """Bytes received from another member are not a valid message."""


class ReplicaTransportError(ReplicationError):
    """The transport could not deliver a message, or no reply arrived in time."""


class NoReplicaError(ReplicaTransportError):
    """The process at the member's address holds no replica."""


class PeerRefusedError(ReplicationError):
    """The other member refused a request or contradicts what this member knows about it.

    Its identity differs from the one in the membership, or it lacks an acknowledged entry.
    """


class ReplicaStoppedError(ReplicationError):
    """The replica was not started, was stopped, or stopped itself after a failure."""
