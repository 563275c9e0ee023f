"""Names and internal addresses of control instances and relays."""

from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.messages.graph_messages import MemberAddress
from cicadatray.platform.settings import PlatformSettings

# This value only protects against accidental connections from other systems: the platform's network
# is closed, and its settings contain no secret that all processes share.
CLUSTER_SECRET = b"cicadatray"


def control_port(settings: PlatformSettings) -> int:
    """Returns the internal port of control, which is the same on all instances."""
    return settings.internal_ports[0]


def relay_address(settings: PlatformSettings) -> MemberAddress:
    """Returns the address at which an entry relays calls, on the port after that of control."""
    return MemberAddress(settings.name, settings.ip, settings.internal_ports[1])


def member_name(host: str) -> str:
    """Returns the name of the control instance on a host, since seeds contain no names."""
    return f"control-{host}"


def seed_members(settings: PlatformSettings) -> tuple[ControlMember, ...]:
    """Returns the control instances that the settings list as seeds."""
    port = control_port(settings)
    return tuple(ControlMember(member_name(seed.host), seed.host, port) for seed in settings.seeds)
