"""A model runner in simulated time: batches, chunks of prompts, a cache."""

import collections
import heapq
import math
from typing import NamedTuple

from ragwortgw_gateway import requests


class Model(NamedTuple):
    """A model that runners hold.

    Args:
      name: Its name.
      pace: How many times longer it takes than a model of pace 1.
      quality: Hardest request that it answers well, 0 to 1.
      cost: Cost of 1,000 generated tokens; tokens read count a quarter.
    """

    name: str
    pace: float
    quality: float
    cost: float


class Speed(NamedTuple):
    """How fast a runner is, for a model of pace 1; times in ms.

    Args:
      step_ms: A step, in which each running request gets one token.
      step_ms_per_request: What each running request adds to a step.
      prompt_tokens_per_ms: Prompt tokens read in a ms.
      chunk_tokens: Prompt tokens read between two steps at most.
      event_tokens: Tokens of one event of a stream.
    """

    step_ms: float = 2.6
    step_ms_per_request: float = 0.12
    prompt_tokens_per_ms: float = 48.0
    chunk_tokens: int = 4_096
    event_tokens: int = 7


class Job:
    """One attempt at a runner.

    Attributes:
      id: Id of the attempt.
      model: The model that runs it.
      prompt: Its prompt.
      unread: Prompt tokens that are still to be read, once it runs.
      tokens: Tokens generated so far.
      output_tokens: Tokens of the whole answer.
      event_ms: When the last event was complete, 0 before the first.
      longest_pause_ms: Longest time between two events so far.
    """

    __slots__ = (
        'id',
        'model',
        'prompt',
        'urgency',
        'unread',
        'tokens',
        'output_tokens',
        'event_ms',
        'longest_pause_ms',
    )

    def __init__(
        self,
        job_id: str,
        model: Model,
        prompt: requests.Prompt,
        output_tokens: int,
        urgency: int,
    ) -> None:
        self.id = job_id
        self.model = model
        self.prompt = prompt
        self.urgency = urgency
        self.unread = 0
        self.tokens = 0
        self.output_tokens = output_tokens
        self.event_ms = 0.0
        self.longest_pause_ms = 0.0

    def record_event(self, now_ms: float) -> None:
        """Records when an event was complete."""
        if self.event_ms:
            pause_ms = now_ms - self.event_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self.event_ms = now_ms

    @property
    def memory(self) -> int:
        """Tokens of memory that it takes."""
        return self.prompt.tokens + self.tokens


class Outcome(NamedTuple):
    """An event that a step brought: the first one, the last one, or any."""

    job: Job
    first: bool
    done: bool


