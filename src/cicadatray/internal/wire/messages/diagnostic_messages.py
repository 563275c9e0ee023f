"""Messages that every process answers, for operators."""

from enum import Enum

from cicadatray.internal.wire.message import MessageStruct


class ReadDump(MessageStruct, frozen=True):
    """Asks for the state dump of the process."""


class ReadMetrics(MessageStruct, frozen=True):
    """Asks for the metrics of the process in the text exposition format."""


class TextReply(MessageStruct, frozen=True):
    """A JSON dump or a metrics page."""

    text: str


class MemberAction(Enum):
    """A change of the control group; a new member is added as a learner, then promoted."""

    ADD = "add"
    PROMOTE = "promote"
    REMOVE = "remove"


class ChangeMember(MessageStruct, frozen=True):
    """Changes the control group by one member. Host and port are used to add one."""

    action: MemberAction
    name: str
    host: str = ""
    port: int = 0
