"""Handles the requests of other members."""

from collections.abc import Callable
from typing import Any

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.elections import Elections
from cicadatray.replication.formation import Formation
from cicadatray.replication.log_entry import EntryDecodeError, LogEntry, decode_entries
from cicadatray.replication.message import (
    AppendReply,
    AppendRequest,
    CampaignReply,
    CampaignRequest,
    FormationRequest,
    GroupRequestStruct,
    Refusal,
    ReplicaMessage,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from cicadatray.replication.role import Role
from cicadatray.replication.snapshot_receiver import SnapshotReceiver, SnapshotTransferError

Handler = Callable[["MessageHandler", Any], ReplicaMessage]
_handlers: dict[type, Handler] = {}


def _handles(message_type: type) -> Callable[[Handler], Handler]:
    """Registers the decorated method as the handler of a request type."""

    def register(handler: Handler) -> Handler:
        _handlers[message_type] = handler
        return handler

    return register


class MessageHandler:
    """Handles each request without waiting; the caller flushes the storage before it replies."""

    __slots__ = ("core", "elections", "formation", "snapshot_receiver")

    def __init__(self, core: ReplicaCore, elections: Elections, formation: Formation) -> None:
        self.core = core
        self.elections = elections
        self.formation = formation
        self.snapshot_receiver = SnapshotReceiver()

    def handle(self, message: ReplicaMessage) -> ReplicaMessage:
        """Returns the reply to a request, or a `Refusal` if this member must not handle it."""
        if self.core.role is Role.STOPPED:
            return self._refuse("stopped")
        handler = _handlers.get(type(message))
        if handler is None:
            return self._refuse(f"{type(message).__name__} is not a request")
        if isinstance(message, GroupRequestStruct):
            reason = self._refusal_reason(message)
            if reason:
                return self._refuse(reason)
        return handler(self, message)

    def _refusal_reason(self, request: GroupRequestStruct) -> str:
        """Returns why the request must be refused, or an empty text.

        A member without a group joins the group of a request addressed to its data folder.
        """
        state = self.core.storage.state
        if self.core.role is Role.LEADER and request.term == state.term:
            return f"this member is the leader of term {state.term}"
        if request.target_identity != state.identity:
            return f"data folder is {state.identity}, not {request.target_identity}"
        if not state.group_id:
            self.formation.adopt_group(request.group_id)
        elif request.group_id != state.group_id:
            return f"member belongs to group {state.group_id}, not {request.group_id}"
        return ""

    def _refuse(self, reason: str) -> Refusal:
        return Refusal(identity=self.core.identity, term=self.core.term, reason=reason)

    @_handles(FormationRequest)
    def _handle_formation(self, request: FormationRequest) -> ReplicaMessage:
        return self.formation.handle_request(request)

    @_handles(VoteRequest)
    def _handle_vote(self, request: VoteRequest) -> ReplicaMessage:
        """Grants or denies a vote or pre-vote.

        A learner votes too, because the candidate's log may already contain its promotion.
        """
        core = self.core
        is_up_to_date = (request.last_term, request.last_index) >= (
            core.storage.log.last_term,
            core.storage.log.last_index,
        )
        is_bound_by_lease = core.has_recent_leader() and not request.is_leadership_transfer
        if request.is_pre_vote:
            return self._vote_reply(
                request.term > core.term and is_up_to_date and not is_bound_by_lease
            )
        # A member bound by a lease also ignores the term, so that no candidate deposes the leader.
        if request.term < core.term or is_bound_by_lease:
            return self._vote_reply(False)
        voted_for = core.storage.state.voted_for if request.term == core.term else ""
        is_granted = is_up_to_date and voted_for in ("", request.identity)
        core.adopt_term(request.term, request.identity if is_granted else "")
        if not is_granted:
            return self._vote_reply(False)
        if core.storage.state.voted_for != request.identity:
            core.storage.state_file.save_vote(request.term, request.identity)
        core.reset_election_deadline()
        return self._vote_reply(True)

    @_handles(AppendRequest)
    def _handle_append(self, request: AppendRequest) -> ReplicaMessage:
        core = self.core
        if request.term < core.term:
            return self._append_reply(False, 0)
        try:
            entries = decode_entries(request.records)
        except EntryDecodeError as error:
            return self._refuse(str(error))
        expected = range(request.prev_index + 1, request.prev_index + 1 + len(entries))
        if [entry.index for entry in entries] != list(expected):
            return self._refuse("entries are not consecutive")
        core.follow_leader(request.term, request.sender_id)
        log = core.storage.log
        if request.prev_index > log.last_index:
            return self._append_reply(False, log.last_index)
        is_compacted = request.prev_index < log.base_index
        if not is_compacted and log.term_at(request.prev_index) != request.prev_term:
            return self._append_reply(False, self._last_index_before_conflict(request.prev_index))
        self._append_new_entries(entries)
        match_index = request.prev_index + len(entries)
        core.applier.advance(min(request.commit_index, match_index))
        return self._append_reply(True, match_index)

    @_handles(SnapshotRequest)
    def _handle_snapshot(self, request: SnapshotRequest) -> ReplicaMessage:
        core = self.core
        if request.term < core.term:
            return self._snapshot_reply(0, False)
        core.follow_leader(request.term, request.sender_id)
        if request.position.last_index <= core.applier.commit_index:
            self.snapshot_receiver.clear()
            return self._snapshot_reply(0, True)
        try:
            snapshot = self.snapshot_receiver.receive(request)
        except SnapshotTransferError as error:
            return self._refuse(str(error))
        if snapshot is None:
            return self._snapshot_reply(len(self.snapshot_receiver.data), False)
        core.install_snapshot(snapshot)
        return self._snapshot_reply(0, True)

    @_handles(CampaignRequest)
    def _handle_campaign(self, request: CampaignRequest) -> ReplicaMessage:
        core = self.core
        is_accepted = core.role is Role.FOLLOWER and request.term == core.term
        if is_accepted:
            self.elections.request_transfer(request.term)
        return CampaignReply(identity=core.identity, term=core.term, is_accepted=is_accepted)

    def _append_new_entries(self, entries: list[LogEntry]) -> None:
        """Appends the entries that the log lacks, after removing those that conflict."""
        log = self.core.storage.log
        for position, entry in enumerate(entries):
            if entry.index <= log.base_index:
                continue
            if entry.index <= log.last_index:
                if log.term_at(entry.index) == entry.term:
                    continue
                self.core.truncate_after(entry.index - 1)
            self.core.append(entries[position:])
            return

    def _last_index_before_conflict(self, index: int) -> int:
        """Returns the last index before the conflicting term, at least the commit index.

        The leader thereby skips all entries of that term at once.
        """
        log = self.core.storage.log
        term = log.term_at(index)
        while index > self.core.applier.commit_index and log.term_at(index) == term:
            index -= 1
        return index

    def _vote_reply(self, is_granted: bool) -> VoteReply:
        return VoteReply(identity=self.core.identity, term=self.core.term, is_granted=is_granted)

    def _append_reply(self, is_accepted: bool, match_index: int) -> AppendReply:
        return AppendReply(
            identity=self.core.identity,
            term=self.core.term,
            is_accepted=is_accepted,
            match_index=match_index,
        )

    def _snapshot_reply(self, next_offset: int, is_installed: bool) -> SnapshotReply:
        return SnapshotReply(
            identity=self.core.identity,
            term=self.core.term,
            next_offset=next_offset,
            is_installed=is_installed,
        )
