"""Messages between the members of a group."""

import msgspec

from cicadatray.replication.errors import MessageDecodeError
from cicadatray.replication.limits import MESSAGE_LIMIT_BYTES
from cicadatray.replication.membership import Membership
from cicadatray.replication.snapshot import SnapshotPosition


class ReplicaMessageStruct(msgspec.Struct, frozen=True, tag=True, kw_only=True, array_like=True):
    """Base of all messages; the class name is the tag.

    `identity` is that of the sender's data folder, `term` the sender's term.
    """

    identity: str
    term: int


class GroupRequestStruct(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Base of requests inside a group.

    The receiver refuses a request for another group, or for another data folder than its own
    (`target_identity`): a member that lost its disk neither votes nor counts as the old one.
    """

    group_id: str
    sender_id: str
    target_identity: str


class VoteRequest(GroupRequestStruct, frozen=True, kw_only=True):
    """Asks for a vote in `term`, or with `is_pre_vote` whether it would be given.

    `is_hand_over` tells that the leader itself asked the sender to take over.
    """

    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_hand_over: bool = False


class VoteReply(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Answer to `VoteRequest`."""

    is_granted: bool


class AppendRequest(GroupRequestStruct, frozen=True, kw_only=True):
    """Entries behind `prev_index`; without entries a heartbeat. `records` has the disk format."""

    prev_index: int
    prev_term: int
    commit_index: int
    records: bytes = b""


class AppendReply(ReplicaMessageStruct, frozen=True, kw_only=True):
    """`match_index` is the last entry known to agree, or where to try next when not accepted."""

    is_accepted: bool
    match_index: int


class SnapshotRequest(GroupRequestStruct, frozen=True, kw_only=True):
    """One chunk of a snapshot, beginning at `offset`."""

    position: SnapshotPosition
    offset: int
    chunk: bytes


class SnapshotReply(ReplicaMessageStruct, frozen=True, kw_only=True):
    """`next_offset` is the chunk to send next; `is_installed` ends the transfer."""

    next_offset: int
    is_installed: bool


class CampaignRequest(GroupRequestStruct, frozen=True, kw_only=True):
    """The leader asks the receiver to campaign at once and take over."""


class CampaignReply(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Answer to `CampaignRequest`."""

    is_accepted: bool


class FormationRequest(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Asks a member for its identity; with a group identifier also to join that new group.

    The coordinator completes the formation only when all initial members hold the same proposal.
    """

    group_id: str = ""
    membership: Membership = Membership()
    is_complete: bool = False


class FormationReply(ReplicaMessageStruct, frozen=True, kw_only=True):
    """`is_willing` tells that the member may still take part in the formation of a group.

    `data_centre` is where the member runs; others know only its address.
    """

    group_id: str
    pending_group_id: str
    is_willing: bool
    data_centre: str = ""


class Refusal(ReplicaMessageStruct, frozen=True, kw_only=True):
    """The receiver has another identity, belongs to another group, or has stopped."""

    reason: str


ReplicaMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | CampaignRequest
    | CampaignReply
    | FormationRequest
    | FormationReply
    | Refusal
)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[ReplicaMessage] = msgspec.msgpack.Decoder(ReplicaMessage)


def encode_replica_message(message: ReplicaMessage) -> bytes:
    """Returns the bytes of a message."""
    return _encoder.encode(message)


def decode_replica_message(data: bytes) -> ReplicaMessage:
    """Returns the message.

    Raises:
        MessageDecodeError: the bytes are longer than `MESSAGE_LIMIT_BYTES` or not a message.
    """
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise MessageDecodeError(f"{len(data)} bytes, at most {MESSAGE_LIMIT_BYTES} are allowed")
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise MessageDecodeError(f"undecodable message: {error}") from error
