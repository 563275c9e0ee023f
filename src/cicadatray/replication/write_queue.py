"""Data folder whose writes run on a thread, so that a slow disk does not block the event loop."""

import asyncio
import threading
from collections.abc import Callable
from functools import partial
from queue import SimpleQueue

from cicadatray.replication.data_folder import DataFolder
from cicadatray.replication.errors import ReplicaStoppedError, ReplicationError

Operation = Callable[[], None]


class QueuedDataFolder:
    """Runs operations directly until `start_thread`, then queues writes for the thread in order.

    `submitted` and `completed` count the operations since then. From then on `names` is answered
    from memory and includes the effect of queued writes. After the
    first failed write nothing more is written, because a record must not be durable without the
    ones before it.
    """

    __slots__ = (
        "completed",
        "current_names",
        "failure",
        "folder",
        "is_closed",
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
        self.current_names: set[str] = set()
        self.submitted = 0
        self.completed = 0
        self.failure: Exception | None = None
        self.is_closed = False
        self.waiters: set[asyncio.Future[None]] = set()

    def start_thread(self, on_failure: Callable[[Exception], None]) -> None:
        """Starts the writer thread; `on_failure` is called on the event loop if a write fails."""
        self.loop = asyncio.get_running_loop()
        self.on_failure = on_failure
        self.current_names = set(self.folder.names())
        # A daemon thread, so that a disk that never responds does not keep the process alive.
        self.thread = threading.Thread(target=self._run_writer, name="storage", daemon=True)
        self.thread.start()

    def names(self) -> list[str]:
        if self.thread is None:
            return self.folder.names()
        return sorted(self.current_names)

    def read(self, name: str) -> bytes:
        return self.folder.read(name)

    def create(self, name: str, data: bytes) -> None:
        self.current_names.add(name)
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
        self.current_names.discard(source)
        self.current_names.add(target)
        self._submit(lambda: self.folder.rename(source, target))

    def delete(self, name: str) -> None:
        self.current_names.discard(name)
        self._submit(lambda: self.folder.delete(name))

    def sync_folder(self) -> None:
        self._submit(self.folder.sync_folder)

    def close(self) -> None:
        """Makes the thread finish the queued writes, close the folder and exit; does not wait."""
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

    def call_when_written(self, callback: Callable[[], None]) -> None:
        """Calls `callback` on the event loop once all operations submitted so far have run.

        It is never called after a failed write.
        """
        if self.thread is None or self.completed == self.submitted:
            if self.failure is None:
                callback()
            return
        loop = self.loop
        assert loop is not None
        self._submit(lambda: self._call_in_loop(callback))

    async def flush(self) -> None:
        """Returns once all operations submitted so far have run.

        Raises:
            ReplicaStoppedError: a write failed, or the folder was closed meanwhile or before.
        """
        if self.failure is not None:
            raise ReplicaStoppedError("a write failed") from self.failure
        if self.is_closed:
            raise ReplicaStoppedError("the data folder was closed")
        if self.thread is None or self.completed == self.submitted:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        self.call_when_written(lambda: None if waiter.done() else waiter.set_result(None))
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

    def _run_writer(self) -> None:
        while (operation := self.queue.get()) is not None:
            if self.failure is None or operation == self.folder.close:
                try:
                    operation()
                except Exception as error:
                    self.failure = error
                    self._call_in_loop(partial(self._handle_failure, error))
            self.completed += 1

    def _handle_failure(self, error: Exception) -> None:
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_exception(ReplicaStoppedError("a write failed"))
        self.on_failure(error)

    def _call_in_loop(self, callback: Callable[[], None]) -> None:
        assert self.loop is not None
        try:
            self.loop.call_soon_threadsafe(callback)
        except RuntimeError as error:
            # A closed event loop means that the process is ending and no caller waits.
            if not self.loop.is_closed():
                raise ReplicationError("the event loop refused a callback") from error
