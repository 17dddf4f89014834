"""Grants each idempotency key to at most one request, ever."""

from typing import Any, Literal, NamedTuple

from ragwortgw_core import documents
from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import group_commit
from ragwortgw_core import ids
from ragwortgw_core import ledger_page
from ragwortgw_core import notices
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import requests

OWNER = 'ledger'
MAX_KEY_AGE_MS = 24 * 3_600_000
MAX_KEY_AHEAD_MS = 60_000
CLAIM_TIMEOUT_MS = 5_000
#: Claims wait only this long once the service has failed for a while.
OUTAGE_CLAIM_TIMEOUT_MS = 300
OUTAGE_AFTER_MS = 2_000
RUN_TIMEOUT_MS = 60_000
#: Ends of calls wait this long for others of the same page.
OUTCOME_DELAY_MS = 100
MAX_CLAIMS = 10_000
MAX_ANSWER_BYTES = 900_000
#: Bodies of answers that wait to be recorded, all together.
MAX_BUFFERED_BYTES = 4_000_000
MAX_CONTENT_TYPE_CHARS = 100
ANSWER_RETRY_MS = 500
RETRY_AFTER_MS = 1_000

Phase = Literal['claiming', 'running', 'finished', 'unknown', 'released']


class AnswerTag(NamedTuple):
    """Marks the write of an answer that lies apart."""

    key: str


class ReplayTag(NamedTuple):
    """Marks the read of an answer that lies apart."""

    request_id: str
    answer: ledger_page.StoredAnswer


class KeyClaim:
    """A key that this process claims, holds or gives back."""

    __slots__ = (
        'answer',
        'give_up_at_ms',
        'key',
        'page',
        'phase',
        'retry_at_ms',
        'take',
    )

    def __init__(
        self, page: str, take: ledger_page.AddClaim, give_up_at_ms: int
    ) -> None:
        self.key = take.key
        self.page = page
        self.take = take
        self.phase: Phase = 'claiming'
        self.answer: requests.Answer | None = None
        self.give_up_at_ms = give_up_at_ms
        self.retry_at_ms: int | None = None


