"""The codec for all messages."""

from typing import Union

from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages import (
    attempt_messages,
    configuration_messages,
    diagnostic_messages,
    directory_messages,
    evacuation_messages,
    graph_messages,
    job_messages,
    key_messages,
    relay_messages,
    silence_messages,
    task_messages,
)

MESSAGE_MODULES = (
    attempt_messages,
    configuration_messages,
    diagnostic_messages,
    directory_messages,
    evacuation_messages,
    graph_messages,
    job_messages,
    key_messages,
    relay_messages,
    silence_messages,
    task_messages,
)


def _message_types() -> tuple[type[MessageStruct], ...]:
    message_types: list[type[MessageStruct]] = [Failure]
    for module in MESSAGE_MODULES:
        for value in vars(module).values():
            if not isinstance(value, type) or not issubclass(value, MessageStruct):
                continue
            if value.__module__ == module.__name__:
                message_types.append(value)
    return tuple(message_types)


def message_codec() -> Codec:
    """Returns a codec for all messages between the processes of the system."""
    return Codec(Union[_message_types()])  # noqa: UP007 - a union of types collected at run time
