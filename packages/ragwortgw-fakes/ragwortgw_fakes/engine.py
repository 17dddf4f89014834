"""Stand-in for a model engine with an OpenAI-style API."""

import asyncio
from collections.abc import AsyncGenerator
from typing import Any

import msgspec
import xxhash

from ragwortgw_fakes import answers
from ragwortgw_fakes import backend
from ragwortgw_fakes import batch
from ragwortgw_fakes import chat_runs
from ragwortgw_fakes import http
from ragwortgw_fakes import prefixes
from ragwortgw_fakes import serving


class EngineFake(backend.BackendFake):
    """The engine; control fields beside those of all backend servers:

    stall_next, truncate_next: The next N runs send no more data after
      stall_after or truncate_after pieces; truncate_mode is 'end' (the
      body ends in order, without [DONE]) or 'reset'.
    tokens_per_s, prompt_tokens_per_s, slowdown, slots: Speed.
    honours_resume: Whether X-Resume-Offset is heeded.
    cache_lag_ms, cache_gap_share: Lag and gaps of cache events.
    """

    def __init__(
        self,
        versions: list[str],
        speed: batch.Speed,
        cache_tokens: int = 100_000,
        **options: Any,
    ) -> None:
        super().__init__(versions, **options)
        self.batch = batch.Batch(speed)
        self.cache = prefixes.PrefixCache(cache_tokens, 500, 0.05)
        self.stall_next = 0
        self.stall_after = 2
        self.truncate_next = 0
        self.truncate_after = 2
        self.truncate_mode = 'end'
        self.honours_resume = True
        self._chats_by_job: dict[batch.Job, chat_runs.ChatRun] = {}
        self._batch_task: asyncio.Task | None = None

    async def started(self) -> None:
        await super().started()
        self._batch_task = asyncio.create_task(self.batch.run())

    async def close(self) -> None:
        if self._batch_task is not None:
            self._batch_task.cancel()
        await super().close()

    async def control(self, fields: dict[str, Any]) -> dict[str, Any]:
        answer = await super().control(fields)
        for name in (
            'stall_next',
            'stall_after',
            'truncate_next',
            'truncate_after',
            'truncate_mode',
            'honours_resume',
        ):
            if name in fields:
                setattr(self, name, fields[name])
        speed = {k: fields[k] for k in batch.Speed._fields if k in fields}
        self.batch.speed = self.batch.speed._replace(**speed)
        self.cache.event_lag_ms = fields.get(
            'cache_lag_ms', self.cache.event_lag_ms
        )
        self.cache.gap_share = fields.get(
            'cache_gap_share', self.cache.gap_share
        )
        return answer

    def load(self) -> dict[str, Any]:
        return {
            'running': len(self.batch.running),
            'waiting': self.batch.waiting(),
            'slots': self.batch.speed.slots,
            'cache_fill': round(self.cache.fill(), 4),
        }

    def forget(self) -> None:
        self.batch.clear()
        self.cache.clear()
        self._chats_by_job.clear()

    async def handle_own(
        self, request: http.Request
    ) -> http.Response | http.StreamResponse:
        if request.path == '/v1/cache-events':
            return self._cache_events(request)
        if request.path == '/v1/models':
            data = [{'id': v, 'object': 'model'} for v in self.versions]
            return http.json_response(200, {'object': 'list', 'data': data})
        if (request.method, request.path) == ('POST', '/v1/chat/completions'):
            return await self._complete(request)
        return http.error_response(404, 'unknown-path')

    def cancel(self, run_id: str) -> int:
        cancelled = [
            chat
            for chat in self._chats_by_job.values()
            if run_id in (chat.record['request_id'], chat.record['attempt_id'])
        ]
        for chat in cancelled:
            self._drop(chat, 'cancelled')
            chat.job.queue.put_nowait(None)
        return len(cancelled)

    def _cache_events(self, request: http.Request) -> http.Response:
        after = int(request.query.get('after', '0'))
        events = self.cache.events(after, serving.now_ms())
        listed = [
            {'sequence': e.sequence, 'prefix': e.prefix, 'present': e.present}
            for e in events
        ]
        return http.json_response(200, {'events': listed})

    async def _complete(
        self, request: http.Request
    ) -> http.Response | http.StreamResponse:
        try:
            body = msgspec.json.decode(request.body)
        except msgspec.DecodeError:
            return http.error_response(400, 'malformed')
        version = body.get('model', '')
        if version not in self.versions:
            return http.error_response(404, 'model_not_found')
        if self.batch.waiting() >= self.max_waiting:
            return http.error_response(503, 'queue-full')
        chat = self._begin(request, body, version)
        if self.fails(version, chat.prompt):
            self._drop(chat, 'failed')
            return http.error_response(500, 'internal')
        if self.poison_in(request.body) is not None:
            chat.job.stall_at = 1
            self.spawn(self.strike(chat.record, request.body))
        self.batch.submit(chat.job)
        if body.get('stream'):
            echo = (('x-resume-offset', str(chat.offset)),)
            return http.StreamResponse(200, self._stream(chat), headers=echo)
        return await self._whole(chat)

    def _begin(
        self, request: http.Request, body: dict[str, Any], version: str
    ) -> chat_runs.ChatRun:
        prompt = answers.prompt_of(body.get('messages', []))
        offset = int(request.headers.get('x-resume-offset', '0'))
        if not self.honours_resume:
            offset = 0
        pieces = answers.compose(
            version,
            self.quality_of(version),
            prompt,
            int(body.get('max_tokens') or 0),
        )
        cached = self.cache.use(prompt, serving.now_ms())
        uncached = max(0, answers.prompt_tokens(prompt) - cached)
        record = self.begin_record(request, version)
        record['prompt'] = xxhash.xxh3_64_hexdigest(prompt.encode())
        record['resume_offset'] = offset
        job = batch.Job(pieces[offset:], uncached, record['priority'])
        chat = chat_runs.ChatRun(body, record, job, offset, cached)
        if self.stall_next > 0:
            self.stall_next -= 1
            job.stall_at = self.stall_after
        if self.truncate_next > 0:
            self.truncate_next -= 1
            chat.truncate_at = self.truncate_after
        self._chats_by_job[job] = chat
        self.note_load()
        return chat

    def _drop(self, chat: chat_runs.ChatRun, outcome: str) -> None:
        if self._chats_by_job.pop(chat.job, None) is None:
            return
        self.batch.remove(chat.job)
        chat.record['pieces'] = chat.job.position
        self.end_record(chat.record, outcome)

    async def _whole(self, chat: chat_runs.ChatRun) -> http.Response:
        outcome = 'cancelled'
        try:
            while await chat.job.queue.get() is not None:
                if self._truncated(chat):
                    outcome = 'truncated'
                    raise http.Drop
            if chat.record['end_ms'] is not None:
                return http.error_response(499, 'cancelled')
            outcome = 'done'
            return http.json_response(200, chat.whole())
        finally:
            self._drop(chat, outcome)

    async def _stream(
        self, chat: chat_runs.ChatRun
    ) -> AsyncGenerator[bytes, None]:
        outcome = 'cancelled'
        try:
            piece = await chat.job.queue.get()
            yield chat.chunk({'role': 'assistant', 'content': ''})
            while piece is not None:
                yield chat.chunk({'content': piece})
                if self._truncated(chat):
                    outcome = 'truncated'
                    if self.truncate_mode == 'reset':
                        raise http.Drop
                    return
                piece = await chat.job.queue.get()
            if chat.record['end_ms'] is not None:
                return
            yield chat.chunk({}, 'stop')
            yield chat.usage_chunk()
            outcome = 'done'
            yield chat_runs.DONE
        finally:
            self._drop(chat, outcome)

    def _truncated(self, chat: chat_runs.ChatRun) -> bool:
        limit = chat.truncate_at
        return limit is not None and chat.job.position >= limit


