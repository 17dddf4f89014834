"""Gives requests their final answers and forgets them."""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_gateway import admission
from ragwortgw_gateway import effects
from ragwortgw_gateway import gateway_state


def fail_request(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    failure: Any,
) -> list[Any]:
    """Gives a request its final answer where no good one is to be had.

    Args:
      state: The gateway.
      stamp: Time and randomness.
      active: The request.
      failure: Refusal that fits if nothing has run; None: overloaded.
    Returns: Effects; none while another attempt may still succeed.
    """
    if active.attempts_by_id:
        return []
    at_hand = finish_with_available_answer(state, stamp, active)
    if at_hand is not None:
        return at_hand
    if active.executions:
        failure = errors.BackendFailed(
            active.last_failure or active.service, 'unknown', None
        )
        return refuse(state, stamp, active, failure)
    if failure is None:
        left_ms = active.deadline_ms - stamp.now_ms
        failure = errors.Overloaded(
            admission.retry_after_ms(
                admission.FULL_WAIT_MS, left_ms, stamp.seed
            )
        )
    return refuse(state, stamp, active, failure)


def finish_with_available_answer(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[Any] | None:
    """Ends a request of which the caller has part, or a server's failure.

    Returns: Effects; None if there is neither.
    """
    if active.streaming:
        return [
            effects.CutStream(active.request.id),
            *finish(state, stamp, active, 'stream-cut'),
        ]
    if active.fallback_answer is not None:
        return [
            effects.Respond(active.request.id, active.fallback_answer),
            *finish(state, stamp, active, 'failed-by-server'),
        ]
    return None


def refuse(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    failure: Any,
) -> list[Any]:
    """Refuses a request for good."""
    return [
        effects.Refuse(active.request.id, failure),
        *finish(state, stamp, active, failure.slug),
    ]


def finish(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    outcome: str,
) -> list[Any]:
    """Forgets a request, cancels what still runs, and says how it ended."""
    outputs: list[Any] = []
    for attempt_id in list(active.attempts_by_id):
        outputs.append(cancel_attempt(state, stamp, attempt_id))
    state.requests_by_id.pop(active.request.id, None)
    took_ms = stamp.now_ms - active.request.received_ms
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
            'gateway_request_ms', (('route', active.route.id),), took_ms
        ),
        core_effects.Record(
            'request-ended',
            {
                'request': active.request.id,
                'outcome': outcome,
                'took_ms': took_ms,
                'runs': active.executions,
                'refusals': active.refusals,
                'unreached': active.connect_failures,
                'last_failure': active.last_failure,
            },
        ),
    ]


def pop_attempt(
    state: gateway_state.State, stamp: events.Stamp, attempt_id: str
) -> tuple[gateway_state.ActiveRequest, gateway_state.Attempt] | None:
    """Forgets an attempt that is over.

    Returns: Its request and the attempt; None if it is not known.
    """
    active = state.requests_by_attempt.pop(attempt_id, None)
    if active is None:
        return None
    state.loads.remove_attempt(attempt_id, stamp.now_ms)
    return active, active.attempts_by_id.pop(attempt_id)


def cancel_attempt(
    state: gateway_state.State, stamp: events.Stamp, attempt_id: str
) -> effects.Cancel:
    """Gives an attempt up that is still under way."""
    pop_attempt(state, stamp, attempt_id)
    return effects.Cancel(attempt_id)


def record_rollout_evidence(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    **amounts: float,
) -> None:
    """Adds to the evidence of the roll-out of a request's service."""
    track = state.rollouts.tracks_by_service.get(active.service)
    if track is not None and not track.final:
        track.evidence.add(**amounts)
