"""The replicated log that the simulated control instances share."""

import asyncio
from collections.abc import Callable
from contextvars import Context
from typing import Protocol

from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.wire.messages.graph_messages import RecordRuns
from cicadatray.internal.wire.messages.job_messages import JobView, PlaceGang, StartGang
from cicadatray.scheduling.placement import Placement
from cover.replication.process_loop import Process

ROUND_TRIP_S = 0.004


class LogMember(Protocol):
    """A control instance that applies the log."""

    name: str
    process: Process

    def catch_up(self) -> None:
        """Applies all committed commands and updates the term."""


class SharedLog:
    """Commits the proposals of the leader of the current term.

    `state` applies each command when it is committed. While `holds_runs` is set, no record of runs
    or placement of a gang is committed and no command behind one; `held_types` are further commands
    that are held like it. `held` are the held commands with what follows the commit.
    """

    __slots__ = (
        "commands",
        "cut_members",
        "elections",
        "held",
        "held_types",
        "holds_runs",
        "leader",
        "members",
        "on_change",
        "placements",
        "started",
        "state",
        "term",
    )

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.commands: list[bytes] = []
        self.members: dict[str, LogMember] = {}
        self.cut_members: set[str] = set()
        self.held: list[tuple[bytes, Callable[[bytes], None]]] = []
        self.held_types: tuple[type, ...] = ()
        self.holds_runs = False
        self.leader = ""
        self.term = 0
        self.elections = 0
        self.state = ControlState()
        self.state.listeners = []
        self.placements: dict[tuple[str, int], Placement] = {}
        self.started: set[tuple[str, int]] = set()
        self.on_change = on_change

    def elect(self, name: str) -> None:
        """Starts the next term with this leader."""
        self.leader = name
        self.term += 1
        self.elections += 1
        self.update_members()

    def is_reachable(self, name: str) -> bool:
        """Returns whether an instance runs and is connected to the group."""
        return name not in self.cut_members and not self.members[name].process.is_frozen

    def update_members(self) -> None:
        """Makes every reachable instance apply the log."""
        for name, member in self.members.items():
            if self.is_reachable(name):
                member.catch_up()

    def commit(self, command: bytes) -> bytes:
        """Appends one command and returns its reply."""
        reply = self.state.apply(len(self.commands) + 1, command)
        self.commands.append(command)
        self._record(self.state.decode_reply(command), self.state.decode_reply(reply))
        self.update_members()
        self.on_change()
        return reply

    def append(self, command: bytes, on_commit: Callable[[bytes], None]) -> None:
        """Commits one command, at once or when `release` is called, and passes on its reply."""
        held_types = self.held_types
        if self.holds_runs:
            held_types = (*held_types, RecordRuns, PlaceGang)
        if self.held or isinstance(self.state.decode_reply(command), held_types):
            self.held.append((command, on_commit))
        else:
            on_commit(self.commit(command))

    def release(self) -> None:
        """Commits the held commands in the order in which they were appended."""
        self.holds_runs = False
        self.held_types = ()
        held, self.held = self.held, []
        for command, on_commit in held:
            on_commit(self.commit(command))

    def after_round_trip(self, action: Callable[[], None]) -> None:
        """Schedules an action of the group, which runs even if the calling instance is frozen."""
        asyncio.get_event_loop().call_later(ROUND_TRIP_S, action, context=Context())

    def _record(self, command: object, reply: object) -> None:
        if not isinstance(reply, JobView):
            return
        if isinstance(command, PlaceGang):
            self.placements[command.job_id, command.epoch] = command.placement
        elif isinstance(command, StartGang):
            self.started.add((command.job_id, command.epoch))
