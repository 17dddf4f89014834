"""The stored claims of one hash shard and time bucket."""

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
#: Above this size a page takes no new claims, only ends of old ones.
MAX_CLAIMS_BYTES = 400_000
#: Above this size answers go to values of their own.
MAX_INLINE_PAGE_BYTES = 500_000
MAX_INLINE_BYTES = 2_048
CLAIM_OVERHEAD_BYTES = 160
MAX_RETRY_AFTER_MS = 1_000

State = Literal['claimed', 'done', 'unknown']


class StoredAnswer(TypedDict):
    """An answer kept for retries; body is empty when it lies apart."""

    status: int
    content_type: str
    body: bytes
    usage: documents.Usage
    apart: bool


class Claim(TypedDict):
    """Who may run the call of a key, and what came of it."""

    fingerprint: str
    token: str
    deadline_ms: int
    state: State
    answer: NotRequired[StoredAnswer]


class Content(TypedDict):
    """A page: claims by idempotency key."""

    claims_by_key: dict[str, Claim]


class AddClaim(NamedTuple):
    """Claims a key for a request."""

    key: str
    fingerprint: str
    token: str
    deadline_ms: int


class Finish(NamedTuple):
    """Records the answer of a call; body apart when apart is set."""

    key: str
    token: str
    answer: requests.Answer
    apart: bool

    def __hash__(self) -> int:
        return hash((self.key, self.token))


class Release(NamedTuple):
    """Gives a key back; certain that nothing ran."""

    key: str
    token: str


class MarkUnknown(NamedTuple):
    """Records that the call of a key may have run."""

    key: str
    token: str


class Granted(NamedTuple):
    """The request holds the key."""


class Replay(NamedTuple):
    """The call ran; this was its answer."""

    answer: StoredAnswer


class Denied(NamedTuple):
    """The request does not get the key."""

    failure: Any


class Recorded(NamedTuple):
    """The end of a call is recorded."""


class TooLarge(NamedTuple):
    """The page has no room; the answer has to lie apart."""


def page_key(key: str, key_ms: int, shards: int) -> str:
    """Returns the platform key of the page that holds a key.

    Args:
      key: The idempotency key.
      key_ms: Its time, Unix ms.
      shards: Number of hash shards.
    """
    shard = xxhash.xxh64_intdigest(key.encode()) % shards
    return f'{PREFIX}{key_ms // BUCKET_MS}/{shard}'


def answer_key(key: str) -> str:
    """Returns the platform key of an answer that lies apart."""
    return f'answers/{key}'


def new_content() -> Content:
    """Makes the content of a value that does not exist yet."""
    return Content(claims_by_key={})


class Codec(page_codec.PageCodec):
    """Reads, writes and changes pages of claims."""

    def __init__(self) -> None:
        super().__init__(Content, new_content)

    def apply(
        self, stamp: events.Stamp, content: Content, operation: Any
    ) -> group_commit.ApplyResult:
        """Applies a Take, Finish, Release or MarkUnknown in place."""
        if isinstance(operation, AddClaim):
            return _take(stamp, content, operation)
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
        if not operation.apart and not _fits(content, operation.answer):
            return group_commit.ApplyResult(False, TooLarge())
        claim['state'] = 'done'
        claim['answer'] = _stored(operation)
        return group_commit.ApplyResult(True, Recorded())


def size_bytes(content: Content) -> int:
    """Estimates the encoded size of a page from above."""
    total = 0
    for claim in content['claims_by_key'].values():
        total += CLAIM_OVERHEAD_BYTES + len(claim['fingerprint'])
        total += len(claim['token'])
        answer = claim.get('answer')
        if answer is not None:
            total += len(answer['body']) + len(answer['content_type']) + 160
    return total


def _take(
    stamp: events.Stamp, content: Content, take: AddClaim
) -> group_commit.ApplyResult:
    claim = content['claims_by_key'].get(take.key)
    if claim is None:
        return _add(content, take)
    if claim['token'] == take.token:
        return group_commit.ApplyResult(False, Granted())
    return group_commit.ApplyResult(False, _verdict(stamp, claim, take))


def _add(content: Content, take: AddClaim) -> group_commit.ApplyResult:
    if size_bytes(content) > MAX_CLAIMS_BYTES:
        failure = errors.LedgerFull(BUCKET_MS)
        return group_commit.ApplyResult(False, Denied(failure))
    content['claims_by_key'][take.key] = Claim(
        fingerprint=take.fingerprint,
        token=take.token,
        deadline_ms=take.deadline_ms,
        state='claimed',
    )
    return group_commit.ApplyResult(True, Granted())


def _verdict(stamp: events.Stamp, claim: Claim, take: AddClaim) -> Any:
    if claim['fingerprint'] != take.fingerprint:
        return Denied(errors.KeyReused(take.key))
    if claim['state'] == 'done':
        return Replay(claim['answer'])
    left_ms = claim['deadline_ms'] - stamp.now_ms
    if claim['state'] == 'unknown' or left_ms <= 0:
        return Denied(errors.OutcomeUnknown(take.key))
    retry_after_ms = min(left_ms, MAX_RETRY_AFTER_MS)
    return Denied(errors.CallInProgress(take.key, retry_after_ms))


def _fits(content: Content, answer: requests.Answer) -> bool:
    if len(answer.body) > MAX_INLINE_BYTES:
        return False
    return size_bytes(content) + len(answer.body) <= MAX_INLINE_PAGE_BYTES


def _stored(finish: Finish) -> StoredAnswer:
    answer = finish.answer
    return StoredAnswer(
        status=answer.status,
        content_type=answer.content_type,
        body=b'' if finish.apart else answer.body,
        usage=answer.usage,
        apart=finish.apart,
    )
