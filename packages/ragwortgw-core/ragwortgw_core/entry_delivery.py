"""Delivery of answers to callers, billing, and requests for ratings."""

from typing import Any

from ragwortgw_core import cascades
from ragwortgw_core import completion_stream
from ragwortgw_core import effects
from ragwortgw_core import entry_dispatch
from ragwortgw_core import entry_selection
from ragwortgw_core import entry_state
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import notices
from ragwortgw_core import requests


OK = 200
SERVER_ERROR = 500
#: Number of possible values of a stamp's random seed.
SEED_RANGE = 1 << 64


def headers_of(
    active: entry_state.ActiveRequest,
) -> tuple[tuple[str, str], ...]:
    """Returns the response headers that report version and session."""
    headers = []
    if active.version:
        headers.append(('Ragwortgw-Version', active.version))
    if active.session_token:
        headers.append(('Ragwortgw-Session', active.session_token))
    if active.moved:
        headers.append(('Ragwortgw-Session-Moved', 'withdrawn'))
    return tuple(headers)


def cost_of(
    state: entry_state.State,
    active: entry_state.ActiveRequest,
    answer: requests.Answer,
) -> int:
    """Returns the cost of the present stage's answer.

    The cost is in micro-units of currency. It is 0 when the model has been
    removed from the configuration.
    """
    snapshot = state.store.snapshot
    if snapshot is None or active.current_model not in snapshot.models_by_id:
        return 0
    prices = entry_dispatch.prices_of(
        snapshot.models_by_id[active.current_model]
    )
    return requests.cost_micros(
        prices, answer.usage['input_tokens'], answer.usage['output_tokens']
    )


def request_stage_rating(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> list[Any]:
    """Requests the rating that decides whether to accept a stage's answer."""
    active.phase = 'rating'
    return request_rating(state, stamp, active, active.request.id)


def request_rating(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    request_id: str,
    recorded_answer: cascades.RecordedAnswer | None = None,
) -> list[Any]:
    """Requests a rating of the answer of the last finished stage.

    Args:
      state: The entry's state.
      stamp: Time and randomness of the event.
      active: The request.
      request_id: Id of the request if it waits for the rating; '' when its
        answer has been delivered already.
      recorded_answer: What the cascade recorded of a delivered answer;
        None without a cascade or for a request that still waits.
    Returns: The effects.
    """
    stage = active.stages[-1]
    op_id = state.next_rating
    state.next_rating += 1
    state.ratings_by_op[op_id] = entry_state.PendingRating(
        request_id,
        active.organisation['id'],
        entry_selection.request_class(active),
        active.current_model,
        stage.version,
        recorded_answer,
    )
    deadline_ms = stamp.now_ms + state.options.rating_timeout_ms
    if request_id:
        deadline_ms = min(deadline_ms, active.request.deadline_ms)
    return [
        effects.RateAnswer(
            op_id,
            active.organisation['id'],
            stage.version,
            active.request.body,
            stage.answer.body,
            deadline_ms,
        )
    ]


def deliver(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> list[Any]:
    """Delivers the last finished stage's answer and bills the request.

    The request leaves the entry's state here, so that it is answered and
    billed exactly once. Server errors (5xx) are not billed.
    """
    stage = active.stages[-1]
    active.version = stage.version
    if active.plan is not None:
        active.stage_index = active.plan.start + len(active.stages) - 1
    outputs = entry_dispatch.remove_request(state, stamp, active)
    if not active.detached:
        outputs += answer_caller(active, stage.answer)
    if stage.answer.status < SERVER_ERROR:
        outputs += bill_request(state, stamp, active)
    if not active.repeatable:
        ledger_outputs = state.ledger.finish(
            stamp, active.request.idempotency_key, stage.answer
        )
        outputs += entry_state.apply_notices(state, stamp, ledger_outputs)
    recorded_answer = record_final_answer(state, stamp, active)
    if stage.score is None and should_sample(state, stamp, active, stage):
        outputs += request_rating(state, stamp, active, '', recorded_answer)
    if active.session:
        state.sessions.record(active.session, stage.version, stamp.now_ms)
    elapsed_ms = stamp.now_ms - active.received_at_ms
    labels = (('target', active.request.target),)
    outputs.append(effects.Observe('entry_request_ms', labels, elapsed_ms))
    outputs.append(effects.Count('entry_answers', labels))
    return outputs


@entry_state.NOTICE_REDUCER.handles(notices.EarlierAnswerChosen)
def on_earlier_answer_chosen(
    state: entry_state.State,
    stamp: events.Stamp,
    notice: notices.EarlierAnswerChosen,
) -> list[Any]:
    active = state.requests_by_id.get(notice.request_id)
    return [] if active is None else deliver(state, stamp, active)


def record_final_answer(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> cascades.RecordedAnswer | None:
    """Passes a delivered request's ratings to its cascade's statistics.

    Returns None if the request is not part of a cascade.
    """
    if active.plan is None:
        return None
    scores = [stage.score for stage in active.stages]
    return cascades.record_answer(
        state.quality, active.plan, scores, stamp.now_ms
    )


def answer_caller(
    active: entry_state.ActiveRequest, answer: requests.Answer
) -> list[Any]:
    """Sends a complete answer, or ends the stream that relayed it.

    A stream whose resumed attempt failed ends with the failure.
    """
    headers = headers_of(active)
    if active.relaying and answer.status != OK:
        failure = errors.BackendFailed(active.backend, 'yes', None)
        return [effects.Refuse(active.request.id, failure, headers)]
    if active.relaying:
        return [effects.FinishRelay(active.request.id)]
    body = answer.body
    content_type = answer.content_type
    if active.request.stream and answer.status == OK:
        body = completion_stream.to_event_stream(answer.body)
        content_type = 'text/event-stream'
    return [
        effects.Respond(
            active.request.id,
            answer.status,
            (('Content-Type', content_type), *headers),
            body,
        )
    ]


def bill_request(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> list[Any]:
    """Builds the one bill of a request and sends a copy to its agent.

    The agent offers its copy to another entry if this one is lost before
    the bill has been written.
    """
    snapshot = state.store.snapshot
    new_bill = requests.Bill(
        active.request.id,
        active.organisation['id'],
        active.request.target,
        active.current_model,
        active.version,
        snapshot.revision if snapshot else 0,
        sum(s.answer.usage['input_tokens'] for s in active.stages),
        sum(s.answer.usage['output_tokens'] for s in active.stages),
        sum(s.cost_micros for s in active.stages),
        stamp.now_ms,
    )
    state.agent_ids_by_bill[new_bill.id] = active.agent_id
    return [
        effects.SendBill(active.agent_id, new_bill),
        effects.Record(
            'request-billed',
            {
                'request': new_bill.id,
                'organisation': new_bill.organisation,
                'version': new_bill.version,
                'cost_micros': new_bill.cost_micros,
            },
        ),
        *entry_state.apply_notices(
            state, stamp, state.bills.add(stamp, new_bill)
        ),
    ]


def should_sample(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    stage: entry_state.FinishedStage,
) -> bool:
    """Decides whether to rate an answer that is delivered unrated.

    Such a rating has no effect on the request itself. A random sample
    (Options.rating_share) of the chat answers is rated, and every answer of a
    model whose roll-out is running.
    """
    if active.request.kind != 'chat' or not stage.answer.body:
        return False
    snapshot = state.store.snapshot
    rollout = snapshot and snapshot.rollouts_by_id.get(active.current_model)
    if rollout and rollout['state'] == 'running':
        return True
    return stamp.seed / SEED_RANGE < state.options.rating_share
