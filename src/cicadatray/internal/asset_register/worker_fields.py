"""The values of one worker in an asset register."""

from typing import Annotated

import msgspec

from cicadatray.internal.settings.common import Name
from cicadatray.internal.settings.value_formats import formatted
from cicadatray.scheduling.inventory import WorkerRecord

# Far above any real instance, so that a value in the wrong unit (such as MB for GB) is noticed.
ACCELERATOR_LIMIT = 1024
CORE_LIMIT = 4096
MEMORY_LIMIT_GB = 65536

Text = Annotated[str, formatted("text")]


class WorkerFields(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """As `WorkerRecord`, with the values that an import accepts."""

    worker_id: Name
    data_centre: Name
    rack: Text
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=ACCELERATOR_LIMIT)]
    cores: Annotated[int, msgspec.Meta(ge=1, le=CORE_LIMIT)]
    memory_gb: Annotated[int, msgspec.Meta(ge=1, le=MEMORY_LIMIT_GB)]
    member: Text

    def to_record(self) -> WorkerRecord:
        """Returns the worker as the scheduling library takes it."""
        return WorkerRecord(**msgspec.structs.asdict(self))
