"""The replicated log that the simulated control instances share, and what it has decided."""

import asyncio
from collections.abc import Callable
from contextvars import Context
from typing import Protocol

from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.wire.messages.job_messages import JobView, PlaceGang, StartGang
from cicadatray.scheduling.placement import Placement
from cover.replication.process_loop import Process

ROUND_TRIP_S = 0.004


class LogMember(Protocol):
    """A control instance as the log sees it."""

    name: str
    process: Process

    def catch_up(self) -> None:
        """Applies what has been committed and learns the term."""


class SharedLog:
    """Commits only proposals of its leader's term. `state` applies each command at its commit."""

    __slots__ = (
        "commands",
        "cut_members",
        "elections",
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
        self.leader = ""
        self.term = 0
        self.elections = 0
        self.state = ControlState()
        self.state.listeners = []
        self.placements: dict[tuple[str, int], Placement] = {}
        self.started: set[tuple[str, int]] = set()
        self.on_change = on_change

    def elect(self, name: str) -> None:
        """Begins the next term."""
        self.leader = name
        self.term += 1
        self.elections += 1
        self.update_members()

    def is_reachable(self, name: str) -> bool:
        """Tells whether an instance runs and is connected to the group."""
        return name not in self.cut_members and not self.members[name].process.is_frozen

    def update_members(self) -> None:
        """Lets every instance that is reached apply the log."""
        for name, member in self.members.items():
            if self.is_reachable(name):
                member.catch_up()

    def commit(self, command: bytes) -> bytes:
        """Appends one command and returns its reply."""
        reply = self.state.apply(len(self.commands) + 1, command)
        self.commands.append(command)
        self._note(self.state.decode_reply(command), self.state.decode_reply(reply))
        self.update_members()
        self.on_change()
        return reply

    def after_round_trip(self, action: Callable[[], None]) -> None:
        """Runs an action of the group, which no frozen instance holds back."""
        asyncio.get_event_loop().call_later(ROUND_TRIP_S, action, context=Context())

    def _note(self, command: object, reply: object) -> None:
        if not isinstance(reply, JobView):
            return
        if isinstance(command, PlaceGang):
            self.placements[command.job_id, command.epoch] = command.placement
        elif isinstance(command, StartGang):
            self.started.add((command.job_id, command.epoch))
