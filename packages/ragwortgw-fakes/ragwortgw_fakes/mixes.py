"""Requests of both deployments, as the load tool sends them."""

from collections.abc import Callable
import random
from typing import Any, NamedTuple

import msgspec
import uuid_utils

from ragwortgw_fakes import answers
from ragwortgw_fakes import service

CHAT_PATH = '/v1/chat/completions'
CARDS = 500
PROMOTERS = 40
BRIEF_LINES = 120


class Job(NamedTuple):
    """One request to send.

    target is the model, cascade or service; path is the one that the
    backend server sees.
    """

    kind: str
    target: str
    method: str
    path: str
    body: bytes
    prompt: str
    stream: bool
    timeout_ms: int
    idempotency_key: str

    @property
    def is_chat(self) -> bool:
        """Whether it goes to a model."""
        return bool(self.prompt)


class Mix(NamedTuple):
    """Shares of request kinds by name; they sum up to 1."""

    shares: dict[str, float]


_makers_by_kind: dict[str, Callable[[random.Random, str], Job]] = {}

MIXES = {
    'litoral': Mix(
        {
            'brief': 0.2,
            'check': 0.1,
            'question': 0.6,
            'order': 0.1,
        }
    ),
    'savinja': Mix({'balance': 0.7, 'topup': 0.15, 'statement': 0.15}),
}
MIXES['both'] = Mix(
    {
        kind: share / 2
        for name in ('litoral', 'savinja')
        for kind, share in MIXES[name].shares.items()
    }
)

#: Model, cascade or service of each request kind.
TARGETS = {
    'balance': 'lunch',
    'brief': 'proof',
    'check': 'proof',
    'order': 'orders',
    'question': 'desk',
    'statement': 'assistant',
    'topup': 'lunch',
}


def _makes(kind: str) -> Callable[[Callable], Callable]:
    """Registers the decorated function as the maker of a request kind."""

    def register(maker: Callable[[random.Random, str], Job]) -> Callable:
        _makers_by_kind[kind] = maker
        return maker

    return register


def make(kind: str, randomness: random.Random, targets: dict[str, str]) -> Job:
    """Makes one request.

    Args:
      kind: Request kind ('balance').
      randomness: Source of its details.
      targets: Model, cascade or service by kind.
    Returns: The request.
    """
    return _makers_by_kind[kind](randomness, targets[kind])


def _chat(
    kind: str, target: str, prompt: str, stream: bool, timeout_ms: int
) -> Job:
    document: dict[str, Any] = {
        'model': target,
        'messages': [{'role': 'user', 'content': prompt}],
        'stream': stream,
    }
    body = msgspec.json.encode(document)
    return Job(
        kind, target, 'POST', CHAT_PATH, body, prompt, stream, timeout_ms, ''
    )


def _effect(
    kind: str, target: str, path: str, document: dict[str, Any]
) -> Job:
    body = msgspec.json.encode(document)
    key = str(uuid_utils.uuid7())
    return Job(kind, target, 'POST', path, body, '', False, 10_000, key)


@_makes('brief')
def _make_brief(randomness: random.Random, target: str) -> Job:
    promoter = randomness.randrange(PROMOTERS)
    lines = [
        f'Rule {n} of promoter {promoter}: band field {n * promoter % 97}.'
        for n in range(BRIEF_LINES)
    ]
    lines.append(f'Draft proof {randomness.getrandbits(48)} tokens=96')
    return _chat('brief', target, '\n'.join(lines), True, 60_000)


@_makes('check')
def _make_check(randomness: random.Random, target: str) -> Job:
    prompt = f'Check band text {randomness.getrandbits(48)} tokens=24'
    return _chat('check', target, prompt, False, 20_000)


@_makes('question')
def _make_question(randomness: random.Random, target: str) -> Job:
    difficulty = randomness.random()
    number = randomness.getrandbits(48)
    prompt = f'Sales question {number} difficulty={difficulty:.3f} tokens=24'
    return _chat('question', target, prompt, True, 20_000)


@_makes('order')
def _make_order(randomness: random.Random, target: str) -> Job:
    document = {'bands': randomness.randrange(100, 5000)}
    return _effect('order', target, '/print-orders', document)


@_makes('balance')
def _make_balance(randomness: random.Random, target: str) -> Job:
    path = f'/balance/card-{randomness.randrange(CARDS)}'
    return Job('balance', target, 'GET', path, b'', '', False, 2_000, '')


@_makes('topup')
def _make_topup(randomness: random.Random, target: str) -> Job:
    document = {
        'card': f'card-{randomness.randrange(CARDS)}',
        'cents': randomness.randrange(100, 5000),
    }
    return _effect('topup', target, '/topups', document)


@_makes('statement')
def _make_statement(randomness: random.Random, target: str) -> Job:
    number = randomness.getrandbits(48)
    prompt = f'Draft the monthly statement {number} tokens=64'
    return _chat('statement', target, prompt, False, 120_000)


def chat_text(body: bytes, stream: bool) -> str | None:
    """Returns the text of a chat answer; None if the answer has no end.

    Args:
      body: What came.
      stream: Whether server-sent events were asked for.
    Returns: The text.
    """
    try:
        if not stream:
            document = msgspec.json.decode(body)
            return document['choices'][0]['message']['content']
        events = [e[6:] for e in body.split(b'\n\n') if e[:6] == b'data: ']
        if not events or events[-1] != b'[DONE]':
            return None
        parsed = [msgspec.json.decode(event) for event in events[:-1]]
        choices = [p['choices'][0] for p in parsed if p['choices']]
        return ''.join(c['delta'].get('content') or '' for c in choices)
    except (msgspec.DecodeError, LookupError, TypeError):
        return None


def is_own_and_whole(job: Job, body: bytes) -> bool:
    """Returns whether an answer is whole and belongs to the request."""
    if job.is_chat:
        text = chat_text(body, job.stream)
        return text is not None and answers.is_whole(job.prompt, text)
    expected = service.digest(job.method, job.path, job.body)
    try:
        return msgspec.json.decode(body)['digest'] == expected
    except (msgspec.DecodeError, LookupError, TypeError):
        return False
