"""Messages between the members of a group."""

import msgspec

from cicadatray.replication.errors import MessageDecodeError
from cicadatray.replication.limits import MESSAGE_LIMIT_BYTES
from cicadatray.replication.membership import Membership
from cicadatray.replication.snapshot import SnapshotPosition


class ReplicaMessageStruct(msgspec.Struct, frozen=True, tag=True, kw_only=True, array_like=True):
    """Base class of all messages; the class name is the tag on the wire.

    `identity` is the identity of the sender's data folder, `term` the sender's current term.
    """

    identity: str
    term: int


class GroupRequestStruct(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Base class of requests between members of the same group.

    The receiver refuses a request for another group, or for another data folder than its own
    (`target_identity`), so that a member that has lost its disk cannot vote or acknowledge entries
    in place of the old one.
    """

    group_id: str
    sender_id: str
    target_identity: str


class VoteRequest(GroupRequestStruct, frozen=True, kw_only=True):
    """Requests a vote in `term`, or with `is_pre_vote` asks whether it would be granted.

    `is_leadership_transfer` is set when the leader has asked the sender to campaign.
    """

    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_leadership_transfer: bool = False


class VoteReply(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Reply to `VoteRequest`."""

    is_granted: bool


class AppendRequest(GroupRequestStruct, frozen=True, kw_only=True):
    """Sends the entries after `prev_index`; without entries it is a heartbeat.

    `records` holds the entries in the format of the log on disk.
    """

    prev_index: int
    prev_term: int
    commit_index: int
    records: bytes = b""


class AppendReply(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Reply to `AppendRequest`.

    `match_index` is the last entry known to match the leader's log. If the request was not
    accepted, it is the next `prev_index` for the leader to try.
    """

    is_accepted: bool
    match_index: int


class SnapshotRequest(GroupRequestStruct, frozen=True, kw_only=True):
    """Sends one chunk of a snapshot, which starts at byte `offset`."""

    position: SnapshotPosition
    offset: int
    chunk: bytes


class SnapshotReply(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Reply to `SnapshotRequest`.

    `next_offset` is the offset of the next chunk to send; `is_installed` ends the transfer.
    """

    next_offset: int
    is_installed: bool


class CampaignRequest(GroupRequestStruct, frozen=True, kw_only=True):
    """Asks the receiver to campaign immediately, to transfer leadership to it."""


class CampaignReply(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Reply to `CampaignRequest`."""

    is_accepted: bool


class FormationRequest(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Asks a member for its identity and, if `group_id` is set, to join that new group.

    The coordinator sets `is_complete` once all initial members have stored the same proposal.
    """

    group_id: str = ""
    membership: Membership = Membership()
    is_complete: bool = False


class FormationReply(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Reply to `FormationRequest`.

    `can_form_group` is set while the member may take part in the formation of a group.
    `data_centre` is where the member runs; other members know only its address.
    """

    group_id: str
    pending_group_id: str
    can_form_group: bool
    data_centre: str = ""


class Refusal(ReplicaMessageStruct, frozen=True, kw_only=True):
    """Reply of a member that refuses a request, such as one for another identity or group."""

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
    """Returns a message encoded for the wire."""
    return _encoder.encode(message)


def decode_replica_message(data: bytes) -> ReplicaMessage:
    """Decodes a message from the wire.

    Raises:
        MessageDecodeError: the bytes are longer than `MESSAGE_LIMIT_BYTES` or not a message.
    """
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise MessageDecodeError(
            f"message has {len(data)} bytes, limit is {MESSAGE_LIMIT_BYTES} bytes"
        )
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise MessageDecodeError(f"undecodable message: {error}") from error
