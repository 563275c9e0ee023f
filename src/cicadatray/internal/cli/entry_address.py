"""Parses addresses of entries."""

from urllib.parse import urlsplit

from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode

SCHEMES = ("http", "https")


def parse_entry_address(text: str) -> str:
    """Returns the base URL of an entry given as `HOST:PORT` or as a URL.

    Raises:
        ToolError: the text is not the address of an entry, or it contains credentials.
    """
    url = text.strip() if "://" in text else f"http://{text.strip()}"
    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError:
        parts, port = urlsplit(""), None
    if parts.scheme not in SCHEMES or not parts.hostname or parts.path not in ("", "/"):
        detail = f"entry address {text!r}: expected HOST:PORT or http://HOST:PORT"
        raise ToolError(ExitCode.USAGE, detail)
    if parts.username is not None or parts.query or parts.fragment:
        detail = "an entry address consists of host and port only; credentials belong in a file"
        raise ToolError(ExitCode.USAGE, detail)
    host = f"[{parts.hostname}]" if ":" in parts.hostname else parts.hostname
    return f"{parts.scheme}://{host}" + (f":{port}" if port is not None else "")