class Ledger:
    """Claims keys before their calls run and records what came of them.

    A claim is one entry in a platform value, made by compare-and-swap;
    it goes only when the process that made it is certain that nothing
    ran. Ends of calls are kept through an outage of the service.

    Args:
      calls: Makes the platform calls.
    """

    def __init__(self, calls: platform_calls.PlatformCalls) -> None:
        self._calls = calls
        self._codec = ledger_page.Codec()
        self._pages = group_commit.GroupCommitter(calls, OWNER, self._codec)
        self._calls_by_key: dict[str, KeyClaim] = {}
        self._held_bytes = 0
        self._failing_since_ms: int | None = None
        calls.register(OWNER, self)

    def claim(
        self,
        stamp: events.Stamp,
        idempotency_key: str,
        fingerprint: str,
        request_id: str,
        system: documents.System,
        deadline_ms: int = 0,
    ) -> list[Any]:
        """Asks for the right to run a call.

        Args:
          stamp: Time and randomness.
          idempotency_key: A UUIDv7.
          fingerprint: Hash of organisation and body.
          request_id: Unique id of the request.
          system: Settings in force.
          deadline_ms: Time by which the call is over, Unix ms.
        Returns: Effects; ClaimGranted, ClaimReplayed or ClaimDenied for
          the request follows now or later.
        """
        key_ms = ids.uuid7_ms(idempotency_key)
        key = idempotency_key.lower()
        failure = self._fault(stamp, key, key_ms, fingerprint)
        if failure is not None:
            return [notices.ClaimDenied(request_id, failure)]
        held = self._calls_by_key.get(key)
        if held is not None:
            return [_answer_from(held, request_id)]
        assert key_ms is not None
        take = ledger_page.AddClaim(
            key,
            fingerprint,
            request_id,
            deadline_ms or stamp.now_ms + RUN_TIMEOUT_MS,
        )
        page = ledger_page.page_key(key, key_ms, system['ledger_shards'])
        give_up_at_ms = min(self._give_up_at_ms(stamp), take.deadline_ms)
        self._calls_by_key[key] = KeyClaim(page, take, give_up_at_ms)
        return self._submit(stamp, page, take, stamp.now_ms)

    def finish(
        self,
        stamp: events.Stamp,
        idempotency_key: str,
        answer: requests.Answer,
    ) -> list[Any]:
        """Records the answer of a call that ran.

        Args:
          stamp: Time and randomness.
          idempotency_key: The key of a granted claim.
          answer: The whole answer.
        Returns: Effects.
        """
        call = self._running(idempotency_key)
        if call is None:
            return []
        size_bytes = len(answer.body)
        room_bytes = MAX_BUFFERED_BYTES - self._held_bytes
        if size_bytes > min(MAX_ANSWER_BYTES, room_bytes):
            return self.mark_unknown(stamp, idempotency_key)
        self._held_bytes += size_bytes
        call.phase = 'finished'
        content_type = answer.content_type[:MAX_CONTENT_TYPE_CHARS]
        call.answer = answer._replace(content_type=content_type)
        if size_bytes > ledger_page.MAX_INLINE_BYTES:
            return self._write_answer(stamp, call)
        return self._end(stamp, call)

    def release(self, stamp: events.Stamp, idempotency_key: str) -> list[Any]:
        """Gives a key back; only when it is certain that nothing ran."""
        call = self._running(idempotency_key)
        if call is None:
            return []
        call.phase = 'released'
        return self._end(stamp, call)

    def mark_unknown(
        self, stamp: events.Stamp, idempotency_key: str
    ) -> list[Any]:
        """Records that a call may have run; it never runs again."""
        call = self._running(idempotency_key)
        if call is None:
            return []
        call.phase = 'unknown'
        return self._end(stamp, call)

    def pending_count(self) -> int:
        """Returns the number of keys held or not yet recorded."""
        return len(self._calls_by_key)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Gives up overdue claims and works on pages that are due."""
        out: list[Any] = []
        for call in list(self._calls_by_key.values()):
            if call.phase == 'claiming':
                out += self._give_up_overdue(stamp, call)
            elif call.retry_at_ms and call.retry_at_ms <= stamp.now_ms:
                out += self._write_answer(stamp, call)
        return out + self._apply(stamp, self._pages.on_tick(stamp))

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the answer to a call on a page or an answer apart."""
        self._note_health(stamp, result)
        if isinstance(tag, AnswerTag):
            return self._on_answer_written(stamp, tag, result)
        if isinstance(tag, ReplayTag):
            return [_replay_apart(tag, result)]
        items = self._pages.on_result(stamp, tag, call, result)
        return self._apply(stamp, items)

    def _note_health(
        self, stamp: events.Stamp, result: platform.Result
    ) -> None:
        if not isinstance(result, platform.Unavailable):
            self._failing_since_ms = None
        elif self._failing_since_ms is None:
            self._failing_since_ms = stamp.now_ms

    def _give_up_at_ms(self, stamp: events.Stamp) -> int:
        since_ms = self._failing_since_ms
        if since_ms is None or stamp.now_ms - since_ms < OUTAGE_AFTER_MS:
            return stamp.now_ms + CLAIM_TIMEOUT_MS
        return stamp.now_ms + OUTAGE_CLAIM_TIMEOUT_MS

    def _fault(
        self,
        stamp: events.Stamp,
        key: str,
        key_ms: int | None,
        fingerprint: str,
    ) -> Any:
        if key_ms is None:
            return errors.BadIdempotencyKey('not a UUIDv7')
        age_ms = stamp.now_ms - key_ms
        if not -MAX_KEY_AHEAD_MS <= age_ms <= MAX_KEY_AGE_MS:
            return errors.KeyOutOfTime(key_ms, stamp.now_ms)
        held = self._calls_by_key.get(key)
        if held is not None and held.take.fingerprint != fingerprint:
            return errors.KeyReused(key)
        if held is None and len(self._calls_by_key) >= MAX_CLAIMS:
            return errors.LedgerFull(RETRY_AFTER_MS, ran='unknown')
        return None

    def _running(self, idempotency_key: str) -> KeyClaim | None:
        call = self._calls_by_key.get(idempotency_key.lower())
        if call is None or call.phase != 'running':
            return None
        return call

    def _end(
        self, stamp: events.Stamp, call: KeyClaim, apart: bool = False
    ) -> list[Any]:
        key, token = call.key, call.take.token
        operation: Any = ledger_page.MarkUnknown(key, token)
        if call.phase == 'released':
            operation = ledger_page.Release(key, token)
        elif call.phase == 'finished':
            assert call.answer is not None
            operation = ledger_page.Finish(key, token, call.answer, apart)
        due_at_ms = stamp.now_ms + OUTCOME_DELAY_MS
        return self._submit(stamp, call.page, operation, due_at_ms)

    def _submit(
        self, stamp: events.Stamp, page: str, operation: Any, due_at_ms: int
    ) -> list[Any]:
        items = self._pages.submit(stamp, page, operation, due_at_ms)
        return self._apply(stamp, items)

    def _apply(self, stamp: events.Stamp, items: list[Any]) -> list[Any]:
        out: list[Any] = []
        for item in items:
            if isinstance(item, group_commit.Completed):
                out += self._conclude(stamp, item)
            else:
                out.append(item)
        return out

    def _conclude(
        self, stamp: events.Stamp, item: group_commit.Completed
    ) -> list[Any]:
        call = self._calls_by_key.get(item.operation.key)
        if call is None or call.take.token != item.operation.token:
            return []
        if isinstance(item.outcome, ledger_page.TooLarge):
            return self._write_answer(stamp, call)
        if not isinstance(item.operation, ledger_page.AddClaim):
            self._drop(call)
            return []
        if call.phase != 'claiming':
            return []
        if isinstance(item.outcome, ledger_page.Granted):
            call.phase = 'running'
            return [notices.ClaimGranted(call.take.token)]
        self._drop(call)
        if isinstance(item.outcome, ledger_page.Replay):
            return self._replay(stamp, call, item.outcome.answer)
        return [notices.ClaimDenied(call.take.token, item.outcome.failure)]

    def _replay(
        self,
        stamp: events.Stamp,
        call: KeyClaim,
        stored: ledger_page.StoredAnswer,
    ) -> list[Any]:
        if not stored['apart']:
            return [notices.ClaimReplayed(call.take.token, _answer(stored))]
        return self._calls.call(
            stamp,
            OWNER,
            ReplayTag(call.take.token, stored),
            platform.Get(ledger_page.answer_key(call.key)),
            stamp.now_ms + CLAIM_TIMEOUT_MS,
        )

    def _give_up_overdue(
        self, stamp: events.Stamp, call: KeyClaim
    ) -> list[Any]:
        if stamp.now_ms < call.give_up_at_ms:
            return []
        failure = errors.PlatformUnavailable(RETRY_AFTER_MS, ran='unknown')
        out: list[Any] = [
            notices.ClaimDenied(call.take.token, failure),
            effects.Count('claims_given_up', ()),
        ]
        if self._pages.cancel(call.page, call.take):
            self._drop(call)
            return out
        call.phase = 'released'
        return out + self._end(stamp, call)

    def _drop(self, call: KeyClaim) -> None:
        del self._calls_by_key[call.key]
        if call.answer is not None:
            self._held_bytes -= len(call.answer.body)

    def _write_answer(self, stamp: events.Stamp, call: KeyClaim) -> list[Any]:
        assert call.answer is not None
        call.retry_at_ms = None
        put = platform.Put(
            ledger_page.answer_key(call.key), call.answer.body, 0
        )
        deadline_ms = stamp.now_ms + CLAIM_TIMEOUT_MS
        tag = AnswerTag(call.key)
        return self._calls.call(stamp, OWNER, tag, put, deadline_ms)

    def _on_answer_written(
        self, stamp: events.Stamp, tag: AnswerTag, result: platform.Result
    ) -> list[Any]:
        call = self._calls_by_key.get(tag.key)
        if call is None or call.phase != 'finished':
            return []
        if isinstance(result, platform.Written | platform.Conflict):
            return self._end(stamp, call, apart=True)
        call.retry_at_ms = stamp.now_ms + ANSWER_RETRY_MS
        return []


