"""A data folder whose writes are carried out by a thread: a slow disk blocks no event loop."""

import asyncio
import threading
from collections.abc import Callable
from functools import partial
from queue import SimpleQueue

from cicadatray.replication.data_folder import DataFolder
from cicadatray.replication.errors import ReplicaStoppedError, ReplicationError

Operation = Callable[[], None]


class QueuedDataFolder:
    """Passes operations through until `begin`; afterwards the thread runs writes in their order.

    `names` then answers from memory, with the effect of writes that are still queued. After the
    first failed write nothing more is written, because a later record must not outlive an earlier
    one.
    """

    __slots__ = (
        "completed",
        "failure",
        "folder",
        "is_closed",
        "known_names",
        "loop",
        "on_failure",
        "queue",
        "submitted",
        "thread",
        "waiters",
    )

    def __init__(self, folder: DataFolder) -> None:
        self.folder = folder
        self.queue: SimpleQueue[Operation | None] = SimpleQueue()
        self.thread: threading.Thread | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.on_failure: Callable[[Exception], None] = lambda error: None
        self.known_names: set[str] = set()
        self.submitted = 0
        self.completed = 0
        self.failure: Exception | None = None
        self.is_closed = False
        self.waiters: set[asyncio.Future[None]] = set()

    def begin(self, on_failure: Callable[[Exception], None]) -> None:
        """Starts the thread; `on_failure` is called on the event loop after a failed write."""
        self.loop = asyncio.get_running_loop()
        self.on_failure = on_failure
        self.known_names = set(self.folder.names())
        # A daemon thread: a disk that never answers must not keep the process from ending.
        self.thread = threading.Thread(target=self._work, name="storage", daemon=True)
        self.thread.start()

    def names(self) -> list[str]:
        if self.thread is None:
            return self.folder.names()
        return sorted(self.known_names)

    def read(self, name: str) -> bytes:
        return self.folder.read(name)

    def create(self, name: str, data: bytes) -> None:
        self.known_names.add(name)
        self._submit(lambda: self.folder.create(name, data))

    def append(self, name: str, data: bytes) -> None:
        self._submit(lambda: self.folder.append(name, data))

    def overwrite(self, name: str, data: bytes) -> None:
        self._submit(lambda: self.folder.overwrite(name, data))

    def truncate(self, name: str, size: int) -> None:
        self._submit(lambda: self.folder.truncate(name, size))

    def sync(self, name: str) -> None:
        self._submit(lambda: self.folder.sync(name))

    def rename(self, source: str, target: str) -> None:
        self.known_names.discard(source)
        self.known_names.add(target)
        self._submit(lambda: self.folder.rename(source, target))

    def delete(self, name: str) -> None:
        self.known_names.discard(name)
        self._submit(lambda: self.folder.delete(name))

    def sync_folder(self) -> None:
        self._submit(self.folder.sync_folder)

    def close(self) -> None:
        """Ends the thread after the writes that are queued; does not wait for it."""
        if self.is_closed:
            return
        self.is_closed = True
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_exception(ReplicaStoppedError("the data folder was closed"))
        if self.thread is None:
            self.folder.close()
        else:
            self.queue.put(self.folder.close)
            self.queue.put(None)

    def when_written(self, callback: Callable[[], None]) -> None:
        """Calls back on the event loop once everything submitted so far is carried out."""
        if self.thread is None or self.completed == self.submitted:
            if self.failure is None:
                callback()
            return
        loop = self.loop
        assert loop is not None
        self._submit(lambda: self._notify(callback))

    async def flush(self) -> None:
        """Returns once everything submitted so far is carried out.

        Raises:
            ReplicaStoppedError: a write failed, or the folder was closed meanwhile.
        """
        if self.failure is not None:
            raise ReplicaStoppedError("a write failed") from self.failure
        if self.thread is None or self.completed == self.submitted:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        self.when_written(lambda: None if waiter.done() else waiter.set_result(None))
        try:
            await waiter
        finally:
            self.waiters.discard(waiter)

    def _submit(self, operation: Operation) -> None:
        if self.thread is None:
            operation()
        elif not self.is_closed:
            self.submitted += 1
            self.queue.put(operation)

    def _work(self) -> None:
        while (operation := self.queue.get()) is not None:
            if self.failure is None or operation == self.folder.close:
                try:
                    operation()
                except Exception as error:
                    self.failure = error
                    self._notify(partial(self._fail, error))
            self.completed += 1

    def _fail(self, error: Exception) -> None:
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_exception(ReplicaStoppedError("a write failed"))
        self.on_failure(error)

    def _notify(self, callback: Callable[[], None]) -> None:
        assert self.loop is not None
        try:
            self.loop.call_soon_threadsafe(callback)
        except RuntimeError as error:
            # The event loop was closed: the process ends and nobody waits any more.
            if not self.loop.is_closed():
                raise ReplicationError("the event loop refused a callback") from error
