"""Plans which models a request tries, and judges each answer."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Literal, NamedTuple

from ragwortgw_core import cascade_policies
from ragwortgw_core import documents
from ragwortgw_core import events
from ragwortgw_core import quality
from ragwortgw_core import quality_targets

Decision = Literal['Accept', 'Escalate']

EXPLORE_FRACTION = 0.02
#: How far below its expectation an unrated answer is booked.
UNRATED_MARGIN = 0.01
#: Keeps a price on quality where calls are free.
MIN_COST_MICROS = 1.0
SEED_RANGE = 2**64


class Plan(NamedTuple):
    """Models from cheap to costly that a request tries in turn.

    Args:
      stages: Model ids.
      start: Index of the stage to begin with.
      thresholds: Lowest score to accept, by stage; 0 at the last.
      expected_cost_micros: Cost with the expected escalations.
      explored: Whether the start was chosen to learn from it.
      expected_scores: Expected score of each stage's answer.
      meets_target: False when the target is not expected to be met.
      organisation: Id of the organisation.
      request_class: Class of the request.
      cascade: Id of the cascade.
      target: Mean score wanted, 0..1.
    """

    stages: tuple[str, ...]
    start: int
    thresholds: tuple[float, ...]
    expected_cost_micros: float
    explored: bool
    expected_scores: tuple[float, ...] = ()
    meets_target: bool = True
    organisation: str = ''
    request_class: str = ''
    cascade: str = ''
    target: float = 0.0


class RecordedAnswer(NamedTuple):
    """A settled request, kept while ratings may still come.

    Args:
      plan: The plan of the request.
      scores: Ratings known when it was settled.
      booked: Score that the final answer was booked with.
    """

    plan: Plan
    scores: tuple[float | None, ...]
    recorded_score: float


class _Request(NamedTuple):
    """What a plan depends on, but for the class."""

    cascade: documents.Cascade
    models: tuple[documents.Model, ...]
    estimator: quality.QualityEstimator
    organisation: str
    now_ms: int


def plan(
    cascade: documents.Cascade,
    models_by_id: Mapping[str, documents.Model],
    estimator: quality.QualityEstimator,
    organisation: str,
    request_class: str,
    input_tokens: int,
    usable: frozenset[str],
    stamp: events.Stamp,
) -> Plan | None:
    """Plans the stages of a request.

    Args:
      cascade: The cascade that the caller named.
      models_by_id: Models with their prices.
      book: What ratings have taught.
      organisation: Id of the organisation.
      request_class: Class of the request.
      input_tokens: Tokens of the prompt.
      usable: Models with a permitted, ready version and capacity.
      stamp: Time and randomness.
    Returns: The plan, or None when no stage is usable.
    """
    models = tuple(
        models_by_id[stage]
        for stage in cascade['stages']
        if stage in usable and stage in models_by_id
    )
    if not models:
        return None
    request = _Request(cascade, models, estimator, organisation, stamp.now_ms)
    account = estimator.controller(organisation, cascade['id'])
    account.record_request(request_class, input_tokens)
    market = account.policy_table(tuple(model['id'] for model in models))
    if account.claim_refresh(market):
        _reprice(request, account, market)
    found = _policies(request, account, market, request_class)
    best = max(found, key=lambda policy: policy.value)
    chosen = _explore(found, best, account, stamp) or best
    account.record_expected_cost(best.outcome.cost)
    highest = max(policy.outcome.score for policy in found)
    return Plan(
        tuple(models[index]['id'] for index in chosen.path),
        0,
        chosen.thresholds,
        chosen.outcome.cost,
        chosen is not best,
        chosen.scores,
        highest >= cascade['target'],
        organisation,
        request_class,
        cascade['id'],
        cascade['target'],
    )


def evaluate(plan: Plan, stage: int, score: float | None) -> Decision:
    """Decides whether an answer is good enough.

    Args:
      plan: The plan of the request.
      stage: Index of the stage that answered.
      score: Its rating, 0..1; None when it is late or missing, which is
        judged as the expected one.
    Returns: 'Accept', or 'Escalate' to the next stage.
    """
    if stage >= len(plan.stages) - 1:
        return 'Accept'
    judged = plan.expected_scores[stage] if score is None else score
    return 'Accept' if judged >= plan.thresholds[stage] else 'Escalate'


def record_answer(
    estimator: quality.QualityEstimator,
    plan: Plan,
    scores: Sequence[float | None],
    now_ms: int,
) -> RecordedAnswer:
    """Learns from a request once its final answer is chosen.

    Args:
      book: What ratings have taught.
      plan: The plan of the request.
      scores: Rating of each answer from the start on, the final one
        last; None where it is late or missing.
      now_ms: Unix ms.
    Returns: What settle_late() needs when a rating comes later.
    """
    account = estimator.controller(plan.organisation, plan.cascade)
    for offset, score in enumerate(scores):
        if score is not None:
            _learn(estimator, plan, scores, offset, score, now_ms)
    final = plan.start + len(scores) - 1
    booked = scores[-1]
    if booked is None:
        booked = plan.expected_scores[final] + account.bias
        booked -= UNRATED_MARGIN
    account.record_answer(plan.target - booked, scores[-1] is not None)
    return RecordedAnswer(plan, tuple(scores), booked)


def record_late_rating(
    estimator: quality.QualityEstimator,
    settlement: RecordedAnswer,
    offset: int,
    score: float,
    now_ms: int,
) -> None:
    """Learns from a rating that came after its request was settled.

    Args:
      book: What ratings have taught.
      settlement: As settle() returned it.
      offset: Index of the late rating.
      score: The late rating, 0..1.
      now_ms: Unix ms.
    """
    plan, scores, booked = settlement
    _learn(estimator, plan, scores, offset, score, now_ms)
    if offset + 1 == len(scores):
        account = estimator.controller(plan.organisation, plan.cascade)
        account.adjust_deficit(booked - score)


def call_cost_micros(
    model: documents.Model,
    input_tokens: float,
    output_tokens: float = quality.INITIAL_OUTPUT_TOKENS,
) -> float:
    """Prices one call of a model, in micro-units of currency."""
    tokens = (
        model['input_micros'] * input_tokens
        + model['output_micros'] * output_tokens
    )
    return model['call_micros'] + tokens / 1_000


def _learn(
    estimator: quality.QualityEstimator,
    plan: Plan,
    scores: Sequence[float | None],
    offset: int,
    score: float,
    now_ms: int,
) -> None:
    """Feeds one rating: as a first answer, or as one after another.

    An answer that followed only unrated ones counts as a first one, since
    it was not asked for because of a low score.
    """
    organisation, request_class = plan.organisation, plan.request_class
    model = plan.stages[plan.start + offset]
    if offset == 0:
        account = estimator.controller(organisation, plan.cascade)
        account.record_prediction_error(
            score - plan.expected_scores[plan.start]
        )
    earlier = scores[offset - 1] if offset else None
    if earlier is not None:
        before = plan.stages[plan.start + offset - 1]
        estimator.stage_scores.observe(
            organisation, request_class, (before, earlier), (model, score)
        )
    elif all(judged is None for judged in scores[:offset]):
        estimator.observe(organisation, request_class, model, score, now_ms)


def _reprice(
    request: _Request,
    controller: quality_targets.TargetController,
    policy_table: quality_targets.PolicyTable,
) -> None:
    """Sets the price of quality by the mix of classes seen of late."""
    needs_by_class = controller.demand_by_class
    stages_by_class = {
        name: _stages(request, name, needs.input_tokens)
        for name, needs in needs_by_class.items()
    }
    total = sum(needs.weight for needs in needs_by_class.values())

    def score_at(price: float) -> float:
        score = 0.0
        for name, stages in stages_by_class.items():
            found = cascade_policies.solve(
                stages, price, controller.missing_fraction
            )
            best = max(found, key=lambda policy: policy.value)
            weight = needs_by_class[name].weight / total
            score += weight * best.outcome.score
        return score

    highest_cost = max(
        stage.cost for stages in stages_by_class.values() for stage in stages
    )
    highest_cost = max(highest_cost, MIN_COST_MICROS)
    wanted = request.cascade['target'] + controller.target_offset()
    policy_table.update_price(wanted, highest_cost, score_at)


def _policies(
    request: _Request,
    controller: quality_targets.TargetController,
    policy_table: quality_targets.PolicyTable,
    request_class: str,
) -> tuple[cascade_policies.Policy, ...]:
    """Gives the policies of a class, worked out once per refresh."""
    found = policy_table.policies_by_class.get(request_class)
    if found is None:
        tokens = controller.demand_by_class[request_class].input_tokens
        stages = _stages(request, request_class, tokens)
        found = cascade_policies.solve(
            stages, policy_table.price, controller.missing_fraction
        )
        policy_table.policies_by_class[request_class] = found
    return found


def _stages(
    request: _Request, request_class: str, input_tokens: float
) -> list[cascade_policies.Stage]:
    """Collects what is known of each stage for a class."""
    book, organisation = request.estimator, request.organisation
    groups = [
        (organisation, request_class, model['id'], model['prior_quality'])
        for model in request.models
    ]
    means = [
        book.estimate_score(*group, now_ms=request.now_ms).mean
        for group in groups
    ]
    stages = []
    for index, model in enumerate(request.models):
        lines = [
            book.stage_scores.estimate_regression(
                organisation,
                request_class,
                (model['id'], request.models[later]['id']),
                (means[index], means[later]),
            )
            for later in range(index + 1, len(request.models))
        ]
        weights = book.weights(*groups[index], now_ms=request.now_ms)
        output_tokens = book.output_tokens(request_class, model['id'])
        cost = call_cost_micros(model, input_tokens, output_tokens)
        stages.append(
            cascade_policies.Stage(cost, weights, means[index], lines)
        )
    return stages


def _explore(
    found: Sequence[cascade_policies.Policy],
    best: cascade_policies.Policy,
    controller: quality_targets.TargetController,
    stamp: events.Stamp,
) -> cascade_policies.Policy | None:
    """Now and then picks another start, within the exploration budget."""
    if len(found) < 2 or stamp.seed / SEED_RANGE >= EXPLORE_FRACTION:
        return None
    others = [policy for policy in found if policy is not best]
    chosen = others[stamp.seed % len(others)]
    extra_micros = chosen.outcome.cost - best.outcome.cost
    return chosen if controller.try_explore(extra_micros) else None
