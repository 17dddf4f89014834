"""Enforces deadlines and timeouts of requests on every tick.

It protects against backend servers that hang, stop sending or lose answers:
such attempts are abandoned and retried, and slow plain requests are hedged.
"""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_gateway import admission
from ragwortgw_gateway import completion
from ragwortgw_gateway import dispatching
from ragwortgw_gateway import documents
from ragwortgw_gateway import effects
from ragwortgw_gateway import gateway_state

#: A server with requests in progress is silent if it sent nothing at all for
#: this long; a model server, where requests wait in a queue, if it sent
#: nothing to any gateway. While it prefills a long prompt, each token of
#: other requests waits for one chunk of the prefill, a quarter of a second on
#: a large model, and an event has several tokens. PENDING_FACTOR times the
#: estimated prefill of the prompts that are queued there is added.
SERVER_SILENCE_MS = 1_800
PENDING_FACTOR = 2.0
#: An answer that has not begun after this many times the estimated time,
#: plus a margin, is overdue: it was lost, or its server has more work than
#: is known here.
OVERDUE_FACTOR = 4.0
OVERDUE_MARGIN_MS = 1_800
#: A stream that has begun is overdue, though its server sends other data,
#: after this many times the longest pause that is on time, and at least as
#: long as a server may be silent. Bytes that complete no event don't count.
STALL_FACTOR = 2.0
#: Callers abandon a stream after a pause of at least MIN_PATIENCE_MS, and of
#: these many times the objective and the longest pause that is on time.
MIN_PATIENCE_MS = 2_000
PATIENCE_OBJECTIVES = 4
PATIENCE_INTERVALS = 8
#: Fraction of that pause after which a stream continues elsewhere, however
#: long the queue of its server is: prompts that hang make the queue long, and
#: the next server needs the rest of the time.
PATIENCE_FRACTION = 0.5
#: A first event is awaited for this many times its forecast, beside the
#: margin, also if that is longer; as many times more as such requests lately
#: waited longer than forecast. Under overload all servers have such queues,
#: and what is abandoned would only queue again.
FORECAST_FACTOR = 2.0
#: A plain request is hedged, sent to a second server, after this many times
#: the estimated time, plus a margin.
HEDGE_FACTOR = 3.0
HEDGE_MARGIN_MS = 40
#: A request is hedged only if at least this much time remains.
MIN_HEDGE_REMAINING_MS = 60


def on_tick(state: gateway_state.State, stamp: events.Stamp) -> list[Any]:
    """Checks every request for its deadline, due retries and timeouts."""
    outputs: list[Any] = []
    for active in list(state.requests_by_id.values()):
        if stamp.now_ms >= active.deadline_ms:
            outputs += expire(state, stamp, active)
        elif active.retry_ms and stamp.now_ms >= active.retry_ms:
            outputs += dispatching.dispatch(state, stamp, active)
        elif active.route.repeatable:
            outputs += _check_attempts(state, stamp, active)
    return outputs


