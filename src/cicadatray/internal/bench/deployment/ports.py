"""Free ports on loopback."""

import socket

HOST = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Returns ports that were free together a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for opened in sockets:
            opened.bind((HOST, 0))
        return [opened.getsockname()[1] for opened in sockets]
    finally:
        for opened in sockets:
            opened.close()
