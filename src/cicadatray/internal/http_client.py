"""The HTTP client of every process."""

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

# aiosonic 1.3.3 puts a connection that served an earlier request back into its pool when a later
# request on it times out or is cancelled. The next request then reads the answer of the one that
# was given up, which may be another caller's. With one request each, none is put back.
REQUESTS_PER_CONNECTION = 1


def build_http_client(timeouts: Timeouts, connections: int) -> HTTPClient:
    """Returns a client that opens a connection for each request, at most `connections` at once."""
    pool = PoolConfig(size=connections, max_conn_requests=REQUESTS_PER_CONNECTION)
    return HTTPClient(TCPConnector(pool_configs={":default": pool}, timeouts=timeouts))
