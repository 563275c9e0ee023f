"""Diagnostic calls of operators, and changes of the control group."""

from enum import Enum
from typing import ClassVar

from cicadatray.internal.wire.message import MessageStruct


class ReadDump(MessageStruct, frozen=True):
    """Asks for the state dump of the process."""

    changes_state: ClassVar[bool] = False


class ReadMetrics(MessageStruct, frozen=True):
    """Asks for the metrics of the process in the text exposition format."""

    changes_state: ClassVar[bool] = False


class TextReply(MessageStruct, frozen=True):
    """A state dump in JSON or metrics in the text exposition format."""

    text: str


class MemberAction(Enum):
    """A change of the control group; a new member is added as a learner, then promoted."""

    ADD = "add"
    PROMOTE = "promote"
    REMOVE = "remove"


class ChangeMember(MessageStruct, frozen=True):
    """Adds, promotes or removes one member of the control group.

    `host` and `port` are used only to add a member.
    """

    action: MemberAction
    name: str
    host: str = ""
    port: int = 0
