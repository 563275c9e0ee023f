"""The number of processes of each kind in a local deployment."""

import msgspec


class DeploymentPlan(msgspec.Struct, frozen=True):
    """Sizes of a local deployment; the defaults give the smallest one that has every role.

    With `forward_control`, connections to control instances pass through forwarders that can cut
    them.
    """

    controls: int = 3
    entries: int = 2
    endpoints: int = 4
    workers: int = 4
    slots: int = 4
    accelerators: int = 8
    racks: int = 2
    service: str = "bookings"
    forward_control: bool = False