def new_ledger(calls: platform_calls.PlatformCalls) -> Ledger:
    """Builds a ledger that holds no keys.

    Args:
      calls: Makes the platform calls.
    Returns: The ledger.
    """
    return Ledger(calls)


def _answer(stored: ledger_page.StoredAnswer) -> requests.Answer:
    return requests.Answer(
        stored['status'],
        stored['content_type'],
        stored['body'],
        stored['usage'],
    )


def _answer_from(call: KeyClaim, request_id: str) -> Any:
    if call.phase == 'finished':
        assert call.answer is not None
        return notices.ClaimReplayed(request_id, call.answer)
    if call.phase == 'unknown':
        failure: Any = errors.OutcomeUnknown(call.key)
        return notices.ClaimDenied(request_id, failure)
    failure = errors.CallInProgress(call.key, RETRY_AFTER_MS)
    return notices.ClaimDenied(request_id, failure)


def _replay_apart(tag: ReplayTag, result: platform.Result) -> Any:
    if not isinstance(result, platform.Found):
        failure = errors.PlatformUnavailable(RETRY_AFTER_MS, ran='unknown')
        return notices.ClaimDenied(tag.request_id, failure)
    answer = _answer(tag.answer)._replace(body=result.value)
    return notices.ClaimReplayed(tag.request_id, answer)
