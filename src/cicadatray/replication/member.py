"""Address of one member of a replication group."""

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """`member_id` is unique in the group; host and port are where its transport listens."""

    member_id: str
    host: str
    port: int
