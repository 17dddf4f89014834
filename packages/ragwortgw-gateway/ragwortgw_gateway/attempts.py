"""Handles the outcomes of attempts.

An answer goes to the caller, or is dropped for one of a larger model; a
refusal, a failure or a broken connection leads to a retry if the request
may run again, and otherwise to the request's final answer.
"""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import events as core_events
from ragwortgw_gateway import admission
from ragwortgw_gateway import completion
from ragwortgw_gateway import crash_containment
from ragwortgw_gateway import crash_evidence
from ragwortgw_gateway import digests
from ragwortgw_gateway import dispatching
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import fleet_changes
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import outlier_ejection
from ragwortgw_gateway import plain_latency
from ragwortgw_gateway import selection
from ragwortgw_gateway import version_timing

REDUCER = gateway_state.REDUCER

#: HTTP status of a stream that was passed on.
OK = 200
#: Lowest HTTP status of a server's failure.
MIN_SERVER_ERROR = 500
#: Lowest HTTP status that is not a success.
MIN_NON_SUCCESS = 300
#: Reasons for which an attempt ended before it reached the server.
UNCONNECTED: frozenset[events.Reason] = frozenset({'refused', 'paused'})
#: HTTP status of a server that reached the deadline it was given. A short
#: deadline says nothing about the server, so it counts as no failure.
GATEWAY_TIMEOUT = 504


@REDUCER.handles(events.AttemptAnswered)
def on_answered(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.AttemptAnswered,
) -> list[Any]:
    """Handles the head of an answer: accepts it or asks a larger model."""
    active = state.requests_by_attempt.get(event.attempt_id)
    if active is None:
        return []
    attempt = active.attempts_by_id[event.attempt_id]
    attempt.answered_ms = stamp.now_ms
    state.loads.prefill_done(attempt.id, stamp.now_ms)
    attempt.advanced_ms = stamp.now_ms
    state.last_seen_ms_by_server[attempt.server.id] = stamp.now_ms
    if not event.head.streaming:
        return []
    attempt.events = 1
    if attempt.model and active.request.prompt is not None:
        prefill = digests.Prefill(
            attempt.server.id, attempt.model, active.request.prompt.blocks, 0
        )
        state.prefixes.record_prefill(
            prefill, state.cache_tokens(active.service), stamp.now_ms
        )
    record_latency(state, stamp, active, attempt)
    outputs = _cancel_other_attempts(state, stamp, active, attempt.id)
    pressure = (
        None if attempt.final else _larger_model_pressure(state, stamp, active)
    )
    accepted = state.tiers.accept_answer(
        attempt.model,
        event.head.confidence,
        0.0 if pressure is None else pressure.value,
    )
    if accepted or pressure is None or pressure.value > 1:
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
                        **_describe_pressure(pressure),
                    },
                )
            )
        return outputs
    active.executions += 1
    active.model_choice = _largest_model(active)
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
                **_describe_pressure(pressure),
                'next_model': active.model_choice.model,
            },
        ),
        *dispatching.dispatch(state, stamp, active),
    ]


@REDUCER.handles(events.AnswerGrew)
def on_answer_grew(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.AnswerGrew,
) -> list[Any]:
    """Has a long plain answer passed on, unless it leads to a retry.

    It ends the choice between servers: what has begun to go to the caller
    can only be completed or cut. Its time counts until now, since the rest
    comes as fast as the caller reads.
    """
    active = state.requests_by_attempt.get(event.attempt_id)
    if active is None or active.streaming:
        return []
    status = event.head.status
    if status >= MIN_SERVER_ERROR or status in completion.NOT_RUN_STATUSES:
        return []
    attempt = active.attempts_by_id[event.attempt_id]
    if status < MIN_NON_SUCCESS:
        record_latency(state, stamp, active, attempt)
    outputs = _cancel_other_attempts(state, stamp, active, attempt.id)
    attempt.delivered = True
    active.streaming = True
    active.passed_on = True
    return [*outputs, effects.Deliver(attempt.id)]


@REDUCER.handles(events.AnswersHeldUp)
def on_answers_held_up(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.AnswersHeldUp,
) -> list[Any]:
    """Notes that it is callers, not servers, for which answers wait."""
    for attempt_id in event.attempt_ids:
        active = state.requests_by_attempt.get(attempt_id)
        if active is None:
            continue
        attempt = active.attempts_by_id[attempt_id]
        attempt.held_up_ms = stamp.now_ms
        attempt.advanced_ms = stamp.now_ms
    return []


