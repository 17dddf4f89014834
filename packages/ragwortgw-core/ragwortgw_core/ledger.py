"""Ledger of idempotency keys: each key runs at most one request.

A request claims its key before it is dispatched. Claims are stored in
pages of the platform service and written by compare-and-swap, so that two
entries never hold the same key. The outcome of the call replaces the
claim; a retry with the key then gets the stored answer, or a refusal.
"""

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
#: Keys with an older timestamp are refused.
MAX_KEY_AGE_MS = 24 * 3_600_000
#: Keys may be this far ahead of this process's clock.
MAX_KEY_AHEAD_MS = 60_000
CLAIM_TIMEOUT_MS = 5_000
#: Claim timeout once the service has failed for OUTAGE_AFTER_MS.
OUTAGE_CLAIM_TIMEOUT_MS = 300
OUTAGE_AFTER_MS = 2_000
#: Time limit of a call that comes without a deadline.
RUN_TIMEOUT_MS = 60_000
#: Outcomes wait this long, so that those of one page share a write.
OUTCOME_DELAY_MS = 100
MAX_CLAIMS = 10_000
MAX_ANSWER_BYTES = 900_000
#: Total size of the answer bodies that are not recorded yet.
MAX_BUFFERED_BYTES = 4_000_000
MAX_CONTENT_TYPE_CHARS = 100
ANSWER_RETRY_MS = 500
RETRY_AFTER_MS = 1_000

#: 'claiming' until the claim is granted; 'finished', 'unknown' and 'released'
#: until that outcome is recorded.
Phase = Literal['claiming', 'running', 'finished', 'unknown', 'released']


class AnswerTag(NamedTuple):
    """Identifies the write of a separately stored answer body."""

    key: str


class ReplayTag(NamedTuple):
    """Identifies the read of a separately stored answer body."""

    request_id: str
    answer: ledger_page.StoredAnswer


class KeyClaim:
    """State of a key that this process claims, holds or releases.

    Attributes:
      add: The operation that adds the claim to its page.
      answer: Answer to record; None unless the phase is 'finished'.
      expires_at_ms: When an unanswered claim fails, Unix ms.
      retry_at_ms: When to write the answer body again, Unix ms; None if
        no write has failed.
      written: Whether the claim is on its page and waits to be granted.
    """

    __slots__ = (
        'add',
        'answer',
        'expires_at_ms',
        'key',
        'page',
        'phase',
        'retry_at_ms',
        'written',
    )

    def __init__(
        self, page: str, add: ledger_page.AddClaim, expires_at_ms: int
    ) -> None:
        self.key = add.key
        self.page = page
        self.add = add
        self.phase: Phase = 'claiming'
        self.answer: requests.Answer | None = None
        self.expires_at_ms = expires_at_ms
        self.retry_at_ms: int | None = None
        self.written = False


