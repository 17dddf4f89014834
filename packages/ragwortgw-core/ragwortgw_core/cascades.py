"""Plans which models a request tries in turn, and evaluates each answer.

A plan starts with a cheap model and escalates to a costlier one when the
answer's rating is below a threshold. Thresholds are chosen so that the
mean score of the delivered answers meets the cascade's target at the
lowest expected cost.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Literal, NamedTuple

from ragwortgw_core import cascade_policies
from ragwortgw_core import documents
from ragwortgw_core import events
from ragwortgw_core import quality
from ragwortgw_core import quality_targets

Decision = Literal['Accept', 'Escalate']

#: Fraction of the requests that may explore another first stage.
EXPLORE_FRACTION = 0.02
#: Deduction from the expected score of an answer that was not rated.
UNRATED_MARGIN = 0.01
#: Keeps the price of quality above 0 when calls are free.
MIN_COST_MICROS = 1.0
#: Number of values of a stamp's random seed.
SEED_RANGE = 2**64


class Plan(NamedTuple):
    """The models that a request tries in turn, from cheap to costly.

    Args:
      stages: Model ids.
      start: Index of the stage to begin with.
      thresholds: Lowest score to accept, by stage; 0 at the last one.
      expected_cost_micros: Cost including expected escalations.
      explored: Whether the first stage was chosen to explore.
      expected_scores: Expected score of each stage's answer.
      meets_target: False when no plan is expected to meet the target.
      organisation: Id of the organisation.
      request_class: Class of the request.
      cascade: Id of the cascade.
      target: Target of the mean score, 0..1.
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
    """What was recorded of a delivered answer, for late ratings.

    Args:
      plan: The plan of the request.
      scores: Ratings known when the answer was recorded; None for each
        that was missing.
      recorded_score: Score that the final answer was recorded with.
    """

    plan: Plan
    scores: tuple[float | None, ...]
    recorded_score: float


class _Request(NamedTuple):
    """What a plan depends on, apart from the request's class."""

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
      estimator: Estimates from earlier ratings.
      organisation: Id of the organisation.
      request_class: Class of the request.
      input_tokens: Tokens of the prompt.
      usable: Models of which some agent has a permitted version.
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
    controller = estimator.controller(organisation, cascade['id'])
    controller.record_request(request_class, input_tokens)
    policy_table = controller.policy_table(
        tuple(model['id'] for model in models)
    )
    if controller.claim_refresh(policy_table):
        _update_price(request, controller, policy_table)
    candidates = _policies(request, controller, policy_table, request_class)
    best = max(candidates, key=lambda policy: policy.value)
    chosen = _explore(candidates, best, controller, stamp) or best
    controller.record_expected_cost(best.outcome.cost)
    highest_score = max(policy.outcome.score for policy in candidates)
    return Plan(
        tuple(models[index]['id'] for index in chosen.path),
        0,
        chosen.thresholds,
        chosen.outcome.cost,
        chosen is not best,
        chosen.scores,
        highest_score >= cascade['target'],
        organisation,
        request_class,
        cascade['id'],
        cascade['target'],
    )


def evaluate(plan: Plan, stage: int, score: float | None) -> Decision:
    """Decides whether to accept an answer.

    Args:
      plan: The plan of the request.
      stage: Index of the stage that answered.
      score: Its rating, 0..1; None when it is late or missing, then the
        expected score stands in for it.
    Returns: 'Accept', or 'Escalate' to the next stage.
    """
    if stage >= len(plan.stages) - 1:
        return 'Accept'
    effective = plan.expected_scores[stage] if score is None else score
    return 'Accept' if effective >= plan.thresholds[stage] else 'Escalate'


def record_answer(
    estimator: quality.QualityEstimator,
    plan: Plan,
    scores: Sequence[float | None],
    now_ms: int,
) -> RecordedAnswer:
    """Records a request's ratings once its final answer is chosen.

    Args:
      estimator: Updated with the ratings.
      plan: The plan of the request.
      scores: Rating of each answer from the first stage to the final one;
        None where it is late or missing.
      now_ms: Unix ms.
    Returns: What record_late_rating() needs when a rating arrives later.
    """
    controller = estimator.controller(plan.organisation, plan.cascade)
    for offset, score in enumerate(scores):
        if score is not None:
            _record_rating(estimator, plan, scores, offset, score, now_ms)
    final_stage = plan.start + len(scores) - 1
    recorded_score = scores[-1]
    if recorded_score is None:
        recorded_score = plan.expected_scores[final_stage] + controller.bias
        recorded_score -= UNRATED_MARGIN
    controller.record_answer(
        plan.target - recorded_score, scores[-1] is not None
    )
    return RecordedAnswer(plan, tuple(scores), recorded_score)


def record_late_rating(
    estimator: quality.QualityEstimator,
    recorded: RecordedAnswer,
    offset: int,
    score: float,
    now_ms: int,
) -> None:
    """Records a rating that arrived after its answer was recorded.

    Args:
      estimator: Updated with the rating.
      recorded: As record_answer() returned it.
      offset: Index of the rated answer among the recorded scores.
      score: The late rating, 0..1.
      now_ms: Unix ms.
    """
    plan, scores, recorded_score = recorded
    _record_rating(estimator, plan, scores, offset, score, now_ms)
    if offset + 1 == len(scores):
        controller = estimator.controller(plan.organisation, plan.cascade)
        controller.adjust_deficit(recorded_score - score)


