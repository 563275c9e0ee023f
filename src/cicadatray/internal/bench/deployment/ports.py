"""Free ports on loopback."""

import random
import socket

HOST = "127.0.0.1"
# Below the range from which the system takes ports for outgoing connections: one of those would
# take a port between this choice and the start of the process that is to listen on it.
FIRST_PORT = 10_000
LAST_PORT = 32_000


def free_ports(count: int) -> list[int]:
    """Returns ports that were free a moment ago."""
    found: list[int] = []
    while len(found) < count:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
