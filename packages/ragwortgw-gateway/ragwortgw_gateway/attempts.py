"""What becomes of an attempt: answered, dropped, broken, silent."""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import events as core_events
from ragwortgw_gateway import admission
from ragwortgw_gateway import completion
from ragwortgw_gateway import digests
from ragwortgw_gateway import dispatching
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import fleet_changes
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import outlier_ejection
from ragwortgw_gateway import selection

REDUCER = gateway_state.REDUCER

SERVER_ERROR = 500
SUCCESS_END = 300
#: A server answers so at the deadline that it was given; that the time
#: was short says nothing about the server.
TIMED_OUT = 504


@REDUCER.handles(events.AttemptAnswered)
def on_answered(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.AttemptAnswered,
) -> list[Any]:
    """Judges the head of an answer; a weak one is asked for again."""
    active = state.requests_by_attempt.get(event.attempt_id)
    if active is None:
        return []
    attempt = active.attempts_by_id[event.attempt_id]
    attempt.answered_ms = stamp.now_ms
    state.loads.prefill_done(attempt.id, stamp.now_ms)
    state.last_seen_ms_by_server[attempt.server.id] = stamp.now_ms
    if not event.head.streaming:
        return []
    if attempt.model and active.request.prompt is not None:
        read = digests.Prefill(
            attempt.server.id, attempt.model, active.request.prompt.blocks, 0
        )
        state.prefixes.record_prefill(
            read, state.cache_tokens(active.service), stamp.now_ms
        )
    record_latency(state, stamp, active, attempt)
    outputs = _hedges_lost(state, stamp, active, attempt.id)
    pressure = None if attempt.final else _pressure(state, stamp, active)
    accepted = state.tiers.accept_answer(
        attempt.model, event.head.confidence, pressure or 0.0
    )
    if accepted or pressure is None or pressure > 1:
        attempt.delivered = True
        active.streaming = True
        outputs.append(effects.Deliver(attempt.id))
        if not attempt.final:
            outputs.append(
                core_effects.Record(
                    'attempt-accepted',
                    {
                        'request': active.request.id,
                        'attempt': attempt.id,
                        'model': attempt.model,
                        'confidence': event.head.confidence,
                        'pressure': pressure and round(pressure, 2),
                    },
                )
            )
        return outputs
    active.executions += 1
    active.model_choice = _larger(active)
    return [
        *outputs,
        completion.cancel_attempt(state, stamp, attempt.id),
        core_effects.Count(
            'gateway_answers_dropped', (('model', attempt.model),)
        ),
        core_effects.Record(
            'attempt-dropped',
            {
                'request': active.request.id,
                'attempt': attempt.id,
                'model': attempt.model,
                'confidence': event.head.confidence,
                'pressure': round(pressure, 2),
                'next_model': active.model_choice.model,
            },
        ),
        *dispatching.dispatch(state, stamp, active),
    ]


@REDUCER.handles(events.AttemptEnded)
def on_ended(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.AttemptEnded,
) -> list[Any]:
    """Passes a whole answer on, or tries again after a failure."""
    over = completion.pop_attempt(state, stamp, event.attempt_id)
    if over is None:
        return []
    active, attempt = over
    if attempt.delivered:
        active.executions += 1
        state.latency.observe_stream(
            attempt.model, stamp.now_ms - attempt.answered_ms
        )
        _succeeded(state, active, attempt)
        return [
            effects.FinishStream(active.request.id),
            *completion.finish(state, stamp, active, 'answered'),
        ]
    if event.answer.status >= SERVER_ERROR:
        return _on_failure_answer(state, stamp, active, attempt, event)
    active.executions += 1
    if event.answer.status < SUCCESS_END:
        record_latency(state, stamp, active, attempt)
    _succeeded(state, active, attempt)
    return [
        effects.Respond(active.request.id, event.answer),
        *completion.finish(state, stamp, active, 'answered'),
    ]


@REDUCER.handles(events.AttemptRefused)
def on_refused(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.AttemptRefused,
) -> list[Any]:
    """Tries elsewhere what a backend server certainly did not run."""
    over = completion.pop_attempt(state, stamp, event.attempt_id)
    if over is None:
        return []
    active, attempt = over
    active.excluded_servers.add(attempt.server.id)
    outputs: list[Any] = []
    if event.other_server:
        active.failed('other server', f'at the address of {attempt.server.id}')
        outputs += fleet_changes.apply(
            state, state.fleet.mark_replaced(attempt.server.id), False
        )
    else:
        active.failed('server full', f'at {attempt.server.id}')
        state.outliers.record_failure(
            attempt.server.id, active.service, 'full', stamp.now_ms
        )
    outputs.append(_record_broken(active, attempt, stamp, 'no'))
    return [*outputs, *_try_elsewhere(state, stamp, active)]


@REDUCER.handles(events.AttemptBroke)
def on_broke(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.AttemptBroke,
) -> list[Any]:
    """Tries again what may be repeated, and resumes streams."""
    over = completion.pop_attempt(state, stamp, event.attempt_id)
    if over is None:
        return []
    active, attempt = over
    server = attempt.server
    active.excluded_servers.add(server.id)
    active.failed(event.reason, f'by {server.id}')
    outputs = record_server_failure(
        state, stamp, active, attempt, event.reason
    )
    outputs.append(_record_broken(active, attempt, stamp, event.ran))
    if event.reason == 'refused':
        return [*outputs, *_find_reachable(state, stamp, active)]
    if event.ran == 'no':
        return [*outputs, *_try_elsewhere(state, stamp, active)]
    active.executions += 1
    if event.reason == 'reset' and not attempt.answered_ms:
        state.crashes.record_crash(
            active.request.fingerprint,
            f'{server.id}/{server.started_ms}',
            stamp.now_ms,
        )
    active.last_event = max(active.last_event, event.last_event)
    if not active.route.repeatable:
        return [*outputs, *completion.fail_request(state, stamp, active, None)]
    return [*outputs, *dispatching.dispatch(state, stamp, active)]


