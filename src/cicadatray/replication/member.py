"""Address of one member of a replication group."""

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """`member_id` is unique in the group; host and port are where its transport listens.

    `data_centre` is empty where it is not known; voters are spread over data centres.
    """

    member_id: str
    host: str
    port: int
    data_centre: str = ""
