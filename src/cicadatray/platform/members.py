"""Where control instances listen for inner calls."""

from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.messages.graph_messages import MemberAddress
from cicadatray.platform.settings import PlatformSettings

# The cluster secret keeps strangers' connections apart by mistake only: the platform's network is
# closed, and its settings hold no secret that all processes share.
CLUSTER_SECRET = b"cicadatray"


def control_port(settings: PlatformSettings) -> int:
    """Returns the inner port of control, the same on all machines."""
    return settings.inner_ports[0]


def relay_address(settings: PlatformSettings) -> MemberAddress:
    """Returns where an entry passes on calls: the inner port after that of control."""
    return MemberAddress(settings.name, settings.ip, settings.inner_ports[1])


def member_name(host: str) -> str:
    """Returns the name of the control instance at an address; seeds tell no other name."""
    return f"control-{host}"


def seed_members(settings: PlatformSettings) -> tuple[ControlMember, ...]:
    """Returns the control instances that the settings name."""
    port = control_port(settings)
    return tuple(ControlMember(member_name(s.host), s.host, port) for s in settings.seeds)
