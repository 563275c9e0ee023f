"""Messages about the evacuation of data centres."""

from typing import ClassVar

import msgspec

from cicadatray.internal.wire.message import MessageStruct


class Evacuation(msgspec.Struct, frozen=True, array_like=True):
    """A data centre in which nothing may be started; `ordered_s` is in seconds since 1970."""

    data_centre: str
    ordered_s: float
    operator: str = ""


class EvacuationProgress(msgspec.Struct, frozen=True, array_like=True):
    """An evacuation as the leader sees it.

    `runs_left` counts the runs that have not ended there, `workers` the workers of the data centre.
    """

    evacuation: Evacuation
    workers: int = 0
    runs_left: int = 0


class OrderEvacuation(MessageStruct, frozen=True):
    """Evacuates a data centre, or takes it back into use.

    An order with an `operation_id` that was recorded before changes nothing.
    """

    data_centre: str
    is_evacuated: bool
    operation_id: str = ""
    operator: str = ""


class RecordEvacuation(MessageStruct, frozen=True):
    """Command that carries out an order; `now_s` is in seconds since 1970."""

    order: OrderEvacuation
    now_s: float


class ReadEvacuations(MessageStruct, frozen=True):
    """Asks the leader for all evacuations."""

    changes_state: ClassVar[bool] = False


class EvacuationsReply(MessageStruct, frozen=True):
    """All evacuations, after an order or a read.

    `is_repeated`: the order had been carried out before. `is_announced`: a worker of the data
    centre of the order is known. `unmet_accounts` are the accounts whose guarantee no longer fits
    what is left.
    """

    evacuations: tuple[EvacuationProgress, ...] = ()
    is_repeated: bool = False
    is_announced: bool = True
    unmet_accounts: tuple[str, ...] = ()
