"""A command proposed to the leader."""

import asyncio


class Proposal:
    """A command and the future of its result.

    `index` is 0 until the command is appended; until then the proposal can be cancelled.
    `created_s` is on the event loop's clock.
    """

    __slots__ = ("created_s", "data", "index", "is_membership", "result")

    def __init__(self, data: bytes, is_membership: bool) -> None:
        self.data = data
        self.is_membership = is_membership
        self.index = 0
        loop = asyncio.get_running_loop()
        self.created_s = loop.time()
        self.result: asyncio.Future[bytes] = loop.create_future()

    def fail(self, error: Exception) -> None:
        """Fails the proposer with an error unless its result is already set."""
        if not self.result.done():
            self.result.set_exception(error)
            # Retrieved here, because an abandoned future with an exception causes a warning.
            self.result.exception()
