"""Errors of the replicated log."""


class ReplicationError(Exception):
    """Any failure of the replicated log."""


class NotLeaderError(ReplicationError):
    """This member does not lead the group; nothing was appended and nothing may be read.

    `leader_id` names the leader as far as it is known.
    """

    def __init__(self, leader_id: str | None, reason: str = "not the leader") -> None:
        super().__init__(f"{reason}; leader: {leader_id or 'unknown'}")
        self.leader_id = leader_id


class ProposalUnknownError(ReplicationError):
    """The command was appended here and may still be committed."""


class ProposalRefusedError(ReplicationError):
    """The command is too large or too many commands are in progress; nothing was appended."""


class MembershipChangeError(ReplicationError):
    """A membership change is not possible now, or its outcome is not known."""


class StorageError(ReplicationError):
    """The data folder cannot be used."""


class StorageDamagedError(StorageError):
    """Data that was acknowledged is damaged or missing; the member must not serve it.

    Recovery: clear the data folder and add the member again as a learner.
    """


class MessageDecodeError(ReplicationError):
    """Bytes received from another member are not a valid message."""


class ReplicaTransportError(ReplicationError):
    """A transport could not deliver a message or got no reply in time."""


class PeerRefusedError(ReplicationError):
    """The other member does not accept messages for this identity or group."""


class ReplicaStoppedError(ReplicationError):
    """The replica was stopped or ended after a failure."""