def main(
    *,
    port: int = 0,
    versions: str = 'proof@v1',
    slots: int = 8,
    tokens_per_s: float = 100.0,
    slowdown: float = 0.05,
    prompt_tokens_per_s: float = 8000.0,
    cache_tokens: int = 100_000,
    load_lag_ms: int = 300,
    fencing: str = 'honour',
    weights: str = '',
    load_ms: int = 200,
    max_waiting: int = 256,
    quality: float = 0.8,
    records: str = '',
) -> None:
    """Serves an engine.

    Args:
      port: TCP port; 0 takes a free one.
      versions: Version ids loaded at the start, parted by commas; 'id=0.7'
        sets the version's quality.
      slots: Runs in a batch.
      tokens_per_s: Speed of a run that is alone.
      slowdown: Share by which each further run stretches a step.
      prompt_tokens_per_s: Speed at which prompts are read, all together.
      cache_tokens: Memory for prefixes.
      load_lag_ms: Age of the load report.
      fencing: 'honour' or 'ignore' fencing numbers in orders.
      weights: 'ip:port' of the weight store; '' loads within load_ms.
      load_ms: Time to load a version without a weight store.
      max_waiting: Queued runs above which requests are refused.
      quality: Quality of versions for which none is set.
      records: File to which each run is appended as JSON lines.
    """
    names, qualities = backend.parse_versions(versions)
    fake = EngineFake(
        names,
        batch.Speed(slots, tokens_per_s, slowdown, prompt_tokens_per_s),
        cache_tokens,
        qualities_by_version=qualities,
        load_lag_ms=load_lag_ms,
        honours_fencing=fencing == 'honour',
        weights_address=weights,
        load_ms=load_ms,
        max_waiting=max_waiting,
        default_quality=quality,
        records_path=records,
    )
    serving.run(fake, port)
