"""Handling of the outcomes of attempts: finished, refused or broken.

Decides whether a failed request is retried, and where. A call that may
not be repeated is retried only if it is certain that it was not executed.
"""

from typing import Any

from ragwortgw_core import effects
from ragwortgw_core import entry_delivery
from ragwortgw_core import entry_dispatch
from ragwortgw_core import entry_selection
from ragwortgw_core import entry_state
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import requests


#: Retry-After of a request whose attempts failed.
CALL_RETRY_MS = 1_000


def find_request(
    state: entry_state.State, attempt_id: str
) -> entry_state.ActiveRequest | None:
    """Returns the request that an attempt in progress belongs to.

    None means that the attempt is unknown or has ended already.
    """
    request_id = state.request_ids_by_attempt.get(attempt_id, '')
    return state.requests_by_id.get(request_id)


@entry_state.REDUCER.handles(events.AttemptStarted)
def on_attempt_started(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.AttemptStarted,
) -> list[Any]:
    return []


@entry_state.REDUCER.handles(events.AttemptFirstChunk)
def on_first_chunk(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.AttemptFirstChunk,
) -> list[Any]:
    active = find_request(state, event.attempt_id)
    if active is None or active.detached:
        return []
    outputs: list[Any] = []
    if not active.relaying:
        elapsed_ms = stamp.now_ms - active.received_at_ms
        outputs.append(effects.Observe('entry_first_token_ms', (), elapsed_ms))
    active.relaying = True
    outputs.append(
        effects.StartRelay(
            active.request.id,
            event.attempt_id,
            entry_delivery.headers_of(active),
        )
    )
    return outputs


@entry_state.REDUCER.handles(events.AttemptFinished)
def on_attempt_finished(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.AttemptFinished,
) -> list[Any]:
    active = find_request(state, event.attempt_id)
    if active is None:
        return []
    end_attempt(state, stamp, active)
    if active.item is not None:
        service_ms = stamp.now_ms - active.attempt_at_ms
        state.queue.record_served(active.item, service_ms, stamp)
    record_outcome(
        state,
        stamp,
        active,
        event.answer.status >= entry_delivery.SERVER_ERROR,
    )
    if should_retry_answer(active, event.answer):
        return retry(state, stamp, active, 'unknown', False, 'server error')
    stage = entry_state.FinishedStage(
        active.version,
        event.answer,
        entry_delivery.cost_of(state, active, event.answer),
    )
    active.stages.append(stage)
    if active.request.kind == 'chat' and event.answer.status == 200:
        state.quality.record_output_tokens(
            entry_selection.request_class(active),
            active.current_model,
            event.answer.usage['output_tokens'],
        )
    active.record_ran('yes')
    if active.final_stage or event.answer.status != 200:
        outputs = entry_delivery.deliver(state, stamp, active)
    else:
        outputs = entry_delivery.request_stage_rating(state, stamp, active)
    return [*outputs, *entry_dispatch.dispatch_queued(state, stamp)]


def should_retry_answer(
    active: entry_state.ActiveRequest, answer: requests.Answer
) -> bool:
    """Returns whether a server error (5xx) is retried, not delivered."""
    return (
        answer.status >= entry_delivery.SERVER_ERROR
        and active.repeatable
        and not active.relaying
    )