@REDUCER.handles(events.AnswerJudged)
def on_judged(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.AnswerJudged,
) -> list[Any]:
    """Logs what an answer was taken for, and on which connection it came."""
    active = state.requests_by_attempt.get(event.attempt_id)
    if active is None:
        return []
    attempt = active.attempts_by_id[event.attempt_id]
    fields = {
        'request': active.request.id,
        'server': attempt.server.id,
        **event._asdict(),
        'after_ms': stamp.now_ms - attempt.sent_ms,
    }
    return [
        core_effects.Record('answer-judged', fields),
        core_effects.Count(
            'gateway_answers_judged', (('verdict', event.verdict),)
        ),
    ]


@REDUCER.handles(events.StreamsAdvanced)
def on_streams_advanced(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.StreamsAdvanced,
) -> list[Any]:
    """Updates the times between events of the streams in progress."""
    outputs: list[Any] = []
    for attempt_id, count in event.advances:
        active = state.requests_by_attempt.get(attempt_id)
        if active is None:
            continue
        attempt = active.attempts_by_id[attempt_id]
        elapsed_ms = stamp.now_ms - attempt.advanced_ms
        attempt.advanced_ms = stamp.now_ms
        attempt.events += count
        answering_ms = stamp.now_ms - attempt.answered_ms
        if answering_ms >= crash_evidence.SOUND_AFTER_MS:
            outputs += crash_containment.record_sound(
                state, stamp, active, attempt
            )
        if attempt.held_up_ms:
            continue
        state.latency.observe_events(
            active.route.id, attempt.model, count, elapsed_ms, stamp.now_ms
        )
    return outputs


@REDUCER.handles(events.AttemptEnded)
def on_ended(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.AttemptEnded,
) -> list[Any]:
    """Passes a complete answer on, or retries after a failure."""
    ended = completion.pop_attempt(state, stamp, event.attempt_id)
    if ended is None:
        return []
    active, attempt = ended
    if event.answer.status < MIN_SERVER_ERROR:
        state.crashes.record_sound(active.request.fingerprint, stamp.now_ms)
    if attempt.delivered:
        active.executions += 1
        if active.request.prompt is not None and not attempt.held_up_ms:
            state.latency.observe_stream(
                active.route.id,
                attempt.model,
                event.events,
                active.request.prompt.output_tokens,
                stamp.now_ms - attempt.answered_ms,
            )
        _record_success(state, active, attempt)
        status = event.answer.status if active.passed_on else OK
        return [
            *crash_containment.record_sound(state, stamp, active, attempt),
            effects.FinishStream(active.request.id),
            *completion.finish(state, stamp, active, 'answered', status),
        ]
    if (
        active.streaming
        or event.answer.status >= MIN_SERVER_ERROR
        or event.answer.status in completion.NOT_RUN_STATUSES
    ):
        return _on_error_answer(state, stamp, active, attempt, event)
    active.executions += 1
    outputs: list[Any] = []
    if event.answer.status < MIN_NON_SUCCESS:
        record_latency(state, stamp, active, attempt)
        outputs += crash_containment.record_sound(
            state, stamp, active, attempt
        )
    _record_success(state, active, attempt)
    outputs += completion.respond(
        state, stamp, active, event.answer, 'answered'
    )
    return outputs


@REDUCER.handles(events.AttemptRefused)
def on_refused(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.AttemptRefused,
) -> list[Any]:
    """Retries a request that a backend server certainly did not run."""
    ended = completion.pop_attempt(state, stamp, event.attempt_id)
    if ended is None:
        return []
    active, attempt = ended
    active.excluded_servers.add(attempt.server.id)
    outputs: list[Any] = []
    if event.other_server:
        active.set_failure(
            'other server', f'at the address of {attempt.server.id}'
        )
        outputs += fleet_changes.apply(
            state, state.fleet.mark_replaced(attempt.server.id), False
        )
    else:
        active.set_failure('server full', f'at {attempt.server.id}')
        state.outliers.record_failure(
            attempt.server.id, active.service, 'full', stamp.now_ms
        )
    outputs.append(_record_broken_attempt(active, attempt, stamp, 'no'))
    return [*outputs, *_retry_refused(state, stamp, active)]


