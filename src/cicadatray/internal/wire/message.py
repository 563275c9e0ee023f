"""Base of all messages between processes."""

import msgspec

# The command may have been committed; repeating it is safe.
IN_DOUBT_CODE = "in_doubt"


class MessageStruct(msgspec.Struct, frozen=True, tag=True, kw_only=True, array_like=True):
    """A message on the wire; the class name is its tag.

    Fields go by position: field names were most of the bytes of the frequent small messages. New
    fields are added at the end, with a default.
    """


class Failure(MessageStruct, frozen=True):
    """The other side refused a call.

    `code` is stable and machine-readable; `retry_after_s` is zero when coming back cannot help.
    """

    code: str
    detail: str
    retry_after_s: float = 0.0
