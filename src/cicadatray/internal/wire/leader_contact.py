"""What a process knows of the control leader."""

import msgspec


class LeaderContact(msgspec.Struct, frozen=True):
    """The contact to the leader at one moment; times are in seconds.

    `leader` is empty unless the leader has replied recently and directly, `relay` unless calls go
    through one. `known_for_s` is how long the leader has replied without a gap; None if it does not
    reply. `silence_s` is the age of its last reply; None if there was none.
    """

    leader: str
    relay: str
    known_for_s: float | None
    silence_s: float | None