@REDUCER.handles(events.AttemptBroke)
def on_broke(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    event: events.AttemptBroke,
) -> list[Any]:
    """Retries a broken attempt if allowed, and resumes streams."""
    ended = completion.pop_attempt(state, stamp, event.attempt_id)
    if ended is None:
        return []
    active, attempt = ended
    server = attempt.server
    active.excluded_servers.add(server.id)
    active.set_failure(event.reason, f'by {server.id}')
    outputs: list[Any] = []
    if event.reason != 'paused' and event.reason != 'unread':
        outputs += record_server_failure(
            state, stamp, active, attempt, event.reason
        )
    outputs.append(_record_broken_attempt(active, attempt, stamp, event.ran))
    outputs += crash_containment.record_broken(
        state, stamp, active, attempt, event.reason
    )
    if event.ran == 'no':
        if event.reason in UNCONNECTED:
            return [*outputs, *_redispatch_unconnected(state, stamp, active)]
        return [*outputs, *_retry_refused(state, stamp, active)]
    active.executions += 1
    began = attempt.answered_ms or attempt.delivered
    if event.reason == 'reset' and not began:
        state.crashes.record_crash(
            active.request.fingerprint,
            f'{server.id}/{server.started_ms}',
            stamp.now_ms,
        )
    active.last_event_id = max(active.last_event_id, event.last_event)
    ended_early = active.passed_on or event.reason == 'unread'
    if ended_early or not active.route.repeatable:
        return [*outputs, *completion.fail_request(state, stamp, active, None)]
    return [*outputs, *dispatching.dispatch(state, stamp, active)]