def _find_reachable(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[Any]:
    """Sends on a request that has not arrived at any server.

    It is no repeat, and takes nothing out of the retry budget.
    """
    active.connect_failures += 1
    if active.connect_failures >= dispatching.MAX_CONNECT_FAILURES:
        return completion.fail_request(state, stamp, active, None)
    return dispatching.dispatch(state, stamp, active)


def _try_elsewhere(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[Any]:
    """Sends on a request that a server certainly did not run."""
    active.refusals += 1
    if active.refusals >= dispatching.MAX_REFUSALS:
        return completion.fail_request(state, stamp, active, None)
    return dispatching.dispatch(state, stamp, active)


def _on_failure_answer(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    event: events.AttemptEnded,
) -> list[Any]:
    """Handles a failure that the backend server itself answered."""
    active.executions += 1
    active.fallback_answer = event.answer
    active.excluded_servers.add(attempt.server.id)
    active.failed(str(event.answer.status), f'by {attempt.server.id}')
    outputs: list[Any] = []
    timed_out = event.answer.status == TIMED_OUT
    if not timed_out:
        outputs += record_server_failure(
            state, stamp, active, attempt, 'failed'
        )
        record_version_outcome(state, active, attempt, failed=True)
    outputs.append(_record_broken(active, attempt, stamp, 'yes'))
    if timed_out or not active.route.repeatable:
        return [*outputs, *completion.fail_request(state, stamp, active, None)]
    return [*outputs, *dispatching.dispatch(state, stamp, active)]


def record_server_failure(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    trouble: outlier_ejection.FailureKind,
) -> list[Any]:
    """Counts a trouble of a server; it may get no more work for a while."""
    server = attempt.server
    verdict = state.outliers.record_failure(
        server.id, active.service, trouble, stamp.now_ms
    )
    if not verdict.until_ms:
        return []
    fields = {
        'server': server.id,
        'reason': verdict.reason,
        'request': active.request.id,
        'pause_ms': verdict.until_ms - stamp.now_ms,
        'failure_share': round(
            state.outliers.failure_share(server.id, active.service), 2
        ),
    }
    return [
        effects.DropServer(server.id),
        core_effects.Record('server-suspended', fields),
        core_effects.Count(
            'gateway_suspensions', (('reason', verdict.reason),)
        ),
    ]


def record_latency(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> None:
    """Learns from the time that an answer took to begin."""
    measured_ms = max(1, stamp.now_ms - attempt.sent_ms)
    placed = attempt.server_choice
    if not placed.queued and not placed.copied_tokens:
        if attempt.model:
            state.latency.observe_model(
                attempt.model, placed.uncached_tokens, measured_ms
            )
        else:
            state.latency.observe_plain(active.service, measured_ms)
    log_ratio = state.latency.observe_server(
        attempt.server.id, placed.first_byte_ms, measured_ms, stamp.now_ms
    )
    _note_arm(state, active, attempt, slowness=log_ratio, timed=1)


def record_version_outcome(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    failed: bool,
) -> None:
    """Counts the outcome of an attempt for its version."""
    _note_arm(state, active, attempt, requests=1, failures=int(failed))


def _note_arm(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    **amounts: float,
) -> None:
    """Adds to the evidence on the version that an attempt went to."""
    if attempt.candidate is None:
        return
    arm = 'candidate' if attempt.candidate else 'baseline'
    named = {f'{arm}_{name}': amount for name, amount in amounts.items()}
    completion.record_rollout_evidence(state, active, **named)


def _succeeded(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> None:
    state.outliers.record_success(attempt.server.id, active.service)
    record_version_outcome(state, active, attempt, failed=False)


def _pressure(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
) -> float | None:
    """Tells how busy the larger model is that could answer instead.

    Returns: 0 if it could begin at once, 1 if just in time, more if it
      would be too late; None if it may not be asked.
    """
    if active.streaming or not selection.may_cascade(state, stamp, active):
        return None
    _, servers = selection.choose_version(state, stamp, active)
    larger = _larger(active)
    placed = selection.choose_server(state, stamp, active, larger, servers)
    if placed is None:
        return None
    asked = selection.requirements(state, stamp, active)
    return admission.pressure(asked, placed)


def _larger(active: gateway_state.ActiveRequest) -> Any:
    assert active.model_choice is not None
    return active.model_choice._replace(
        model=active.route.tiers[-1], final=True
    )


def _hedges_lost(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    winner: str,
) -> list[Any]:
    """Cancels the other attempts once one has an answer."""
    outputs: list[Any] = []
    for attempt_id in list(active.attempts_by_id):
        if attempt_id != winner:
            active.executions += 1
            outputs.append(completion.cancel_attempt(state, stamp, attempt_id))
    return outputs


def _record_broken(
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    stamp: core_events.Stamp,
    ran: str,
) -> core_effects.Record:
    return core_effects.Record(
        'attempt-broke',
        {
            'request': active.request.id,
            'attempt': attempt.id,
            'server': attempt.server.id,
            'reason': active.last_failure,
            'ran': ran,
            'after_ms': stamp.now_ms - attempt.sent_ms,
            'last_event': active.last_event,
        },
    )