def end_attempt(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> None:
    """Stops tracking the request's present attempt."""
    state.strikes.attempt_ended(active.backend, active.attempt_id)
    entry_dispatch.release_agent(state, stamp, active)


def record_outcome(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    failed: bool,
) -> None:
    """Adds an attempt's outcome to the evidence about its version."""
    state.evidence.observe(
        active.current_model, active.version, None, failed, stamp.now_ms
    )


@entry_state.REDUCER.handles(events.AttemptRefused)
def on_attempt_refused(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.AttemptRefused,
) -> list[Any]:
    active = find_request(state, event.attempt_id)
    if active is None:
        return []
    end_attempt(state, stamp, active)
    failure = event.failure
    if isinstance(failure, errors.DuplicateAttempt):
        return fail_request(state, stamp, active, 'unknown', 'duplicate')
    if isinstance(failure, errors.ConfigurationNewer):
        return wait_for_configuration(state, stamp, active, failure)
    if isinstance(failure, errors.RequestSuspected):
        return entry_dispatch.refuse_unexecuted(state, stamp, active, failure)
    return retry_elsewhere(state, stamp, active, failure)


@entry_state.REDUCER.handles(events.AttemptBroken)
def on_attempt_broken(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.AttemptBroken,
) -> list[Any]:
    active = find_request(state, event.attempt_id)
    if active is None:
        return []
    outputs: list[Any] = []
    if event.crashed:
        strikes = state.strikes.crashed(
            stamp,
            active.backend,
            event.reason,
            complete=False,
            fingerprints=(active.request.fingerprint,),
        )
        outputs += entry_state.apply_notices(state, stamp, strikes)
    end_attempt(state, stamp, active)
    record_outcome(state, stamp, active, event.ran != 'no')
    active.resume_offset = event.relayed
    outputs += retry(
        state, stamp, active, event.ran, event.crashed, event.reason
    )
    return [*outputs, *entry_dispatch.dispatch_queued(state, stamp)]


def retry(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    ran: errors.Ran,
    crashed: bool,
    reason: str,
) -> list[Any]:
    """Retries a failed request if that is safe and within the budget.

    Not retried are a call that may not be repeated and may have been
    executed, a stream that was partly relayed when its backend server
    crashed, and a request that used up its attempts or found the retry
    budget empty. An attempt that was certainly not executed costs no retry.

    Args:
      state: The entry's state.
      stamp: Time and randomness of the event.
      active: The request, whose attempt has ended.
      ran: Whether the attempt was executed.
      crashed: Whether the backend server crashed.
      reason: Why the attempt failed.
    Returns: The effects.
    """
    active.record_ran(ran)
    if not active.repeatable and ran != 'no':
        return fail_request(state, stamp, active, ran, reason)
    if active.relaying and crashed:
        return fail_request(state, stamp, active, ran, reason)
    if ran == 'no':
        failure = errors.BackendFailed(active.backend, 'no', CALL_RETRY_MS)
        return retry_elsewhere(state, stamp, active, failure)
    if not active.relaying:
        active.avoid_until_ms_by_agent[active.agent_id] = (
            entry_dispatch.AVOID_FOREVER_MS
        )
    exhausted = active.attempts >= state.options.max_attempts
    if exhausted or not state.retries.allow(stamp):
        return fail_request(state, stamp, active, ran, reason)
    outputs: list[Any] = [effects.Count('entry_retries', ())]
    suspected = state.strikes.check(stamp, active.request.fingerprint)
    if suspected is not None:
        return entry_dispatch.refuse_unexecuted(
            state, stamp, active, suspected
        )
    return [*outputs, *entry_dispatch.enqueue(state, stamp, active)]


def wait_for_configuration(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    failure: Any,
) -> list[Any]:
    """Queues a request until the entry holds an agent's newer configuration.

    Agents learn of a configuration within moments of each other. Other
    agents would refuse the request as well, until none is left to ask.

    Args:
      state: The entry's state.
      stamp: Time and randomness of the event.
      active: The request, whose attempt has ended.
      failure: The refusal, an errors.ConfigurationNewer.
    Returns: The effects.
    """
    outputs = state.store.record_report(
        stamp, active.agent_id, failure.revision, 0
    )
    active.attempts -= 1
    active.refusals += 1
    active.needed_revision = max(active.needed_revision, failure.revision)
    return [
        effects.Count('entry_refused_attempts', (('failure', failure.slug),)),
        *entry_state.apply_notices(state, stamp, outputs),
        *entry_dispatch.requeue(state, stamp, active, failure),
    ]


def retry_elsewhere(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    failure: Any,
) -> list[Any]:
    """Retries a request whose attempt was refused or not executed.

    This does not use up the retry budget. The agent gets none of the
    request's attempts for BUSY_AVOID_MS.
    """
    active.attempts -= 1
    active.refusals += 1
    until_ms = stamp.now_ms + entry_dispatch.BUSY_AVOID_MS
    active.avoid_until_ms_by_agent[active.agent_id] = until_ms
    count = effects.Count(
        'entry_refused_attempts', (('failure', failure.slug),)
    )
    outputs = entry_dispatch.requeue(state, stamp, active, failure)
    return [count, *outputs]


def fail_request(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    ran: errors.Ran,
    reason: str,
) -> list[Any]:
    """Refuses a request whose attempt failed and is not retried.

    The key of a call that may not be repeated is released if the call was
    certainly not executed; otherwise the ledger records that its outcome
    is unknown, so that no later call with the key is executed.
    """
    failure = errors.BackendFailed(
        active.backend,
        ran,
        CALL_RETRY_MS if active.repeatable or ran == 'no' else None,
    )
    if active.repeatable:
        return entry_dispatch.refuse_request(state, stamp, active, failure)
    if ran == 'no':
        return entry_dispatch.refuse_unexecuted(state, stamp, active, failure)
    outputs = entry_dispatch.refuse_request(state, stamp, active, failure)
    unknown = state.ledger.mark_unknown(stamp, active.request.idempotency_key)
    return [*outputs, *entry_state.apply_notices(state, stamp, unknown)]
