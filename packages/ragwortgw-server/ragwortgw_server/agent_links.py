"""An entry's links to its agents, one for each, kept up for good."""

import asyncio
from collections.abc import Callable
import random
import ssl
from typing import Any

from ragwortgw_core import events
from ragwortgw_core import requests
from ragwortgw_server import agent_connections
from ragwortgw_server import agent_frames
from ragwortgw_server import attempts
from ragwortgw_server import timeline
from ragwortgw_wire import ragwortgw_pb2 as pb

Emit = Callable[[Any], None]
Connection = agent_connections.Connection
MAX_BACKOFF_DOUBLINGS = 16


class AgentLink:
    """Keeps one agent connected; a context manager.

    A connection that breaks or falls silent is replaced by a new one; the
    agent is reported lost only if that fails too.
    """

    def __init__(
        self,
        agent_id: str,
        address: str,
        status: Callable[[], agent_connections.Status],
        emit: Emit,
        options: agent_connections.Options,
        tls: ssl.SSLContext | None = None,
        line: timeline.Timeline | None = None,
    ) -> None:
        self._line = line
        self.agent_id = agent_id
        self.address = address
        self.emit = emit
        self._status = status
        self._options = options
        self._tls = tls
        self._random = random.SystemRandom()
        self._current: Connection | None = None
        self._closed = False
        self._task = asyncio.create_task(self._keep())

    def __enter__(self) -> 'AgentLink':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    @property
    def connection(self) -> Connection | None:
        """The connection in use, None while there is none."""
        return self._current

    def retire(self) -> None:
        """Leaves the connection as it is, but does not replace it."""
        self._closed = True
        self._task.cancel()

    def close(self) -> None:
        """Drops the connection and does not come back."""
        self.retire()
        if self._current is not None:
            self._current.close()
            self._current = None

    def send(self, frame: pb.EntryFrame) -> bool:
        """Sends a frame over the control stream.

        Args:
          frame: The message.
        Returns: False when the agent is not connected.
        """
        if self._current is None:
            return False
        return self._current.frames.put(frame)

    async def _keep(self) -> None:
        failures = 0
        while True:
            fresh = self._connect()
            try:
                greeted = await fresh.greeted()
            except BaseException:
                fresh.close()
                raise
            if not greeted:
                fresh.close()
                self._lose()
                failures += 1
                await asyncio.sleep(self._backoff(failures))
                continue
            failures = 0
            await fresh.ended()

    def _connect(self) -> Connection:
        return Connection(
            self.address,
            self._status,
            self._adopt,
            self._on_frame,
            self._options,
            self._tls,
            self._line,
        )

    def _adopt(self, fresh: Connection) -> None:
        if self._closed:
            fresh.close()
            return
        if self._current is not None:
            self._current.close()
        self._current = fresh
        hello = fresh.hello
        assert hello is not None
        self.emit(
            events.AgentConnected(
                self.agent_id,
                hello.backend,
                hello.zone,
                tuple(hello.versions),
                hello.slots,
                hello.revision,
            )
        )

    def _lose(self) -> None:
        if self._current is None:
            return
        self._current.close()
        self._current = None
        self.emit(events.AgentLost(self.agent_id, 'unreachable'))

    def _backoff(self, failures: int) -> float:
        doublings = min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        longest_ms = min(
            self._options.backoff_max_ms,
            self._options.backoff_min_ms * 2**doublings,
        )
        return self._random.uniform(longest_ms / 2, longest_ms) / 1000

    def _on_frame(self, connection: Connection, frame: pb.AgentFrame) -> None:
        kind = frame.WhichOneof('kind')
        handler = agent_frames.handles.get(kind)
        if handler is not None:
            handler(self, connection, getattr(frame, kind))


class AgentLinks:
    """All links of an entry and the attempts on them.

    A context manager; close() drops everything.
    """

    def __init__(
        self,
        status: Callable[[], agent_connections.Status],
        emit: Emit,
        options: agent_connections.Options,
        tls: ssl.SSLContext | None = None,
        line: timeline.Timeline | None = None,
    ) -> None:
        self._line = line
        self._status = status
        self._emit = emit
        self._options = options
        self._tls = tls
        self._links_by_agent: dict[str, AgentLink] = {}
        self._attempts_by_id: dict[str, attempts.Attempt] = {}
        self._links_by_attempt: dict[str, AgentLink] = {}

    def __enter__(self) -> 'AgentLinks':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Cancels all attempts and drops all links."""
        for attempt in list(self._attempts_by_id.values()):
            attempt.cancel()
        for link in self._links_by_attempt.values():
            link.close()
        for link in self._links_by_agent.values():
            link.close()
        self._links_by_agent.clear()

    def connect(self, agent_id: str, address: str) -> None:
        """Opens a link and keeps it open.

        Args:
          agent_id: Id of the agent.
          address: 'ip:port' of its gRPC listener.
        """
        link = self._links_by_agent.get(agent_id)
        if link is not None and link.address == address:
            return
        self.drop(agent_id)
        self._links_by_agent[agent_id] = AgentLink(
            agent_id,
            address,
            self._status,
            self._emit,
            self._options,
            self._tls,
            self._line,
        )

    def drop(self, agent_id: str) -> None:
        """Takes no more work on a link; it ends with its last attempt."""
        link = self._links_by_agent.pop(agent_id, None)
        if link is not None:
            link.retire()
            self._close_unused(link)

    def send(self, agent_id: str, frame: pb.EntryFrame) -> bool:
        """Sends a frame to an agent; False when it is not connected."""
        link = self._links_by_agent.get(agent_id)
        return link is not None and link.send(frame)

    def run(self, agent_id: str, dispatch: requests.Dispatch) -> None:
        """Runs an attempt at an agent; events tell how it goes.

        Args:
          agent_id: The agent.
          dispatch: The attempt.
        """
        attempt = attempts.Attempt(
            dispatch, self._status().entry_id, self._emit, self._line
        )
        link = self._links_by_agent.get(agent_id)
        connection = link.connection if link is not None else None
        if link is None or connection is None:
            self._emit(attempt.broken('no', 'not-connected'))
            return
        self._attempts_by_id[dispatch.attempt_id] = attempt
        self._links_by_attempt[dispatch.attempt_id] = link
        attempt.start(connection, self._forget)

    def relay(self, attempt_id: str, sink: attempts.Sink) -> None:
        """Sends the pieces of an attempt to a caller from now on.

        Args:
          attempt_id: The attempt.
          sink: Takes bytes; its wait is the caller's back-pressure.
        """
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is not None:
            attempt.relay(sink)

    def cancel(self, attempt_id: str) -> None:
        """Gives an attempt up, up to the backend server."""
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is not None:
            attempt.cancel()

    def _forget(self, attempt: attempts.Attempt) -> None:
        attempt_id = attempt.dispatch.attempt_id
        if self._attempts_by_id.get(attempt_id) is not attempt:
            return
        del self._attempts_by_id[attempt_id]
        self._close_unused(self._links_by_attempt.pop(attempt_id))

    def _close_unused(self, link: AgentLink) -> None:
        in_use = self._links_by_agent.get(link.agent_id) is link
        if not in_use and link not in self._links_by_attempt.values():
            link.close()
