"""Messages that every process answers, for operators."""

from cicadatray.internal.wire.message import MessageStruct


class ReadDump(MessageStruct, frozen=True):
    """Asks for the state dump of the process, or of another one that it knows by name."""

    process: str = ""


class ReadMetrics(MessageStruct, frozen=True):
    """Asks for the metrics of the process in the text exposition format."""


class TextReply(MessageStruct, frozen=True):
    """A JSON dump or a metrics page."""

    text: str
