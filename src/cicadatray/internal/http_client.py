"""The HTTP client of every process."""

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

# aiosonic 1.3.3 puts a connection that served an earlier request back into its pool when a later
# request on it times out or is cancelled. The next request then reads the answer of the one that
# was given up, which may be another caller's. With one request each, none is put back.
REQUESTS_PER_CONNECTION = 1
# A client whose owner discards it after the first failed request may keep its connections.
KEPT_REQUESTS_PER_CONNECTION = 10_000


def build_http_client(timeouts: Timeouts, connections: int) -> HTTPClient:
    """Returns a client that opens a connection for each request, at most `connections` at once."""
    return _build(timeouts, connections, REQUESTS_PER_CONNECTION)


def build_keep_alive_client(timeouts: Timeouts, connections: int) -> HTTPClient:
    """Returns a client that keeps connections.

    It must be discarded after the first request that fails, times out or is cancelled.
    """
    return _build(timeouts, connections, KEPT_REQUESTS_PER_CONNECTION)


def _build(timeouts: Timeouts, connections: int, requests_per_connection: int) -> HTTPClient:
    pool = PoolConfig(size=connections, max_conn_requests=requests_per_connection)
    return HTTPClient(TCPConnector(pool_configs={":default": pool}, timeouts=timeouts))
