"""Handling of ratings: learning, roll-out evidence, and escalation."""

from typing import Any

from ragwortgw_core import cascades
from ragwortgw_core import effects
from ragwortgw_core import entry_delivery
from ragwortgw_core import entry_dispatch
from ragwortgw_core import entry_state
from ragwortgw_core import events


@entry_state.REDUCER.handles(events.Rated)
def on_rated(
    state: entry_state.State, stamp: events.Stamp, event: events.Rated
) -> list[Any]:
    rating = state.ratings_by_op.pop(event.op_id, None)
    if rating is None:
        return []
    state.evidence.rated(
        rating.model, rating.version, event.score, stamp.now_ms
    )
    if rating.recorded_answer is not None:
        last = len(rating.recorded_answer.scores) - 1
        cascades.record_late_rating(
            state.quality,
            rating.recorded_answer,
            last,
            event.score,
            stamp.now_ms,
        )
    elif not rating.request_id:
        state.quality.observe(
            rating.organisation,
            rating.request_class,
            rating.model,
            event.score,
            stamp.now_ms,
        )
    return apply_rating(state, stamp, rating, event.score)


@entry_state.REDUCER.handles(events.RatingFailed)
def on_rating_failed(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.RatingFailed,
) -> list[Any]:
    rating = state.ratings_by_op.pop(event.op_id, None)
    if rating is None:
        return []
    count = effects.Count('entry_ratings_missing', ())
    return [count, *apply_rating(state, stamp, rating, None)]


def apply_rating(
    state: entry_state.State,
    stamp: events.Stamp,
    rating: entry_state.PendingRating,
    score: float | None,
) -> list[Any]:
    """Accepts a stage's answer or escalates to the next stage.

    Nothing happens if the request does not wait for this rating any more.

    Args:
      state: The entry's state.
      stamp: Time and randomness of the event.
      rating: The rating that was requested.
      score: The score, 0..1; None when the rating is missing.
    Returns: The effects.
    """
    active = state.requests_by_id.get(rating.request_id)
    if active is None or active.phase != 'rating' or active.plan is None:
        return []
    active.stages[-1] = active.stages[-1]._replace(score=score)
    if cascades.evaluate(active.plan, active.stage_index, score) == 'Accept':
        return entry_delivery.deliver(state, stamp, active)
    active.stage_index += 1
    count = effects.Count('entry_escalations', ())
    return [count, *entry_dispatch.enqueue(state, stamp, active)]
