"""Options that every command has which talks to an entry."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cyclopts import Group, Parameter

RETRY_FOR_S = 30.0

connection_group = Group("Connection", sort_key=10)


@Parameter(name="*", group=connection_group)
@dataclass(frozen=True, slots=True)
class EntryOptions:
    """How to reach the deployment and how to print."""

    entry: Annotated[
        tuple[str, ...],
        Parameter(
            help="HOST:PORT of an entry; repeat it for more, which are tried in turn.",
        ),
    ] = ()
    credential_file: Annotated[Path | None, Parameter(help="File with the credential.")] = None
    retry_for: Annotated[
        float,
        Parameter(
            show_default=True,
            help="Seconds during which to try again after lost answers and refusals.",
        ),
    ] = RETRY_FOR_S
    json: Annotated[bool, Parameter(help="Print JSON for programs.")] = False


DEFAULT_OPTIONS = EntryOptions()
