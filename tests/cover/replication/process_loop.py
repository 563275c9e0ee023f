"""An event loop in virtual time on which the tasks of a simulated process can be frozen."""

import asyncio
from collections.abc import Callable
from contextvars import Context, ContextVar
from typing import Any

from cicadatray.internal.bench.virtual_time_loop import VirtualTimeLoop

END_POLL_S = 0.05


class _Call:
    __slots__ = ("args", "callback", "context", "handle", "process")

    def __init__(self, process: "Process", callback: Any, args: Any, context: Any) -> None:
        self.process = process
        self.callback = callback
        self.args = args
        self.context = context
        self.handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        if self.process.is_frozen:
            self.process.deferred_calls.append(self)
        elif self.handle is None or not self.handle.cancelled():
            self.callback(*self.args)


class Process:
    """A simulated process; everything that runs in `context` belongs to it."""

    __slots__ = ("context", "deferred_calls", "is_frozen")

    def __init__(self) -> None:
        self.context = Context()
        self.context.run(_current.set, self)
        self.is_frozen = False
        self.deferred_calls: list[_Call] = []

    def thaw(self) -> None:
        """Runs the callbacks that became due while the process was frozen, in order."""
        self.is_frozen = False
        deferred_calls, self.deferred_calls = self.deferred_calls, []
        for call in deferred_calls:
            asyncio.get_event_loop().call_soon(call, context=call.context)


async def end_other_tasks() -> None:
    """Cancels all other tasks repeatedly until they have ended.

    In Python 3.11, `wait_for` loses a cancellation that arrives together with its result.
    """
    while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=END_POLL_S)


_current: ContextVar[Process | None] = ContextVar("_current", default=None)


class ProcessLoop(VirtualTimeLoop):
    """Defers the callbacks of frozen processes while the virtual clock continues."""

    __slots__ = ()

    def call_soon(
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        call = self._wrap_call(callback, args, context)
        if call is None:
            return super().call_soon(callback, *args, context=context)
        call.handle = super().call_soon(call, context=context)
        return call.handle

    def call_at(
        self, when: float, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        call = self._wrap_call(callback, args, context)
        if call is None:
            return super().call_at(when, callback, *args, context=context)
        call.handle = timer = super().call_at(when, call, context=context)
        return timer

    def _wrap_call(self, callback: Any, args: Any, context: Context | None) -> _Call | None:
        process = context.get(_current) if context is not None else _current.get()
        if process is None or isinstance(callback, _Call):
            return None
        return _Call(process, callback, args, context)
