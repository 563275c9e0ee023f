"""How many processes of each kind a local deployment has."""

import msgspec


class DeploymentPlan(msgspec.Struct, frozen=True):
    """The defaults are the smallest deployment that shows every role.

    With `forward_control` connections to control instances pass forwarders that can cut them.
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
