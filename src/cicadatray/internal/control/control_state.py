"""The replicated state machine of the control role."""

from collections.abc import Callable

import msgspec

from cicadatray.internal.control.command_registry import appliers
from cicadatray.internal.control.configuration_record import ConfigurationRecord
from cicadatray.internal.control.errors import StateError
from cicadatray.internal.control.evacuation_record import EvacuationRecord
from cicadatray.internal.control.graphs.graph_store import GraphStore
from cicadatray.internal.control.job_entry import JobEntry
from cicadatray.internal.wire.errors import FrameError
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.graph_messages import MemberAddress
from cicadatray.internal.wire.messages.key_messages import KeyRecord
from cicadatray.internal.wire.messages.registry import message_codec

UNKNOWN_COMMAND_CODE = "unknown_command"


class ControlSnapshot(msgspec.Struct):
    """The whole replicated state, as it is stored in a snapshot."""

    configuration: ConfigurationRecord
    keys: dict[str, KeyRecord]
    jobs: dict[str, JobEntry]
    ended_jobs: list[str]
    graphs: GraphStore = msgspec.field(default_factory=GraphStore)
    rendezvous: tuple[MemberAddress, ...] = ()
    evacuations: EvacuationRecord = msgspec.field(default_factory=EvacuationRecord)


class ControlState:
    """Applies commands in log order; the same commands produce the same state on every instance.

    `listeners` are called with each command after it has been applied. `rendezvous` holds the
    control instances without a replica, so that members can tell them where the group is after all
    processes have been restarted, whether their settings name these instances or not.
    """

    __slots__ = (
        "codec",
        "configuration",
        "ended_jobs",
        "evacuations",
        "graphs",
        "jobs",
        "keys",
        "listeners",
        "rendezvous",
    )

    def __init__(self) -> None:
        self.codec = message_codec()
        self.configuration = ConfigurationRecord()
        self.keys: dict[str, KeyRecord] = {}
        self.jobs: dict[str, JobEntry] = {}
        self.ended_jobs: list[str] = []
        self.graphs = GraphStore()
        self.rendezvous: tuple[MemberAddress, ...] = ()
        self.evacuations = EvacuationRecord()
        self.listeners: list[Callable[[MessageStruct], None]] = []

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one committed command and returns the encoded reply.

        An undecodable or unregistered command changes nothing; its reply is a `Failure`.
        """
        try:
            _, message = self.codec.decode(command)
        except FrameError as error:
            return self._encode(Failure(code=UNKNOWN_COMMAND_CODE, detail=str(error)))
        applier = appliers.get(type(message))
        if applier is None:
            return self._encode(Failure(code=UNKNOWN_COMMAND_CODE, detail=type(message).__name__))
        reply = applier(self, index, message)
        for listener in self.listeners:
            listener(message)
        return self._encode(reply)

    def snapshot(self) -> bytes:
        """Returns the whole state in encoded form."""
        return msgspec.msgpack.encode(
            ControlSnapshot(
                self.configuration,
                self.keys,
                self.jobs,
                self.ended_jobs,
                self.graphs,
                self.rendezvous,
                self.evacuations,
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replaces the whole state with that of a snapshot.

        Raises:
            StateError: the bytes are not a snapshot.
        """
        try:
            restored = msgspec.msgpack.decode(snapshot, type=ControlSnapshot)
        except msgspec.MsgspecError as error:
            raise StateError(f"undecodable snapshot: {error}") from error
        self.configuration = restored.configuration
        self.keys = restored.keys
        self.jobs = restored.jobs
        self.ended_jobs = restored.ended_jobs
        self.graphs = restored.graphs
        self.rendezvous = restored.rendezvous
        self.evacuations = restored.evacuations

    def encode_command(self, command: MessageStruct) -> bytes:
        """Returns a command in the encoding that `apply` expects."""
        return self._encode(command)

    def decode_reply(self, reply: bytes) -> MessageStruct:
        """Decodes a reply that `apply` returned."""
        return self.codec.decode(reply)[1]

    def _encode(self, message: MessageStruct) -> bytes:
        return self.codec.encode(0, message)
