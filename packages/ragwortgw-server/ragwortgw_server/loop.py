"""One asyncio loop on one thread that carries circuits components."""

import asyncio
import atexit
from collections.abc import Callable
from collections.abc import Coroutine
import logging
import signal
from typing import Any

from circuits.core import components
from circuits.core import handlers
from circuits.core import pollers

LOG = logging.getLogger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class AsyncioPoller(pollers.BasePoller):
    """A circuits poller that waits by running an asyncio loop.

    The loop runs until a descriptor is ready, the time that circuits
    allows is over, or an event is fired.
    """

    channel = 'asyncio'

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(channel=self.channel)
        self._loop = loop
        self._waiting = False
        self._readers_by_fd: dict[Any, int] = {}
        self._writers_by_fd: dict[Any, int] = {}

    def _create_control_con(self) -> tuple[int, int]:
        return -1, -1

    def resume(self) -> None:
        """Ends the wait; may be called by a signal handler."""
        self._loop.call_soon_threadsafe(self._loop.stop)

    def wake(self) -> None:
        """Ends the wait; only for the thread of the loop."""
        if self._waiting:
            self._loop.stop()

    def _generate_events(self, event: Any) -> None:
        time_left = event.time_left
        timer = None
        if time_left == 0:
            self._loop.stop()
        elif time_left > 0:
            timer = self._loop.call_later(time_left, self._loop.stop)
        self._waiting = True
        try:
            self._loop.run_forever()
        finally:
            self._waiting = False
            if timer is not None:
                timer.cancel()

    def addReader(self, source: Any, fd: Any) -> None:  # noqa: N802
        self._targets[fd] = getattr(source, 'channel', '*')
        self._readers_by_fd[fd] = fd.fileno()
        self._loop.add_reader(fd.fileno(), self._on_ready, pollers._read, fd)

    def addWriter(self, source: Any, fd: Any) -> None:  # noqa: N802
        self._targets[fd] = getattr(source, 'channel', '*')
        self._writers_by_fd[fd] = fd.fileno()
        self._loop.add_writer(fd.fileno(), self._on_ready, pollers._write, fd)

    def removeReader(self, fd: Any) -> None:  # noqa: N802
        number = self._readers_by_fd.pop(fd, None)
        if number is not None:
            self._loop.remove_reader(number)
        self._forget(fd)

    def removeWriter(self, fd: Any) -> None:  # noqa: N802
        number = self._writers_by_fd.pop(fd, None)
        if number is not None:
            self._loop.remove_writer(number)
        self._forget(fd)

    def discard(self, fd: Any) -> None:
        self.removeReader(fd)
        self.removeWriter(fd)

    def isReading(self, fd: Any) -> bool:  # noqa: N802
        return fd in self._readers_by_fd

    def isWriting(self, fd: Any) -> bool:  # noqa: N802
        return fd in self._writers_by_fd

    def _forget(self, fd: Any) -> None:
        if fd not in self._readers_by_fd and fd not in self._writers_by_fd:
            self._targets.pop(fd, None)

    def _on_ready(self, event_type: Any, fd: Any) -> None:
        self.fire(event_type(fd), self.getTarget(fd))


class ExceptionLog(components.BaseComponent):
    """Logs exceptions of handlers, which circuits would drop."""

    channel = '*'

    @handlers.handler('exception', channel='*', priority=100)
    def _on_exception(
        self,
        error_type: Any,
        value: Any,
        traceback: Any,
        handler: Any = None,
        fevent: Any = None,
    ) -> None:
        LOG.error(
            'handler failed on %s: %r\n%s',
            getattr(fevent, 'name', None),
            value,
            traceback if isinstance(traceback, str) else ''.join(traceback),
        )


class Root(components.BaseComponent):
    """Root of the component tree; each fire ends the poller's wait."""

    channel = '*'

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.poller: AsyncioPoller | None = None
        self.on_started: Callable[[], None] = lambda: None
        super().__init__()
        ExceptionLog().register(self)
        self.poller = AsyncioPoller(loop).register(self)

    def _fire(self, event: Any, channel: Any, priority: int = 0) -> None:
        super()._fire(event, channel, priority)
        if self.poller is not None:
            self.poller.wake()

    @handlers.handler('started', channel='*', priority=100)
    def _on_started(self, component: Any) -> None:
        self.on_started()


class Loop:
    """The process's event loop: asyncio tasks and circuits components.

    A context manager; leaving it cancels tasks and closes the loop.
    """

    def __init__(self) -> None:
        self.asyncio_loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.asyncio_loop)
        self.root = Root(self.asyncio_loop)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._callbacks_by_signal: dict[int, Callable[[], None]] = {}
        self.root.on_started = self._install_signals

    def __enter__(self) -> 'Loop':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def fire(self, event: Any, *channels: Any) -> Any:
        """Fires a circuits event from anywhere on the loop's thread.

        Args:
          event: The circuits event.
          channels: Channels it goes to.
        Returns: The circuits value of the event.
        """
        return self.root.fire(event, *channels)

    def spawn(
        self, coroutine: Coroutine[Any, Any, Any], name: str | None = None
    ) -> asyncio.Task[Any]:
        """Starts a task; an exception that ends it is logged.

        Args:
          coroutine: What to run.
          name: Name of the task in logs.
        Returns: The task.
        """
        task = self.asyncio_loop.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def on_signal(self, number: int, callback: Callable[[], None]) -> None:
        """Calls back on the loop when a signal arrives.

        Args:
          number: Signal number, such as signal.SIGTERM.
          callback: Called without arguments for each signal.
        """
        self._callbacks_by_signal[number] = callback
        if self.root.running:
            self.asyncio_loop.add_signal_handler(number, callback)

    def run(self) -> None:
        """Runs until stop() is called."""
        self.root.run()

    def run_until(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Runs until a coroutine is done, then stops.

        Args:
          coroutine: What to run.
        Returns: The result of the coroutine.
        """
        task = self.asyncio_loop.create_task(coroutine)
        task.add_done_callback(lambda _: self.stop())
        self.run()
        return task.result()

    def stop(self) -> None:
        """Ends run(); may be called from tasks and handlers."""
        self.root.stop()

    def close(self) -> None:
        """Cancels all tasks and closes the asyncio loop."""
        if self.asyncio_loop.is_closed():
            return
        pending = asyncio.all_tasks(self.asyncio_loop)
        for task in pending:
            task.cancel()
        if pending:
            self.asyncio_loop.run_until_complete(
                asyncio.gather(*pending, return_exceptions=True)
            )
        self.asyncio_loop.run_until_complete(
            self.asyncio_loop.shutdown_asyncgens()
        )
        for number in self._callbacks_by_signal:
            self.asyncio_loop.remove_signal_handler(number)
        self.asyncio_loop.close()
        atexit.unregister(self.root.stop)

    def _install_signals(self) -> None:
        for number, callback in self._callbacks_by_signal.items():
            self.asyncio_loop.add_signal_handler(number, callback)
        # A program may have made them wait until they are handled.
        signal.pthread_sigmask(
            signal.SIG_UNBLOCK, self._callbacks_by_signal.keys()
        )

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error(
                'task %s failed', task.get_name(), exc_info=task.exception()
            )


def open_loop() -> Loop:
    """Creates the loop of a process."""
    return Loop()


def on_stop_signal(loop: Loop, callback: Callable[[], None]) -> None:
    """Calls back when the process is asked to stop.

    Args:
      loop: The process's loop.
      callback: Begins the planned stop; called again for each signal.
    """
    for number in STOP_SIGNALS:
        loop.on_signal(number, callback)
