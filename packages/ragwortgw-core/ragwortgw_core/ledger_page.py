"""Pages of the ledger: claims of one hash shard and time bucket.

A page is one value of the platform service. The codec applies the
operations below to it; group_commit writes it by compare-and-swap.
"""

from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

import xxhash

from ragwortgw_core import documents
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import group_commit
from ragwortgw_core import page_codec
from ragwortgw_core import requests

PREFIX = 'ledger/'
BUCKET_MS = 10_000
#: Larger pages accept no new claims, only outcomes of existing ones.
MAX_CLAIMS_BYTES = 400_000
#: In larger pages the answer bodies are stored as separate values.
MAX_INLINE_PAGE_BYTES = 500_000
#: Larger answer bodies are always stored as separate values.
MAX_INLINE_BYTES = 2_048
#: Upper estimate of a claim's encoded size without its strings.
CLAIM_OVERHEAD_BYTES = 160
MAX_RETRY_AFTER_MS = 1_000

State = Literal['claimed', 'done', 'unknown']


class StoredAnswer(TypedDict):
    """An answer kept for retries.

    With apart set, body is empty and stored as a separate value.
    """

    status: int
    content_type: str
    body: bytes
    usage: documents.Usage
    apart: bool


class Claim(TypedDict):
    """The request that may run the call of a key, and the outcome."""

    fingerprint: str
    token: str
    deadline_ms: int
    state: State
    answer: NotRequired[StoredAnswer]


class Content(TypedDict):
    """A decoded page: claims by idempotency key."""

    claims_by_key: dict[str, Claim]


class AddClaim(NamedTuple):
    """Operation: claims a key for the request with the id in token."""

    key: str
    fingerprint: str
    token: str
    deadline_ms: int


class Finish(NamedTuple):
    """Operation: records the answer of a call.

    With separate set, the page gets the answer without its body.
    """

    key: str
    token: str
    answer: requests.Answer
    separate: bool

    def __hash__(self) -> int:
        return hash((self.key, self.token))


class Release(NamedTuple):
    """Operation: removes a claim; valid only if nothing ran."""

    key: str
    token: str


class MarkUnknown(NamedTuple):
    """Operation: records that the call of a key may have run."""

    key: str
    token: str


class Granted(NamedTuple):
    """Outcome: the request holds the key."""


class Replay(NamedTuple):
    """Outcome: the call already ran and this was its answer."""

    answer: StoredAnswer


class Denied(NamedTuple):
    """Outcome: the request does not get the key."""

    failure: Any


class Recorded(NamedTuple):
    """Outcome: the result of the call is recorded."""


class TooLarge(NamedTuple):
    """Outcome: the answer does not fit; store its body separately."""


def page_key(key: str, key_ms: int, shards: int) -> str:
    """Returns the platform key of the page that holds a key.

    Args:
      key: The idempotency key.
      key_ms: Timestamp in the key, Unix ms.
      shards: Number of hash shards.
    """
    shard = xxhash.xxh64_intdigest(key.encode()) % shards
    return f'{PREFIX}{key_ms // BUCKET_MS}/{shard}'


def answer_key(key: str) -> str:
    """Returns the platform key of a separately stored answer body."""
    return f'answers/{key}'


def new_content() -> Content:
    """Builds the content of a page that does not exist yet."""
    return Content(claims_by_key={})


