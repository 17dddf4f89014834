"""Ends requests: sends the final answer, cancels attempts, records metrics."""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_gateway import admission
from ragwortgw_gateway import effects
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import requests

#: Statuses that promise a caller that its request was not run and will not
#: be, so that it may repeat what must not run twice.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def fail_request(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    failure: Any,
) -> list[Any]:
    """Ends a request for which no further attempt is made.

    The caller gets what is available: an aborted stream if one has begun,
    the failure that a backend server answered with, or a refusal.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      failure: Refusal to send if no server may have run the request; None
        for Overloaded.
    Returns: Effects; none while another attempt may still succeed.
    """
    if active.attempts_by_id:
        return []
    outputs = finish_with_available_answer(state, stamp, active)
    if outputs is not None:
        return outputs
    if failure is None:
        remaining_ms = active.deadline_ms - stamp.now_ms
        failure = errors.Overloaded(
            admission.retry_after_ms(
                admission.FULL_WAIT_MS, remaining_ms, stamp.seed
            )
        )
    return refuse(state, stamp, active, failure)


def finish_with_available_answer(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[Any] | None:
    """Ends a begun stream, or sends a failure that a server answered with.

    Returns: Effects; None if there is neither.
    """
    if active.streaming:
        return [
            effects.CutStream(active.request.id),
            *finish(state, stamp, active, 'stream-cut'),
        ]
    if active.fallback_answer is not None:
        return respond(
            state, stamp, active, active.fallback_answer, 'failed-by-server'
        )
    return None


def respond(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    answer: requests.Answer,
    outcome: str,
) -> list[Any]:
    """Ends a request with the answer of a backend server.

    A status that would promise that the request was not run is replaced:
    proofs of that are no answers, so that this server may have run it.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      answer: The answer.
      outcome: Label of metrics.
    Returns: Effects.
    """
    if answer.status in NOT_RUN_STATUSES:
        return refuse(state, stamp, active, _backend_failed(active))
    return [
        effects.Respond(active.request.id, answer),
        *finish(state, stamp, active, outcome, answer.status),
    ]


def _backend_failed(
    active: gateway_state.ActiveRequest,
) -> errors.BackendFailed:
    reason = active.last_failure or active.service
    return errors.BackendFailed(reason, 'unknown', None)


def refuse(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    failure: Any,
) -> list[Any]:
    """Ends a request with a refusal.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      failure: One of ragwortgw_core.errors. One that would promise that the
        request was not run is replaced unless all its attempts prove that.
    Returns: Effects.
    """
    if active.may_have_run and failure.status in NOT_RUN_STATUSES:
        failure = _backend_failed(active)
    if active.admitted:
        state.shares.record_unserved(
            active.service, active.classes, stamp.now_ms
        )
    return [
        effects.Refuse(active.request.id, failure),
        *finish(state, stamp, active, failure.slug, failure.status),
    ]


def finish(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    outcome: str,
    status: int = 0,
) -> list[Any]:
    """Removes a request, cancels its attempts and records its outcome.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      outcome: Label of metrics; the slug of the refusal if it was refused.
      status: HTTP status that the caller gets, 0 for none.
    Returns: Effects.
    """
    outputs: list[Any] = []
    unfinished = _describe_unfinished(stamp, active)
    for attempt_id in list(active.attempts_by_id):
        outputs.append(cancel_attempt(state, stamp, attempt_id))
    state.requests_by_id.pop(active.request.id, None)
    duration_ms = stamp.now_ms - active.request.received_ms
    labels = (
        ('route', active.route.id),
        ('rank', str(active.priority)),
        ('outcome', outcome),
        ('reason', active.reason),
    )
    return [
        *outputs,
        core_effects.Count('gateway_requests', labels),
        core_effects.Observe(
            'gateway_request_ms', (('route', active.route.id),), duration_ms
        ),
        core_effects.Record(
            'request-ended',
            {
                'request': active.request.id,
                'outcome': outcome,
                'status': status,
                'sent': active.attempts_sent,
                'took_ms': duration_ms,
                'runs': active.executions,
                'refusals': active.refusals,
                'unreached': active.connect_failures,
                'last_failure': active.last_failure,
                **unfinished,
            },
        ),
    ]


def _describe_unfinished(
    stamp: events.Stamp, active: gateway_state.ActiveRequest
) -> dict[str, Any]:
    """Returns log fields on the attempt that a request's end cuts off.

    They distinguish a stream that hung from a slow one: the number of its
    events, and the time since the last one, or since it was sent.

    Returns: The fields; none if no attempt was in progress.
    """
    for attempt in active.attempts_by_id.values():
        since_ms = attempt.advanced_ms or attempt.sent_ms
        return {
            'cut_at': attempt.server.id,
            'cut_events': attempt.events,
            'cut_silent_ms': stamp.now_ms - since_ms,
        }
    return {}


def pop_attempt(
    state: gateway_state.State, stamp: events.Stamp, attempt_id: str
) -> tuple[gateway_state.ActiveRequest, gateway_state.Attempt] | None:
    """Removes an attempt that is over.

    Returns: Its request and the attempt; None if it was cancelled before.
    """
    active = state.requests_by_attempt.pop(attempt_id, None)
    if active is None:
        return None
    state.loads.remove_attempt(attempt_id, stamp.now_ms)
    attempt = active.attempts_by_id.pop(attempt_id)
    if not attempt.answered_ms and _overdue(state, stamp, attempt):
        record_wait(state, stamp, active, attempt)
    return active, attempt


def _overdue(
    state: gateway_state.State,
    stamp: events.Stamp,
    attempt: gateway_state.Attempt,
) -> bool:
    """Returns whether an attempt waits too long at a server that lives."""
    last_seen_ms = state.last_seen_ms_by_server.get(attempt.server.id, 0)
    elapsed_ms = stamp.now_ms - attempt.sent_ms
    return last_seen_ms > attempt.sent_ms and elapsed_ms > attempt.expected_ms


def record_wait(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> None:
    """Compares the wait of an attempt at a model server with its forecast."""
    if not attempt.model:
        return
    forecast = attempt.server_choice.forecast
    elapsed_ms = stamp.now_ms - attempt.sent_ms
    state.waits.observe(
        active.queue,
        active.route.timeout_ms,
        forecast.wait_ms,
        elapsed_ms - forecast.idle_first_byte_ms,
        bool(attempt.answered_ms),
        stamp.now_ms,
    )


def cancel_attempt(
    state: gateway_state.State, stamp: events.Stamp, attempt_id: str
) -> effects.Cancel:
    """Removes an attempt in progress and returns its cancellation."""
    pop_attempt(state, stamp, attempt_id)
    return effects.Cancel(attempt_id)


def record_rollout_evidence(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    **amounts: float,
) -> None:
    """Adds to the roll-out evidence of a request's service.

    Args:
      state: The gateway.
      active: The request.
      amounts: Amounts by field of digests.RolloutEvidence.
    """
    track = state.rollouts.tracks_by_service.get(active.service)
    if track is not None and not track.final:
        track.evidence.add(active.route.id, **amounts)