def call_cost_micros(
    model: documents.Model,
    input_tokens: float,
    output_tokens: float = quality.INITIAL_OUTPUT_TOKENS,
) -> float:
    """Returns the price of one call of a model, in micro-units of currency.

    Token prices are per 1,000 tokens.
    """
    token_price = (
        model['input_micros'] * input_tokens
        + model['output_micros'] * output_tokens
    )
    return model['call_micros'] + token_price / 1_000


def _record_rating(
    estimator: quality.QualityEstimator,
    plan: Plan,
    scores: Sequence[float | None],
    offset: int,
    score: float,
    now_ms: int,
) -> None:
    """Records one rating, as that of a first answer or of a later one.

    A later answer's rating is recorded together with the score of the
    answer before it. An answer that followed only unrated ones counts as
    a first answer, since no low score led to it.
    """
    organisation, request_class = plan.organisation, plan.request_class
    model = plan.stages[plan.start + offset]
    if offset == 0:
        controller = estimator.controller(organisation, plan.cascade)
        controller.record_prediction_error(
            score - plan.expected_scores[plan.start]
        )
    previous_score = scores[offset - 1] if offset else None
    if previous_score is not None:
        previous_model = plan.stages[plan.start + offset - 1]
        estimator.stage_scores.observe(
            organisation,
            request_class,
            (previous_model, previous_score),
            (model, score),
        )
    elif all(earlier_score is None for earlier_score in scores[:offset]):
        estimator.observe(organisation, request_class, model, score, now_ms)


def _update_price(
    request: _Request,
    controller: quality_targets.TargetController,
    policy_table: quality_targets.PolicyTable,
) -> None:
    """Sets the price of quality for the recent mix of request classes.

    The price is the lowest at which the mean score over that mix is
    expected to meet the target, corrected by the present deficit.
    """
    demand_by_class = controller.demand_by_class
    stages_by_class = {
        name: _stages(request, name, demand.input_tokens)
        for name, demand in demand_by_class.items()
    }
    total = sum(demand.weight for demand in demand_by_class.values())

    def score_at(price: float) -> float:
        score = 0.0
        for name, stages in stages_by_class.items():
            candidates = cascade_policies.solve(
                stages, price, controller.missing_fraction
            )
            best = max(candidates, key=lambda policy: policy.value)
            weight = demand_by_class[name].weight / total
            score += weight * best.outcome.score
        return score

    highest_cost = max(
        stage.cost for stages in stages_by_class.values() for stage in stages
    )
    highest_cost = max(highest_cost, MIN_COST_MICROS)
    target = request.cascade['target'] + controller.target_offset()
    policy_table.update_price(target, highest_cost, score_at)


def _policies(
    request: _Request,
    controller: quality_targets.TargetController,
    policy_table: quality_targets.PolicyTable,
    request_class: str,
) -> tuple[cascade_policies.Policy, ...]:
    """Returns the policies of a class; they are cached until a refresh."""
    cached = policy_table.policies_by_class.get(request_class)
    if cached is None:
        tokens = controller.demand_by_class[request_class].input_tokens
        stages = _stages(request, request_class, tokens)
        cached = cascade_policies.solve(
            stages, policy_table.price, controller.missing_fraction
        )
        policy_table.policies_by_class[request_class] = cached
    return cached


def _stages(
    request: _Request, request_class: str, input_tokens: float
) -> list[cascade_policies.Stage]:
    """Collects the estimates of each stage for a class of requests."""
    estimator, organisation = request.estimator, request.organisation
    groups = [
        (organisation, request_class, model['id'], model['prior_quality'])
        for model in request.models
    ]
    means = [
        estimator.estimate_score(*group, now_ms=request.now_ms).mean
        for group in groups
    ]
    stages = []
    for index, model in enumerate(request.models):
        regressions = [
            estimator.stage_scores.estimate_regression(
                organisation,
                request_class,
                (model['id'], request.models[later]['id']),
                (means[index], means[later]),
            )
            for later in range(index + 1, len(request.models))
        ]
        probabilities = estimator.score_distribution(
            *groups[index], now_ms=request.now_ms
        )
        output_tokens = estimator.output_tokens(request_class, model['id'])
        cost = call_cost_micros(model, input_tokens, output_tokens)
        stages.append(
            cascade_policies.Stage(
                cost, probabilities, means[index], regressions
            )
        )
    return stages


def _explore(
    candidates: Sequence[cascade_policies.Policy],
    best: cascade_policies.Policy,
    controller: quality_targets.TargetController,
    stamp: events.Stamp,
) -> cascade_policies.Policy | None:
    """Chooses another first stage for a random sample of the requests.

    Returns: The policy to explore, or None to use the best one: outside
      the sample, without an alternative, or beyond the exploration budget.
    """
    if len(candidates) < 2 or stamp.seed / SEED_RANGE >= EXPLORE_FRACTION:
        return None
    others = [policy for policy in candidates if policy is not best]
    chosen = others[stamp.seed % len(others)]
    extra_micros = chosen.outcome.cost - best.outcome.cost
    return chosen if controller.try_explore(extra_micros) else None