class Codec(page_codec.PageCodec):
    """Decodes, encodes and changes pages of claims."""

    def __init__(self) -> None:
        super().__init__(Content, new_content)

    def apply(
        self, stamp: events.Stamp, content: Content, operation: Any
    ) -> group_commit.ApplyResult:
        """Applies an AddClaim, Finish, Release or MarkUnknown in place."""
        if isinstance(operation, AddClaim):
            return _apply_claim(stamp, content, operation)
        claims_by_key = content['claims_by_key']
        claim = claims_by_key.get(operation.key)
        unchanged = group_commit.ApplyResult(False, Recorded())
        if claim is None or claim['token'] != operation.token:
            return unchanged
        if isinstance(operation, Release):
            del claims_by_key[operation.key]
            return group_commit.ApplyResult(True, Recorded())
        if claim['state'] == 'done':
            return unchanged
        if isinstance(operation, MarkUnknown):
            changed = claim['state'] != 'unknown'
            claim['state'] = 'unknown'
            return group_commit.ApplyResult(changed, Recorded())
        if not operation.separate and not _fits(content, operation.answer):
            return group_commit.ApplyResult(False, TooLarge())
        claim['state'] = 'done'
        claim['answer'] = _stored_answer(operation)
        return group_commit.ApplyResult(True, Recorded())

    def repeat(
        self, stamp: events.Stamp, content: Content, operation: Any
    ) -> group_commit.ApplyResult:
        """Applies a lost operation again.

        A claim that was granted replaces one that was made since, which
        is not granted before lost ones are back.
        """
        if isinstance(operation, AddClaim):
            claim = content['claims_by_key'].get(operation.key)
            if claim is None or claim['state'] == 'claimed':
                repeated = _new_claim(operation)
                content['claims_by_key'][operation.key] = repeated
                return group_commit.ApplyResult(claim != repeated, Granted())
        return self.apply(stamp, content, operation)

    def repeatable(self, operation: Any, outcome: Any) -> Any:
        """Returns a claim that was granted or an outcome of one, or None.

        The body of a separately stored answer is left out.
        """
        if isinstance(operation, AddClaim):
            return operation if isinstance(outcome, Granted) else None
        if isinstance(outcome, TooLarge):
            return None
        if isinstance(operation, Finish) and operation.separate:
            answer = operation.answer._replace(body=b'')
            return operation._replace(answer=answer)
        return operation


def size_bytes(content: Content) -> int:
    """Returns an upper estimate of a page's encoded size."""
    total = 0
    for claim in content['claims_by_key'].values():
        total += CLAIM_OVERHEAD_BYTES + len(claim['fingerprint'])
        total += len(claim['token'])
        answer = claim.get('answer')
        if answer is not None:
            total += len(answer['body']) + len(answer['content_type']) + 160
    return total


def _apply_claim(
    stamp: events.Stamp, content: Content, add: AddClaim
) -> group_commit.ApplyResult:
    claim = content['claims_by_key'].get(add.key)
    if claim is None:
        return _add_claim(content, add)
    if claim['token'] == add.token:
        return group_commit.ApplyResult(False, Granted())
    return group_commit.ApplyResult(
        False, _refusal_or_replay(stamp, claim, add)
    )


def _add_claim(content: Content, add: AddClaim) -> group_commit.ApplyResult:
    if size_bytes(content) > MAX_CLAIMS_BYTES:
        failure = errors.LedgerFull(BUCKET_MS)
        return group_commit.ApplyResult(False, Denied(failure))
    content['claims_by_key'][add.key] = _new_claim(add)
    return group_commit.ApplyResult(True, Granted())


def _new_claim(add: AddClaim) -> Claim:
    return Claim(
        fingerprint=add.fingerprint,
        token=add.token,
        deadline_ms=add.deadline_ms,
        state='claimed',
    )


def _refusal_or_replay(
    stamp: events.Stamp, claim: Claim, add: AddClaim
) -> Any:
    if claim['fingerprint'] != add.fingerprint:
        return Denied(errors.KeyReused(add.key))
    if claim['state'] == 'done':
        return Replay(claim['answer'])
    remaining_ms = claim['deadline_ms'] - stamp.now_ms
    if claim['state'] == 'unknown' or remaining_ms <= 0:
        return Denied(errors.OutcomeUnknown(add.key))
    retry_after_ms = min(remaining_ms, MAX_RETRY_AFTER_MS)
    return Denied(errors.CallInProgress(add.key, retry_after_ms))


def _fits(content: Content, answer: requests.Answer) -> bool:
    if len(answer.body) > MAX_INLINE_BYTES:
        return False
    return size_bytes(content) + len(answer.body) <= MAX_INLINE_PAGE_BYTES


def _stored_answer(finish: Finish) -> StoredAnswer:
    answer = finish.answer
    return StoredAnswer(
        status=answer.status,
        content_type=answer.content_type,
        body=b'' if finish.separate else answer.body,
        usage=answer.usage,
        apart=finish.separate,
    )
