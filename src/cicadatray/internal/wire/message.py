"""The base class of all messages between processes."""

from typing import ClassVar

import msgspec

from cicadatray.internal.wire.messages.decision import Decision

# The command may have been committed; it is safe to resend it.
IN_DOUBT_CODE = "in_doubt"


class MessageStruct(msgspec.Struct, frozen=True, tag=True, kw_only=True, array_like=True):
    """A message on the wire; the class name is its tag.

    Fields are encoded by position, because field names took most of the bytes of the small and
    frequent messages. New fields are added at the end, with a default.

    `changes_state` is False for calls whose caller loses nothing if an attempt without a reply was
    carried out: reads, and reports that are repeated in any case.
    """

    changes_state: ClassVar[bool] = True


class Failure(MessageStruct, frozen=True):
    """The peer refused a call.

    `code` is stable and machine-readable; `retry_after_s` is zero when a retry cannot succeed.
    `decision` is set if the queue configuration decided the call.
    """

    code: str
    detail: str
    retry_after_s: float = 0.0
    decision: Decision | None = None