class Runner:
    """Runs jobs in steps; the caller keeps the time.

    Args:
      runner_id: Its id.
      speed: How fast it is.
      slots: Jobs that run together.
      queue: Jobs that wait at most.
      cache_tokens: Memory for prompts and answers.

    Attributes:
      read_tokens: Prompt tokens read so far.
      kept_tokens: Prompt tokens that need not be read, so far.
    """

    def __init__(
        self,
        runner_id: str,
        speed: Speed,
        slots: int,
        queue: int,
        cache_tokens: int,
    ) -> None:
        self.id = runner_id
        self.read_tokens = 0
        self.kept_tokens = 0
        self._speed = speed
        self._slots = slots
        self._queue = queue
        self._cache_tokens = cache_tokens
        self._running: list[Job] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._arrivals = 0
        self._tokens_by_part: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._cached = 0
        #: Prompt tokens that the present step reads, by job, and its tokens.
        self._chunks: dict[Job, int] = {}
        self._steps = 0

    @property
    def idle(self) -> bool:
        """Whether there is nothing to do."""
        return not self._running and not self._waiting

    @property
    def unread_ms(self) -> float:
        """Time that the prompts take that it has not read yet."""
        tokens = sum(job.model.pace * job.unread for job in self._running)
        for _, _, job in self._waiting:
            tokens += job.model.pace * self._missing(job.model, job.prompt)
        return tokens / self._speed.prompt_tokens_per_ms

    def first_ms(self, model: Model, prompt: requests.Prompt) -> float:
        """Returns when it would have read a prompt that came now."""
        tokens = model.pace * self._missing(model, prompt)
        return self.unread_ms + tokens / self._speed.prompt_tokens_per_ms

    def _missing(self, model: Model, prompt: requests.Prompt) -> int:
        tokens = prompt.tokens
        for part in prompt.blocks:
            if (model.name, part.id) not in self._tokens_by_part:
                break
            tokens -= part.tokens
        return max(1, tokens)

    def submit(self, job: Job) -> bool:
        """Takes a job; False if the queue is full."""
        if len(self._waiting) >= self._queue:
            return False
        self._arrivals += 1
        heapq.heappush(self._waiting, (job.urgency, self._arrivals, job))
        return True

    def cancel(self, job: Job) -> None:
        """Forgets a job, running or not."""
        if job in self._running:
            self._running.remove(job)
            self._chunks.pop(job, None)
            return
        kept = [each for each in self._waiting if each[2] is not job]
        if len(kept) < len(self._waiting):
            heapq.heapify(kept)
            self._waiting = kept

    def begin_step(self) -> float:
        """Begins a step and returns how long it takes, in ms.

        Where no prompt is being read, several steps are taken as one, up
        to the next event.
        """
        self._admit()
        self._chunks = self._choose_chunks()
        writing = [job for job in self._running if not job.unread]
        paces = sum(job.model.pace for job in writing)
        step_ms = 0.0
        if writing:
            slowest = max(job.model.pace for job in writing)
            step_ms = self._speed.step_ms * slowest
            step_ms += self._speed.step_ms_per_request * paces
        reading_ms = sum(
            tokens * job.model.pace / self._speed.prompt_tokens_per_ms
            for job, tokens in self._chunks.items()
        )
        self._steps = 1
        if writing and not self._chunks:
            self._steps = min(self._tokens_to_event(job) for job in writing)
        return max(0.05, step_ms * self._steps + reading_ms)

    def end_step(self, now_ms: float) -> list[Outcome]:
        """Ends the step and returns what it brought."""
        outcomes = []
        size = self._speed.event_tokens
        for job in list(self._running):
            if job.unread:
                self._read(job)
                if job.unread:
                    continue
            first = job.tokens < size
            before = job.tokens
            job.tokens += self._steps
            began = first and job.tokens >= size
            done = job.tokens >= job.output_tokens
            has_event = done or job.tokens // size > before // size
            if has_event:
                job.record_event(now_ms)
            if done:
                self._running.remove(job)
            if has_event:
                outcomes.append(Outcome(job, began or (first and done), done))
        return outcomes

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            job = self._waiting[0][2]
            used = sum(each.memory for each in self._running)
            needed = job.prompt.tokens + job.output_tokens
            if self._running and used + needed > self._cache_tokens:
                return
            heapq.heappop(self._waiting)
            kept = self._kept(job)
            self.kept_tokens += kept
            job.unread = max(1, job.prompt.tokens - kept)
            self._running.append(job)

    def _choose_chunks(self) -> dict[Job, int]:
        left = self._speed.chunk_tokens
        chunks: dict[Job, int] = {}
        for job in sorted(
            (job for job in self._running if job.unread),
            key=lambda job: job.urgency,
        ):
            if left <= 0:
                break
            chunks[job] = min(left, job.unread)
            left -= chunks[job]
        return chunks

    def _tokens_to_event(self, job: Job) -> int:
        size = self._speed.event_tokens
        to_event = size - job.tokens % size
        return max(1, min(to_event, job.output_tokens - job.tokens))

    def _read(self, job: Job) -> None:
        tokens = self._chunks.get(job, 0)
        self.read_tokens += tokens
        job.unread -= tokens
        if not job.unread:
            for part in job.prompt.blocks:
                self._keep((job.model.name, part.id), part.tokens)

    def _kept(self, job: Job) -> int:
        tokens = 0
        for part in job.prompt.blocks:
            key = (job.model.name, part.id)
            if key not in self._tokens_by_part:
                break
            self._tokens_by_part.move_to_end(key)
            tokens += part.tokens
        return tokens

    def _keep(self, key: tuple[str, str], tokens: int) -> None:
        self._cached += tokens - self._tokens_by_part.pop(key, 0)
        self._tokens_by_part[key] = tokens
        used = sum(each.memory for each in self._running)
        room = max(0, self._cache_tokens - used)
        while self._cached > room and len(self._tokens_by_part) > 1:
            _, freed = self._tokens_by_part.popitem(last=False)
            self._cached -= freed


def confidence(model: Model, hardness: float, noise: float) -> int:
    """Returns a model's rough opinion of its answer, 0 to 100.

    Args:
      model: The model.
      hardness: How hard the request is, 0 to 1.
      noise: A normal deviate; opinions are rough.
    """
    surplus = model.quality - hardness
    return round(100 / (1 + math.exp(-(6 * surplus + 0.8 * noise))))
