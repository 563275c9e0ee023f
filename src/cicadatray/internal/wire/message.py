"""Base of all messages between processes."""

import msgspec

# The command may have been committed; repeating it is safe.
IN_DOUBT_CODE = "in_doubt"


class MessageStruct(msgspec.Struct, frozen=True, tag=True, kw_only=True, omit_defaults=True):
    """A message on the wire; the class name is its tag."""


class Failure(MessageStruct, frozen=True):
    """The other side refused a call.

    `code` is stable and machine-readable; `retry_after_s` is zero when coming back cannot help.
    """

    code: str
    detail: str
    retry_after_s: float = 0.0