class Ledger:
    """Claims keys before their calls run and records the outcomes.

    A claim is one item of a page in the platform service, added by
    compare-and-swap. It is removed only when the process that added it is
    certain that nothing ran. Outcomes that the service can't store during
    an outage are buffered and written when it is back.

    Args:
      calls: Makes the platform calls.
    """

    def __init__(self, calls: platform_calls.PlatformCalls) -> None:
        self._calls = calls
        self._codec = ledger_page.Codec()
        self._pages = group_commit.GroupCommitter(calls, OWNER, self._codec)
        self._claims_by_key: dict[str, KeyClaim] = {}
        self._buffered_bytes = 0
        self._failing_since_ms: int | None = None
        calls.register(OWNER, self)
        calls.restores.register(self)

    def claim(
        self,
        stamp: events.Stamp,
        idempotency_key: str,
        fingerprint: str,
        request_id: str,
        system: documents.System,
        deadline_ms: int = 0,
    ) -> list[Any]:
        """Claims a key, which permits its holder to run the call.

        Args:
          stamp: Time and randomness.
          idempotency_key: A UUIDv7.
          fingerprint: Hash of organisation and body.
          request_id: Unique id of the request.
          system: Settings in force.
          deadline_ms: When the call ends at the latest, Unix ms; 0 for
            RUN_TIMEOUT_MS from now.
        Returns: Effects; ClaimGranted, ClaimReplayed or ClaimDenied for
          the request is among them or follows later.
        """
        key_ms = ids.uuid7_ms(idempotency_key)
        key = idempotency_key.lower()
        failure = self._check_key(stamp, key, key_ms, fingerprint)
        if failure is not None:
            return [notices.ClaimDenied(request_id, failure)]
        held = self._claims_by_key.get(key)
        if held is not None:
            return [_notice_of(held, request_id)]
        assert key_ms is not None
        add = ledger_page.AddClaim(
            key,
            fingerprint,
            request_id,
            deadline_ms or stamp.now_ms + RUN_TIMEOUT_MS,
        )
        page = ledger_page.page_key(key, key_ms, system['ledger_shards'])
        expires_at_ms = min(self._expires_at_ms(stamp), add.deadline_ms)
        self._claims_by_key[key] = KeyClaim(page, add, expires_at_ms)
        return self._submit(stamp, page, add, stamp.now_ms)

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
          answer: The complete answer; one that is too large to store is
            recorded as an unknown outcome.
        Returns: Effects.
        """
        claim = self._running_claim(idempotency_key)
        if claim is None:
            return []
        size_bytes = len(answer.body)
        free_bytes = MAX_BUFFERED_BYTES - self._buffered_bytes
        if size_bytes > min(MAX_ANSWER_BYTES, free_bytes):
            return self.mark_unknown(stamp, idempotency_key)
        self._buffered_bytes += size_bytes
        claim.phase = 'finished'
        content_type = answer.content_type[:MAX_CONTENT_TYPE_CHARS]
        claim.answer = answer._replace(content_type=content_type)
        if size_bytes > ledger_page.MAX_INLINE_BYTES:
            return self._write_answer(stamp, claim)
        return self._submit_outcome(stamp, claim)

    def release(self, stamp: events.Stamp, idempotency_key: str) -> list[Any]:
        """Removes a claim; the caller must be certain that nothing ran."""
        claim = self._running_claim(idempotency_key)
        if claim is None:
            return []
        claim.phase = 'released'
        return self._submit_outcome(stamp, claim)

    def mark_unknown(
        self, stamp: events.Stamp, idempotency_key: str
    ) -> list[Any]:
        """Records that a call may have run; its key is never granted again."""
        claim = self._running_claim(idempotency_key)
        if claim is None:
            return []
        claim.phase = 'unknown'
        return self._submit_outcome(stamp, claim)

    def pending_count(self) -> int:
        """Returns the number of keys held or whose outcome is unrecorded."""
        return len(self._claims_by_key)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Fails overdue claims, retries answer writes, writes due pages."""
        outputs: list[Any] = []
        for claim in list(self._claims_by_key.values()):
            if claim.phase == 'claiming':
                outputs += self._fail_overdue(stamp, claim)
            elif claim.retry_at_ms and claim.retry_at_ms <= stamp.now_ms:
                outputs += self._write_answer(stamp, claim)
        return outputs + self._apply_items(stamp, self._pages.on_tick(stamp))

    def on_restored(self, stamp: events.Stamp) -> list[Any]:
        """Writes claims and outcomes again that the service may have lost."""
        return self._apply_items(stamp, self._pages.on_restored(stamp))

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the result of a call on a page or an answer body."""
        self._record_availability(stamp, result)
        if isinstance(tag, AnswerTag):
            return self._on_answer_written(stamp, tag, result)
        if isinstance(tag, ReplayTag):
            return [_replay_body(tag, result)]
        items = self._pages.on_result(stamp, tag, call, result)
        return self._apply_items(stamp, items)

    def _record_availability(
        self, stamp: events.Stamp, result: platform.Result
    ) -> None:
        if not isinstance(result, platform.Unavailable):
            self._failing_since_ms = None
        elif self._failing_since_ms is None:
            self._failing_since_ms = stamp.now_ms

    def _expires_at_ms(self, stamp: events.Stamp) -> int:
        since_ms = self._failing_since_ms
        if since_ms is None or stamp.now_ms - since_ms < OUTAGE_AFTER_MS:
            return stamp.now_ms + CLAIM_TIMEOUT_MS
        return stamp.now_ms + OUTAGE_CLAIM_TIMEOUT_MS

    def _check_key(
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
        held = self._claims_by_key.get(key)
        if held is not None and held.add.fingerprint != fingerprint:
            return errors.KeyReused(key)
        if held is None and len(self._claims_by_key) >= MAX_CLAIMS:
            return errors.LedgerFull(RETRY_AFTER_MS, ran='unknown')
        return None

    def _running_claim(self, idempotency_key: str) -> KeyClaim | None:
        claim = self._claims_by_key.get(idempotency_key.lower())
        if claim is None or claim.phase != 'running':
            return None
        return claim

    def _submit_outcome(
        self, stamp: events.Stamp, claim: KeyClaim, separate: bool = False
    ) -> list[Any]:
        key, token = claim.key, claim.add.token
        operation: Any = ledger_page.MarkUnknown(key, token)
        if claim.phase == 'released':
            operation = ledger_page.Release(key, token)
        elif claim.phase == 'finished':
            assert claim.answer is not None
            operation = ledger_page.Finish(key, token, claim.answer, separate)
        due_at_ms = stamp.now_ms + OUTCOME_DELAY_MS
        return self._submit(stamp, claim.page, operation, due_at_ms)

    def _submit(
        self, stamp: events.Stamp, page: str, operation: Any, due_at_ms: int
    ) -> list[Any]:
        items = self._pages.submit(stamp, page, operation, due_at_ms)
        return self._apply_items(stamp, items)

    def _apply_items(self, stamp: events.Stamp, items: list[Any]) -> list[Any]:
        outputs: list[Any] = []
        for item in items:
            if isinstance(item, group_commit.Completed):
                outputs += self._on_completed(stamp, item)
            else:
                outputs.append(item)
        return outputs

    def _on_completed(
        self, stamp: events.Stamp, item: group_commit.Completed
    ) -> list[Any]:
        claim = self._claims_by_key.get(item.operation.key)
        if claim is None or claim.add.token != item.operation.token:
            return []
        if isinstance(item.outcome, ledger_page.TooLarge):
            return self._write_answer(stamp, claim)
        if not isinstance(item.operation, ledger_page.AddClaim):
            self._remove(claim)
            return []
        if claim.phase != 'claiming':
            return []
        if isinstance(item.outcome, ledger_page.Granted):
            return self._on_granted(stamp, claim)
        self._remove(claim)
        if isinstance(item.outcome, ledger_page.Replay):
            return self._replay(stamp, claim, item.outcome.answer)
        return [notices.ClaimDenied(claim.add.token, item.outcome.failure)]

    def _on_granted(self, stamp: events.Stamp, claim: KeyClaim) -> list[Any]:
        """Grants a claim, unless an earlier one of its key may be lost.

        The service may lack a claim from before its restore. The key is
        granted only if no such claim replaces this one until all are back.
        """
        restores = self._calls.restores
        if not restores.settling(stamp.now_ms):
            claim.phase = 'running'
            return [notices.ClaimGranted(claim.add.token)]
        claim.written = True
        return self._submit(
            stamp, claim.page, claim.add, restores.settled_at_ms
        )

    def _replay(
        self,
        stamp: events.Stamp,
        claim: KeyClaim,
        stored: ledger_page.StoredAnswer,
    ) -> list[Any]:
        if not stored['apart']:
            return [
                notices.ClaimReplayed(claim.add.token, _load_answer(stored))
            ]
        return self._calls.call(
            stamp,
            OWNER,
            ReplayTag(claim.add.token, stored),
            platform.Get(ledger_page.answer_key(claim.key)),
            stamp.now_ms + CLAIM_TIMEOUT_MS,
        )

    def _fail_overdue(self, stamp: events.Stamp, claim: KeyClaim) -> list[Any]:
        if stamp.now_ms < claim.expires_at_ms:
            return []
        failure = errors.PlatformUnavailable(RETRY_AFTER_MS, ran='unknown')
        outputs: list[Any] = [
            notices.ClaimDenied(claim.add.token, failure),
            effects.Count('claims_given_up', ()),
        ]
        if self._pages.cancel(claim.page, claim.add) and not claim.written:
            self._remove(claim)
            return outputs
        claim.phase = 'released'
        return outputs + self._submit_outcome(stamp, claim)

    def _remove(self, claim: KeyClaim) -> None:
        del self._claims_by_key[claim.key]
        if claim.answer is not None:
            self._buffered_bytes -= len(claim.answer.body)

    def _write_answer(self, stamp: events.Stamp, claim: KeyClaim) -> list[Any]:
        assert claim.answer is not None
        claim.retry_at_ms = None
        put = platform.Put(
            ledger_page.answer_key(claim.key), claim.answer.body, 0
        )
        deadline_ms = stamp.now_ms + CLAIM_TIMEOUT_MS
        tag = AnswerTag(claim.key)
        return self._calls.call(stamp, OWNER, tag, put, deadline_ms)

    def _on_answer_written(
        self, stamp: events.Stamp, tag: AnswerTag, result: platform.Result
    ) -> list[Any]:
        claim = self._claims_by_key.get(tag.key)
        if claim is None or claim.phase != 'finished':
            return []
        if isinstance(result, platform.Written | platform.Conflict):
            return self._submit_outcome(stamp, claim, separate=True)
        claim.retry_at_ms = stamp.now_ms + ANSWER_RETRY_MS
        return []


def new_ledger(calls: platform_calls.PlatformCalls) -> Ledger:
    """Builds an empty ledger.

    Args:
      calls: Makes the platform calls.
    Returns: The ledger.
    """
    return Ledger(calls)


def _load_answer(stored: ledger_page.StoredAnswer) -> requests.Answer:
    return requests.Answer(
        stored['status'],
        stored['content_type'],
        stored['body'],
        stored['usage'],
    )


def _notice_of(claim: KeyClaim, request_id: str) -> Any:
    if claim.phase == 'finished':
        assert claim.answer is not None
        return notices.ClaimReplayed(request_id, claim.answer)
    if claim.phase == 'unknown':
        failure: Any = errors.OutcomeUnknown(claim.key)
        return notices.ClaimDenied(request_id, failure)
    failure = errors.CallInProgress(claim.key, RETRY_AFTER_MS)
    return notices.ClaimDenied(request_id, failure)


def _replay_body(tag: ReplayTag, result: platform.Result) -> Any:
    if not isinstance(result, platform.Found):
        failure = errors.PlatformUnavailable(RETRY_AFTER_MS, ran='unknown')
        return notices.ClaimDenied(tag.request_id, failure)
    answer = _load_answer(tag.answer)._replace(body=result.value)
    return notices.ClaimReplayed(tag.request_id, answer)
