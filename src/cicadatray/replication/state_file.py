"""Durable state of a replica besides the log: identity, group, term and vote."""

import msgspec

from cicadatray.replication.data_folder import DataFolder
from cicadatray.replication.errors import StorageDamagedError
from cicadatray.replication.membership import Membership
from cicadatray.replication.record import RecordError, pack_record, scan_records

STATE_NAME = "state"
STATE_TEMPORARY_NAME = "state.tmp"


class DurableState(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the state file.

    `identity` is generated once for a data folder and never reused. `group_id` is empty until the
    member belongs to a group. `initial` is the membership with which the group was formed, empty in
    a member that was added later. `pending_group_id` is a group whose formation this member has
    accepted but not seen completed. `voted_for` is the identity that received this member's vote in
    `term`, or empty.
    """

    identity: str
    group_id: str = ""
    pending_group_id: str = ""
    initial: Membership = Membership()
    term: int = 0
    voted_for: str = ""


class StateFile:
    """Holds the durable state and replaces its file atomically."""

    __slots__ = ("folder", "state")

    def __init__(self, folder: DataFolder, state: DurableState) -> None:
        self.folder = folder
        self.state = state

    def save(self, state: DurableState) -> None:
        """Writes a new state durably, then makes it visible in `state`."""
        self.folder.create(STATE_TEMPORARY_NAME, pack_record(msgspec.msgpack.encode(state)))
        self.folder.sync(STATE_TEMPORARY_NAME)
        self.folder.rename(STATE_TEMPORARY_NAME, STATE_NAME)
        self.folder.sync_folder()
        self.state = state

    def update(self, **changes: object) -> None:
        """Saves the current state with some fields replaced."""
        self.save(msgspec.structs.replace(self.state, **changes))

    def save_vote(self, term: int, voted_for: str) -> None:
        """Saves a term and the vote in it, which is empty if none was granted."""
        self.update(term=term, voted_for=voted_for)


def load_state(folder: DataFolder) -> DurableState:
    """Loads the state from its file.

    Raises:
        StorageDamagedError: the file is damaged.
    """
    try:
        payloads = [payload for payload, _ in scan_records(folder.read(STATE_NAME))]
        if len(payloads) != 1:
            raise StorageDamagedError(f"file {STATE_NAME} has {len(payloads)} records")
        return msgspec.msgpack.decode(payloads[0], type=DurableState)
    except (RecordError, msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise StorageDamagedError(f"file {STATE_NAME} is damaged: {error}") from error
