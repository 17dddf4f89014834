"""Frames of an attempt on their way from the agent to the entry."""

import asyncio
from typing import Any

from ragwortgw_core import requests
from ragwortgw_wire import convert
from ragwortgw_wire import ragwortgw_pb2 as pb

BUFFER_BYTES = 64 * 1024


class OutletClosed(Exception):
    """The entry no longer takes frames of the attempt."""


class Outlet:
    """A bounded buffer between a backend server and a gRPC stream.

    Pieces that are ready at once leave as one Chunk.
    """

    def __init__(self, dispatch: requests.Dispatch) -> None:
        self.attempt_id = dispatch.attempt_id
        self._next_offset = dispatch.resume_offset
        self._pieces: list[bytes] = []
        self._buffered_bytes = 0
        self._started = False
        self._last: pb.RunFrame | None = None
        self._closed = False
        self._ready = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()

    @property
    def done(self) -> bool:
        """Whether no further frame can be added."""
        return self._closed or self._last is not None

    def start(self) -> None:
        """Tells that the backend server took the request."""
        self._started = True
        self._ready.set()

    async def put(self, piece: bytes) -> None:
        """Adds one piece of the answer, once there is room for it.

        Args:
          piece: The piece; its index is one above that of the last one.
        Raises:
          OutletClosed: The entry is gone or cancelled the attempt.
        """
        await self._room.wait()
        if self.done:
            raise OutletClosed(self.attempt_id)
        self._pieces.append(piece)
        self._buffered_bytes += len(piece)
        if self._buffered_bytes >= BUFFER_BYTES:
            self._room.clear()
        self._ready.set()

    def finish(self, answer: requests.Answer) -> None:
        """Ends the attempt with a whole answer."""
        pieces = self._next_offset + len(self._pieces)
        finished = convert.finished_to_wire(answer, pieces)
        self._end(pb.RunFrame(finished=finished))

    def refuse(self, failure: Any, revision: int) -> None:
        """Ends the attempt before anything ran."""
        refused = convert.refusal_to_wire(failure, revision)
        self._end(pb.RunFrame(refused=refused))

    def break_off(self, ran: str, crashed: bool, reason: str) -> None:
        """Ends the attempt without a whole answer."""
        broken = pb.Broken(ran=ran, crashed=crashed, reason=reason)
        self._end(pb.RunFrame(broken=broken))

    async def next_frame(self) -> pb.RunFrame:
        """Waits for the next frame in order; the last one ends it."""
        await self._ready.wait()
        if self._started:
            self._started = False
            self._rearm()
            return pb.RunFrame(started=pb.Started())
        if self._pieces:
            return self._take_chunk()
        assert self._last is not None
        return self._last

    def close(self) -> None:
        """Gives up what is buffered; later pieces are refused."""
        self._closed = True
        self._pieces.clear()
        self._room.set()

    def _take_chunk(self) -> pb.RunFrame:
        chunk = pb.Chunk(
            offset=self._next_offset,
            pieces=len(self._pieces),
            data=b''.join(self._pieces),
        )
        self._next_offset += len(self._pieces)
        self._pieces.clear()
        self._buffered_bytes = 0
        self._room.set()
        self._rearm()
        return pb.RunFrame(chunk=chunk)

    def _end(self, frame: pb.RunFrame) -> None:
        if self.done:
            return
        self._last = frame
        self._room.set()
        self._ready.set()

    def _rearm(self) -> None:
        if not self._pieces and self._last is None:
            self._ready.clear()
