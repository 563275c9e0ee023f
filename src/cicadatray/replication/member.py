"""Address of one member of a replication group."""

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A member's name, the address of its transport and its data centre.

    `member_id` is unique in the group. `data_centre` is empty when it is unknown; the leader
    spreads voters over data centres.
    """

    member_id: str
    host: str
    port: int
    data_centre: str = ""
