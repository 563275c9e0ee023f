"""Finds free ports on the loopback interface."""

import random
import socket

HOST = "127.0.0.1"
# The range is below the ephemeral ports: an outgoing connection could take one of those between
# this choice and the start of the process that is to listen on it.
FIRST_PORT = 10_000
LAST_PORT = 32_000


def free_ports(count: int) -> list[int]:
    """Returns distinct ports that were free when they were checked."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port not in ports and _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
