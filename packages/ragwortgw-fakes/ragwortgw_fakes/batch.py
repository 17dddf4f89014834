"""Continuous batching: runs share steps, and steps grow with the batch."""

import asyncio
import heapq
from typing import NamedTuple

RANKS_BY_PRIORITY = {'interactive': 0, 'background': 1}


class Speed(NamedTuple):
    """How fast an engine is.

    slowdown is the share by which each further run in the batch stretches
    a step; prompt tokens are shared by the runs that still read theirs.
    """

    slots: int
    tokens_per_s: float
    slowdown: float
    prompt_tokens_per_s: float


class Job:
    """One run: pieces come out of queue, then None."""

    def __init__(
        self, pieces: list[str], prompt_tokens: float, priority: str
    ) -> None:
        self.pieces = pieces
        self.position = 0
        self.prompt_left = prompt_tokens
        self.priority = priority
        self.began = False
        self.stall_at: int | None = None
        self.queue: asyncio.Queue[str | None] = asyncio.Queue()

    def step(self) -> bool:
        """Puts out one piece; returns whether the run is at its end."""
        if self.stall_at is not None and self.position >= self.stall_at:
            return False
        if self.position < len(self.pieces):
            self.queue.put_nowait(self.pieces[self.position])
            self.position += 1
        if self.position < len(self.pieces):
            return False
        self.queue.put_nowait(None)
        return True


class Batch:
    """The engine's scheduler.

    Args:
      speed: How fast it is; may be replaced at any time.
    """

    def __init__(self, speed: Speed) -> None:
        self.speed = speed
        self.running: list[Job] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._sequence = 0
        self._wake = asyncio.Event()

    def submit(self, job: Job) -> None:
        """Queues a job behind those of the same or a higher priority."""
        self._sequence += 1
        rank = RANKS_BY_PRIORITY.get(job.priority, 0)
        heapq.heappush(self._waiting, (rank, self._sequence, job))
        self._wake.set()

    def remove(self, job: Job) -> None:
        """Takes a job out, running or not."""
        if job in self.running:
            self.running.remove(job)
            return
        kept = [entry for entry in self._waiting if entry[2] is not job]
        if len(kept) < len(self._waiting):
            heapq.heapify(kept)
            self._waiting = kept

    def waiting(self) -> int:
        """Returns the number of queued jobs."""
        return len(self._waiting)

    def clear(self) -> None:
        """Drops every job."""
        self.running.clear()
        self._waiting.clear()

    async def run(self) -> None:
        """Steps for ever."""
        loop = asyncio.get_running_loop()
        at_s = loop.time()
        while True:
            self._admit()
            if not self.running:
                self._wake.clear()
                await self._wake.wait()
                at_s = loop.time()
                continue
            step_s = self._step_s()
            at_s += step_s
            await asyncio.sleep(max(0.0, at_s - loop.time()))
            self._step(step_s)

    def _step_s(self) -> float:
        stretch = 1 + self.speed.slowdown * (len(self.running) - 1)
        return stretch / self.speed.tokens_per_s

    def _admit(self) -> None:
        while self._waiting and len(self.running) < self.speed.slots:
            job = heapq.heappop(self._waiting)[2]
            job.began = True
            self.running.append(job)

    def _step(self, step_s: float) -> None:
        reading = [job for job in self.running if job.prompt_left > 0]
        budget = self.speed.prompt_tokens_per_s * step_s
        for job in reading:
            job.prompt_left -= budget / len(reading)
        ended = [
            job for job in self.running if job.prompt_left <= 0 and job.step()
        ]
        for job in ended:
            self.remove(job)