def _redispatch_unconnected(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[Any]:
    """Dispatches a request again that has reached no server.

    This is no retry and takes nothing out of the retry budget.
    """
    active.connect_failures += 1
    if active.connect_failures >= dispatching.MAX_CONNECT_FAILURES:
        return completion.fail_request(state, stamp, active, None)
    return dispatching.dispatch(state, stamp, active)


def _retry_refused(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[Any]:
    """Dispatches a request again that a server certainly did not run."""
    active.refusals += 1
    if active.refusals >= dispatching.MAX_REFUSALS:
        return completion.fail_request(state, stamp, active, None)
    return dispatching.dispatch(state, stamp, active)


def _on_error_answer(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    event: events.AttemptEnded,
) -> list[Any]:
    """Handles an HTTP error status of a backend server.

    A begun stream can't go on with an answer that is none, whatever its
    status.
    """
    active.executions += 1
    active.fallback_answer = event.answer
    active.excluded_servers.add(attempt.server.id)
    active.set_failure(str(event.answer.status), f'by {attempt.server.id}')
    outputs: list[Any] = []
    timed_out = event.answer.status == GATEWAY_TIMEOUT
    if event.answer.status >= MIN_SERVER_ERROR and not timed_out:
        outputs += record_server_failure(
            state, stamp, active, attempt, 'failed'
        )
        record_version_outcome(state, active, attempt, failed=True)
    outputs.append(_record_broken_attempt(active, attempt, stamp, 'yes'))
    if timed_out or not active.route.repeatable:
        return [*outputs, *completion.fail_request(state, stamp, active, None)]
    return [*outputs, *dispatching.dispatch(state, stamp, active)]


def record_server_failure(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    failure_kind: outlier_ejection.FailureKind,
) -> list[Any]:
    """Records a failure of a server, which may suspend the server.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      attempt: The attempt that failed.
      failure_kind: How it failed.
    Returns: Effects; none if the server is not suspended by this failure.
    """
    server = attempt.server
    suspension = state.outliers.record_failure(
        server.id, active.service, failure_kind, stamp.now_ms
    )
    if not suspension.until_ms:
        return []
    fields = {
        'server': server.id,
        'reason': suspension.reason,
        'request': active.request.id,
        'pause_ms': suspension.until_ms - stamp.now_ms,
        'failure_share': round(
            state.outliers.failure_share(server.id, active.service), 2
        ),
    }
    return [
        effects.DropServer(server.id),
        core_effects.Record('server-suspended', fields),
        core_effects.Count(
            'gateway_suspensions', (('reason', suspension.reason),)
        ),
    ]


def record_latency(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> None:
    """Updates the latency estimates with the time to the first byte.

    Attempts that copied blocks do not count for the model, nor do those at
    cold servers and at the candidate of a roll-out, which may be slow; all
    count for the server and, in a roll-out, the version.
    """
    version_timing.record_begin(state, stamp, active, attempt)
    measured_ms = max(1, stamp.now_ms - attempt.sent_ms)
    completion.record_wait(state, stamp, active, attempt)
    server_choice = attempt.server_choice
    usual = not (_on_trial(state, active, attempt) or server_choice.cold)
    if attempt.model and usual and not server_choice.copied_tokens:
        state.latency.observe_model(
            attempt.model,
            server_choice.uncached_tokens,
            measured_ms,
            server_choice.queued,
        )
    if not attempt.model and usual and not server_choice.queued:
        state.latency.plain.observe(
            plain_latency.Key(active.service, active.route.id),
            measured_ms,
            stamp.now_ms,
        )
    if not attempt.model:
        # If nothing was known of the route, this says nothing of the server.
        if server_choice.forecast.idle_first_byte_ms:
            _record_cold(state, active, attempt, measured_ms, 0.0)
            state.latency.plain.observe_server(
                attempt.server.id,
                server_choice.usual_first_byte_ms,
                measured_ms,
                stamp.now_ms,
            )
        return
    models = active.route.tiers or (attempt.model,)
    jitter_ms = state.latency.jitter_ms(models)
    _record_cold(state, active, attempt, measured_ms, jitter_ms)
    state.latency.observe_server(
        attempt.server.id,
        server_choice.forecast.first_byte_ms,
        measured_ms,
        stamp.now_ms,
        jitter_ms,
    )


def _record_cold(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    measured_ms: int,
    jitter_ms: float,
) -> None:
    """Records how slow a server was if it is cold."""
    if not attempt.server_choice.cold:
        return
    usual_ms = attempt.server_choice.usual_first_byte_ms + jitter_ms
    state.cold_servers.record_slowdown(
        active.service, (measured_ms + jitter_ms) / max(1.0, usual_ms)
    )


def _on_trial(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> bool:
    """Returns whether an attempt is at a version that may turn out bad."""
    track = state.rollouts.tracks_by_service.get(active.service)
    return bool(attempt.candidate and track is not None and not track.final)


def record_version_outcome(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    failed: bool,
) -> None:
    """Counts a success or failure of the version that ran an attempt."""
    _record_version_evidence(
        state, active, attempt, requests=1, failures=int(failed)
    )


def _record_version_evidence(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    **amounts: float,
) -> None:
    """Adds to the roll-out evidence on the version of an attempt.

    Args:
      state: The gateway.
      active: The request.
      attempt: The attempt; nothing is added without a roll-out.
      amounts: Amounts by field of digests.RolloutEvidence, without the
        prefix 'candidate_' or 'baseline_'.
    """
    if attempt.candidate is None:
        return
    arm = 'candidate' if attempt.candidate else 'baseline'
    amounts_by_field = {
        f'{arm}_{name}': amount for name, amount in amounts.items()
    }
    completion.record_rollout_evidence(state, active, **amounts_by_field)


def _record_success(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> None:
    state.outliers.record_success(attempt.server.id, active.service)
    record_version_outcome(state, active, attempt, failed=False)


def _larger_model_pressure(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
) -> admission.Pressure | None:
    """Returns how busy the largest model is that could answer instead.

    Returns: The pressure; None if it may not be asked, has no server or
      takes too long for the request even at an idle server.
    """
    if active.streaming or not selection.may_cascade(state, stamp, active):
        return None
    _, servers = selection.choose_version(state, stamp, active)
    larger = _largest_model(active)
    server_choice = selection.choose_server(
        state, stamp, active, larger, servers
    )
    if server_choice is None:
        return None
    requirements = selection.requirements(state, stamp, active)
    if server_choice.forecast.idle_end_ms > requirements.remaining_ms:
        return None
    return admission.pressure(requirements, server_choice)


def _describe_pressure(pressure: admission.Pressure | None) -> dict[str, Any]:
    """Returns the log fields on how busy the larger model is."""
    if pressure is None:
        return {'pressure': None}
    return {
        'pressure': round(pressure.value, 2),
        'reason': pressure.reason,
        'larger_first_ms': round(pressure.first_ms),
        'larger_limit_ms': round(pressure.limit_ms),
    }


def _largest_model(active: gateway_state.ActiveRequest) -> Any:
    assert active.model_choice is not None
    return active.model_choice._replace(
        model=active.route.tiers[-1], final=True
    )


def _cancel_other_attempts(
    state: gateway_state.State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    answered_attempt_id: str,
) -> list[Any]:
    """Cancels hedged attempts once one attempt has an answer."""
    outputs: list[Any] = []
    for attempt_id in list(active.attempts_by_id):
        if attempt_id != answered_attempt_id:
            active.executions += 1
            outputs.append(completion.cancel_attempt(state, stamp, attempt_id))
    return outputs


def _record_broken_attempt(
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    stamp: core_events.Stamp,
    ran: str,
) -> core_effects.Record:
    answered_ms = attempt.answered_ms
    prompt = active.request.prompt
    return core_effects.Record(
        'attempt-broke',
        {
            'request': active.request.id,
            'attempt': attempt.id,
            'server': attempt.server.id,
            'started_ms': attempt.server.started_ms,
            'reason': active.last_failure,
            'ran': ran,
            'after_ms': stamp.now_ms - attempt.sent_ms,
            'answering_ms': stamp.now_ms - answered_ms if answered_ms else 0,
            'last_event': active.last_event_id,
            'blocks': [] if prompt is None else list(prompt.shared_ids),
        },
    )
