"""Comments in JSON documents: keys that start with `//`."""

from typing import Any

COMMENT_PREFIX = "//"


def remove_comments(value: Any) -> Any:
    """Returns the document without the members whose key starts with `//`, at every level."""
    if isinstance(value, dict):
        return {
            key: remove_comments(item)
            for key, item in value.items()
            if not key.startswith(COMMENT_PREFIX)
        }
    if isinstance(value, list):
        return [remove_comments(item) for item in value]
    return value
