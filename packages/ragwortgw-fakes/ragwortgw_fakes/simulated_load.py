"""Requests of callers for simulations of gateways, made from a seed."""

import random
from typing import NamedTuple

from ragwortgw_gateway import documents
from ragwortgw_gateway import requests

CONNECTIONS = 500


class Kind(NamedTuple):
    """A kind of request.

    Args:
      name: Name of its route.
      rank: Rank of the route, 0 is the most urgent.
      per_s: Requests a second.
      shared_tokens: Mean size of the part that requests share.
      subjects: How many such parts there are.
      own_tokens: Mean size of the part of its own.
      events: Mean number of events.
      objective_ms: Time until the first event that is on time.
      timeout_ms: Time that a caller waits.
      worth: Worth of an answer on time.
      late_worth: Worth of one that is late.
      event_interval_ms: Longest time between events that is on time.
    """

    name: str
    rank: int
    per_s: float
    shared_tokens: int
    subjects: int
    own_tokens: int
    events: int
    objective_ms: int
    timeout_ms: int
    worth: float
    late_worth: float
    event_interval_ms: int = 3_000


#: Long prompts with large shared parts, middle ones, and short questions,
#: as in the users' description.
KINDS = (
    Kind('long', 1, 30.0, 13_000, 650, 3_700, 17, 4_000, 12_000, 2.9, 1.4),
    Kind('middle', 0, 12.5, 6_300, 270, 2_900, 7, 3_000, 8_000, 2.5, 1.2),
    Kind('short', 2, 32.0, 350, 300, 1_100, 25, 3_000, 12_000, 0.37, 0.18),
)

#: Long answers with much time for the urgent kinds, and short answers with
#: little time for the least urgent one.
LONG_ANSWER_KINDS = (
    Kind('chat', 0, 22.0, 400, 90, 900, 50, 1_800, 30_000, 1.5, 0.4, 1_500),
    Kind(
        'report', 1, 10.0, 4_000, 90, 8_000, 66, 3_500, 28_000, 5, 1.5, 1_500
    ),
    Kind('label', 2, 30.0, 700, 150, 1_500, 4, 1_500, 4_000, 0.5, 0.1, 1_500),
)


class Asked(NamedTuple):
    """A request of a caller.

    Args:
      id: Its id.
      kind: Its kind.
      at_ms: When it is sent first.
      prompt: Its prompt.
      events: Events of the whole answer.
      hardness: How hard it is, 0 to 1.
      noise: How a model's opinion of it differs, a normal deviate.
      size: What it is worth, against the mean of its kind.
    """

    id: str
    kind: Kind
    at_ms: int
    prompt: requests.Prompt
    events: int
    hardness: float
    noise: float
    size: float


#: The larger requests are worth more, up to this many times.
MAX_SIZE = 4.0
FIXED_WORTH = 0.3
#: Spread of sizes, of the logarithm.
SPREAD = 0.7
#: Popularity of the shared parts falls with their rank to this power.
SKEW = 0.3


def make_load(
    load: float,
    duration_ms: int,
    seed: int,
    event_tokens: int,
    kinds: tuple[Kind, ...] = KINDS,
) -> list[Asked]:
    """Makes the requests of a run.

    Args:
      load: Part of the kinds' rates.
      duration_ms: How long requests come.
      seed: Decides all that is random.
      event_tokens: Tokens of one event.
      kinds: Kinds of requests.
    Returns: The requests in the order in which they are sent.
    """
    source = random.Random(f'{load} {seed}')
    made: list[Asked] = []
    for kind in kinds:
        weights = [1 / (rank + 1) ** SKEW for rank in range(kind.subjects)]
        sizes = [_spread(source, kind.shared_tokens) for _ in weights]
        at_ms = 0.0
        while True:
            at_ms += source.expovariate(kind.per_s * load / 1_000)
            if at_ms >= duration_ms:
                break
            subject = source.choices(range(kind.subjects), weights)[0]
            number = len(made)
            made.append(
                _make(
                    source,
                    f'{kind.name}-{number}',
                    kind,
                    round(at_ms),
                    requests.PrefixBlock(
                        f'{kind.name}-{subject}', sizes[subject]
                    ),
                    event_tokens,
                )
            )
    return sorted(made, key=lambda asked: asked.at_ms)


def _make(
    source: random.Random,
    request_id: str,
    kind: Kind,
    at_ms: int,
    shared: requests.PrefixBlock,
    event_tokens: int,
) -> Asked:
    # Ids of requests and of subjects are alike.
    own = requests.PrefixBlock(
        f'{request_id} own', _spread(source, kind.own_tokens)
    )
    events = _spread(source, kind.events)
    output_tokens = events * event_tokens
    tokens = shared.tokens + own.tokens
    mean = kind.shared_tokens + kind.own_tokens
    mean += 10 * kind.events * event_tokens
    relative = (tokens + 10 * output_tokens) / mean
    size = min(MAX_SIZE, FIXED_WORTH + (1 - FIXED_WORTH) * relative)
    return Asked(
        request_id,
        kind,
        at_ms,
        requests.Prompt(tokens, output_tokens, (shared, own)),
        events,
        source.random(),
        source.gauss(0, 1),
        size,
    )


def _spread(source: random.Random, mean: float) -> int:
    return max(
        1, round(mean * source.lognormvariate(-(SPREAD**2) / 2, SPREAD))
    )


def make_configuration(
    models: tuple[str, ...],
    costs: dict[str, float],
    cache_tokens: int,
    kinds: tuple[Kind, ...] = KINDS,
) -> documents.Configuration:
    """Makes the configuration of all kinds.

    Args:
      models: Models that may answer, smallest first.
      costs: Cost of each.
      cache_tokens: Memory of one runner.
      kinds: Kinds of requests.
    """
    routes = tuple(
        documents.Route(
            id=kind.name,
            host='sim.example',
            prefix=f'/{kind.name}/',
            kind='streaming',
            resumable=True,
            timeout_ms=kind.timeout_ms,
            objective_ms=kind.objective_ms,
            event_interval_ms=kind.event_interval_ms,
            priority=kind.rank,
            targets=(documents.Target('model', 1),),
            max_attempts=3,
            public=True,
            tiers=models,
        )
        for kind in kinds
    )
    service = documents.Service('model', CONNECTIONS, cache_tokens, costs)
    limits = documents.CallerLimits(16_384, 1_000_000, 3_000, 15_000)
    return documents.Configuration(1, routes, {'model': service}, (), limits)