def expire(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[Any]:
    """Ends a request at its deadline, or at the end of a planned stop."""
    outputs = completion.finish_with_available_answer(state, stamp, active)
    if outputs is not None:
        return outputs
    if active.may_have_run:
        failure: Any = errors.DeadlineExceeded(active.deadline_ms, 'unknown')
    else:
        failure = errors.Overloaded(admission.MIN_RETRY_MS)
    return completion.refuse(state, stamp, active, failure)


def _check_attempts(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[Any]:
    outputs: list[Any] = []
    may_retry = _may_retry(state, stamp, active)
    for attempt in list(active.attempts_by_id.values()):
        if not may_retry:
            continue
        if _server_silent(state, stamp, active, attempt):
            outputs.append(effects.Abandon(attempt.id, 'silent'))
        elif _answer_overdue(state, stamp, active, attempt):
            outputs.append(effects.Abandon(attempt.id, 'overdue'))
        elif _wants_hedge(stamp, active, attempt):
            outputs += _hedge(state, stamp, active, attempt)
    return outputs


def _may_retry(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> bool:
    """Returns whether a request may have another attempt.

    If not, no attempt is abandoned, since a silent server may still answer.
    """
    if active.passed_on:
        return False
    if (
        active.executions + len(active.attempts_by_id)
        >= active.route.max_attempts
    ):
        return False
    retries = state.budget.available(
        active.service, state.gateway_count, stamp.now_ms
    )
    return retries >= 1


def patience_ms(route: documents.Route) -> int:
    """Returns the pause after which callers of a route abandon a stream."""
    return max(
        MIN_PATIENCE_MS,
        PATIENCE_OBJECTIVES * route.objective_ms,
        PATIENCE_INTERVALS * route.event_interval_ms,
    )


def _server_silent(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> bool:
    server_id = attempt.server.id
    since_ms = max(
        state.last_seen_ms_by_server.get(server_id, 0),
        attempt.sent_ms,
        attempt.answered_ms,
        attempt.held_up_ms,
    )
    if attempt.model:
        peers_seen_ms = state.peers_seen_ms_by_server.get(server_id, 0)
        since_ms = max(since_ms, peers_seen_ms)
    pending_ms = state.loads.remaining(server_id, stamp.now_ms).pending_ms
    if not attempt.answered_ms:
        pending_ms = max(pending_ms, attempt.expected_ms)
    limit_ms = SERVER_SILENCE_MS + PENDING_FACTOR * pending_ms
    if attempt.answered_ms:
        limit_ms = _bounded_ms(limit_ms, active.route)
    return stamp.now_ms - since_ms > limit_ms


def _bounded_ms(limit_ms: float, route: documents.Route) -> float:
    """Returns a limit that leaves a stream's caller time to wait.

    Args:
      limit_ms: The limit as the queue of the server has it.
      route: Route of the stream.
    """
    shortest_ms = max(
        SERVER_SILENCE_MS, STALL_FACTOR * route.event_interval_ms
    )
    bound_ms = PATIENCE_FRACTION * patience_ms(route)
    return min(limit_ms, max(shortest_ms, bound_ms))


def _answer_overdue(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> bool:
    if active.route.kind != 'streaming':
        return False
    if not attempt.answered_ms:
        limit_ms = attempt.expected_ms * OVERDUE_FACTOR + OVERDUE_MARGIN_MS
        factor = FORECAST_FACTOR * state.waits.factor(
            active.queue, stamp.now_ms
        )
        queued_ms = attempt.expected_ms * factor + OVERDUE_MARGIN_MS
        bounded_ms = _bounded_ms(limit_ms, active.route)
        limit_ms = min(limit_ms, max(bounded_ms, queued_ms))
        return stamp.now_ms - attempt.sent_ms > limit_ms
    load = state.loads.remaining(attempt.server.id, stamp.now_ms)
    limit_ms = max(
        SERVER_SILENCE_MS, STALL_FACTOR * active.route.event_interval_ms
    )
    limit_ms += PENDING_FACTOR * load.pending_ms
    limit_ms = _bounded_ms(limit_ms, active.route)
    return stamp.now_ms - attempt.advanced_ms > limit_ms


def _wants_hedge(
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> bool:
    if attempt.answered_ms or active.route.kind == 'streaming':
        return False
    if len(active.attempts_by_id) > 1:
        return False
    if active.executions + 1 >= active.route.max_attempts:
        return False
    if active.deadline_ms - stamp.now_ms < MIN_HEDGE_REMAINING_MS:
        return False
    limit_ms = attempt.expected_ms * HEDGE_FACTOR + HEDGE_MARGIN_MS
    return stamp.now_ms - attempt.sent_ms > limit_ms


def _hedge(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> list[Any]:
    active.excluded_servers.add(attempt.server.id)
    outputs = dispatching.dispatch(state, stamp, active)
    if not outputs:
        return []
    fields = {
        'request': active.request.id,
        'attempt': attempt.id,
        'server': attempt.server.id,
        'waited_ms': stamp.now_ms - attempt.sent_ms,
        'expected_ms': round(attempt.expected_ms),
    }
    return [
        core_effects.Record('request-hedged', fields),
        *outputs,
    ]
