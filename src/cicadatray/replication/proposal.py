"""A command on its way into the log."""

import asyncio


class Proposal:
    """`index` is 0 until the command is appended; until then it can be withdrawn.

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
        """Ends the wait of the proposer unless it has ended already."""
        if not self.result.done():
            self.result.set_exception(error)
            self.result.exception()  # a proposer that has gone must not cause a warning
