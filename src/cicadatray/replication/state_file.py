"""The small durable state of a replica: identity, group, term and vote."""

import msgspec

from cicadatray.replication.data_folder import DataFolder
from cicadatray.replication.errors import StorageDamagedError
from cicadatray.replication.membership import Membership
from cicadatray.replication.record import RecordError, pack_record, scan_records

STATE_NAME = "state"
STATE_TEMPORARY_NAME = "state.tmp"


class DurableState(msgspec.Struct, frozen=True, kw_only=True):
    """`identity` is drawn once for a data folder and ends with it.

    `group_id` is empty until the member belongs to a group. `initial` is the membership that the
    group was formed with, empty in a member that was added later. `pending_group_id` names a group
    whose formation this member has agreed to but not seen completed. `voted_for` is the identity
    that got this member's vote in `term`, or empty.
    """

    identity: str
    group_id: str = ""
    pending_group_id: str = ""
    initial: Membership = Membership()
    term: int = 0
    voted_for: str = ""


class StateFile:
    """Replaces the stored state atomically."""

    __slots__ = ("folder", "state")

    def __init__(self, folder: DataFolder, state: DurableState) -> None:
        self.folder = folder
        self.state = state

    def save(self, state: DurableState) -> None:
        """Makes a state durable before it becomes visible in `state`."""
        self.folder.create(STATE_TEMPORARY_NAME, pack_record(msgspec.msgpack.encode(state)))
        self.folder.sync(STATE_TEMPORARY_NAME)
        self.folder.rename(STATE_TEMPORARY_NAME, STATE_NAME)
        self.folder.sync_folder()
        self.state = state

    def update(self, **changes: object) -> None:
        """Saves the state with some fields replaced."""
        self.save(msgspec.structs.replace(self.state, **changes))

    def save_vote(self, term: int, voted_for: str) -> None:
        """Makes a term and the vote in it durable."""
        self.update(term=term, voted_for=voted_for)


def load_state(folder: DataFolder) -> DurableState:
    """Returns the stored state.

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
