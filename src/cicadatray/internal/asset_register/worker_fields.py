"""The values of one worker in an asset register."""

from typing import Annotated

import msgspec

from cicadatray.internal.settings.common import Name
from cicadatray.internal.settings.value_formats import formatted
from cicadatray.scheduling.inventory import WorkerRecord

# Far above any real worker, to detect values in the wrong unit, such as MB for GB.
ACCELERATOR_LIMIT = 1024
CORE_LIMIT = 4096
MEMORY_LIMIT_GB = 65536

Text = Annotated[str, formatted("text")]


class WorkerFields(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The fields of `WorkerRecord`, with the limits that an import enforces."""

    worker_id: Name
    data_centre: Name
    rack: Text
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=ACCELERATOR_LIMIT)]
    cores: Annotated[int, msgspec.Meta(ge=1, le=CORE_LIMIT)]
    memory_gb: Annotated[int, msgspec.Meta(ge=1, le=MEMORY_LIMIT_GB)]
    member: Text

    def to_record(self) -> WorkerRecord:
        """Returns the worker record of the scheduling library."""
        return WorkerRecord(**msgspec.structs.asdict(self))
