"""Construction of HTTP clients."""

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

# aiosonic 1.3.3 returns a connection that has served a request to its pool even when a later
# request on it times out or is cancelled. The next request then reads the response to the abandoned
# one, which may be another caller's. With one request for each connection, none is returned.
REQUESTS_PER_CONNECTION = 1
# For clients whose owner discards them after the first failed request.
KEEP_ALIVE_REQUESTS_PER_CONNECTION = 10_000


def build_http_client(timeouts: Timeouts, connections: int) -> HTTPClient:
    """Returns a client that opens a connection for each request, at most `connections` at once."""
    return _build(timeouts, connections, REQUESTS_PER_CONNECTION)


def build_keep_alive_client(timeouts: Timeouts, connections: int) -> HTTPClient:
    """Returns a client that reuses connections, at most `connections` at once.

    It must be discarded after the first request that fails, times out or is cancelled.
    """
    return _build(timeouts, connections, KEEP_ALIVE_REQUESTS_PER_CONNECTION)


def _build(timeouts: Timeouts, connections: int, requests_per_connection: int) -> HTTPClient:
    pool = PoolConfig(size=connections, max_conn_requests=requests_per_connection)
    return HTTPClient(TCPConnector(pool_configs={":default": pool}, timeouts=timeouts))
