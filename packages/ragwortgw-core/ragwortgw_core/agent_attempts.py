"""Admission of attempts at an agent, and handling of their outcomes."""

from typing import Any

from ragwortgw_core import agent_admission
from ragwortgw_core import agent_state
from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import notices
from ragwortgw_core import requests


#: Attempt ids that are remembered to detect duplicates.
MAX_SEEN_ATTEMPTS = 10_000
SERVER_ERROR = 500


@agent_state.REDUCER.handles(events.DispatchReceived)
def on_dispatch(
    state: agent_state.State,
    stamp: events.Stamp,
    event: events.DispatchReceived,
) -> list[Any]:
    dispatch = event.dispatch
    if dispatch.attempt_id in state.seen_attempt_ids:
        return refuse_attempt(state, dispatch, errors.DuplicateAttempt)
    record_attempt_id(state, dispatch.attempt_id)
    exclusive = state.strikes.must_run_alone(dispatch.fingerprint, stamp)
    failure: Any = state.strikes.check(stamp, dispatch.fingerprint)
    if failure is None:
        failure = agent_admission.check_attempt(
            state.snapshot,
            new_backend_state(state, stamp),
            dispatch,
            stamp.now_ms,
        )
    if failure is None and dispatch.billable and state.bill_copies.is_full():
        failure = errors.BillingFull(
            len(state.bill_copies), agent_admission.RETRY_AFTER_MS
        )
    if failure is None and exclusive and state.attempts_by_id:
        failure = errors.Overloaded(agent_admission.RETRY_AFTER_MS)
    if failure is not None:
        return refuse_attempt(state, dispatch, failure)
    state.attempts_by_id[dispatch.attempt_id] = agent_state.Attempt(
        dispatch, event.entry_id, stamp.now_ms
    )
    state.strikes.attempt_started(
        state.backend, dispatch.attempt_id, dispatch.fingerprint
    )
    return [
        effects.RunOnEngine(dispatch),
        effects.Record(
            'attempt-admitted',
            {
                'attempt': dispatch.attempt_id,
                'request': dispatch.request_id,
                'version': dispatch.version,
                'revision': state.revision,
            },
        ),
    ]


def new_backend_state(
    state: agent_state.State, stamp: events.Stamp
) -> agent_admission.BackendState:
    """Builds the backend server's state for the admission check."""
    exclusive = any(
        state.strikes.must_run_alone(attempt.dispatch.fingerprint, stamp)
        for attempt in state.attempts_by_id.values()
    )
    return agent_admission.BackendState(
        state.backend,
        frozenset(state.versions),
        state.slots,
        len(state.attempts_by_id),
        exclusive,
        state.healthy,
        state.leaving,
    )


def record_attempt_id(state: agent_state.State, attempt_id: str) -> None:
    """Records an attempt id, so that a second dispatch of it is refused."""
    state.seen_attempt_ids[attempt_id] = None
    if len(state.seen_attempt_ids) > MAX_SEEN_ATTEMPTS:
        del state.seen_attempt_ids[next(iter(state.seen_attempt_ids))]


def refuse_attempt(
    state: agent_state.State, dispatch: requests.Dispatch, failure: Any
) -> list[Any]:
    """Refuses an attempt.

    Args:
      state: The agent's state.
      dispatch: The attempt.
      failure: The failure, or the type errors.DuplicateAttempt itself.
    Returns: The effects.
    """
    if failure is errors.DuplicateAttempt:
        failure = errors.DuplicateAttempt(dispatch.attempt_id)
    return [
        effects.RefuseAttempt(dispatch.attempt_id, failure, state.revision),
        agent_state.count_attempt(failure.slug),
        effects.Record(
            'attempt-refused',
            {
                'attempt': dispatch.attempt_id,
                'request': dispatch.request_id,
                'version': dispatch.version,
                'failure': failure.slug,
                'revision': state.revision,
            },
        ),
    ]


@agent_state.REDUCER.handles(events.CancelReceived)
def on_cancel(
    state: agent_state.State, stamp: events.Stamp, event: events.CancelReceived
) -> list[Any]:
    attempt = state.attempts_by_id.get(event.attempt_id)
    if attempt is None:
        state.bill_copies.remove_settled(
            (event.attempt_id.rpartition('.')[0],)
        )
        return []
    if not attempt.dispatch.repeatable:
        return []
    return [effects.CancelOnEngine(event.attempt_id)]


@agent_state.REDUCER.handles(events.EngineStarted)
def on_engine_started(
    state: agent_state.State, stamp: events.Stamp, event: events.EngineStarted
) -> list[Any]:
    return [
        effects.Record('engine-started', {'attempt': event.attempt_id}),
    ]


@agent_state.REDUCER.handles(events.EngineFinished)
def on_engine_finished(
    state: agent_state.State, stamp: events.Stamp, event: events.EngineFinished
) -> list[Any]:
    attempt = state.attempts_by_id.pop(event.attempt_id, None)
    if attempt is None:
        return []
    dispatch = attempt.dispatch
    state.strikes.attempt_ended(
        state.backend,
        event.attempt_id,
        stamp,
        cleared=state.strikes.must_run_alone(dispatch.fingerprint, stamp),
    )
    outputs: list[Any] = []
    if dispatch.billable and event.answer.status < SERVER_ERROR:
        outputs += state.bill_copies.add_receipt(
            stamp, attempt.entry_id, dispatch, event.answer
        )
    elapsed_ms = stamp.now_ms - attempt.started_at_ms
    return [
        *outputs,
        effects.FinishAttempt(event.attempt_id, event.answer),
        agent_state.count_attempt('finished'),
        effects.Observe('agent_attempt_ms', (), elapsed_ms),
        effects.Record('engine-finished', {'attempt': event.attempt_id}),
        *agent_state.exit_when_idle(state, stamp),
    ]


@agent_state.REDUCER.handles(events.EngineBroken)
def on_engine_broken(
    state: agent_state.State, stamp: events.Stamp, event: events.EngineBroken
) -> list[Any]:
    attempt = state.attempts_by_id.pop(event.attempt_id, None)
    if attempt is None:
        return []
    outputs: list[Any] = []
    reason = event.reason
    if event.crashed:
        crash = state.strikes.attempt_broke(
            stamp, state.backend, event.attempt_id
        )
        reason = crash.crash_id
        outputs += broadcast_strikes(crash.outputs)
    state.strikes.attempt_ended(state.backend, event.attempt_id)
    if state.healthy and (event.crashed or event.ran == 'no'):
        state.engine_incarnation = ''
        outputs.append(agent_state.new_report(state))
    return [
        *outputs,
        effects.BreakAttempt(
            event.attempt_id, event.ran, event.crashed, reason
        ),
        agent_state.count_attempt('broken'),
        effects.Record(
            'engine-broken',
            {'attempt': event.attempt_id, 'reason': event.reason},
        ),
        *agent_state.exit_when_idle(state, stamp),
    ]


def broadcast_strikes(outputs: list[Any]) -> list[Any]:
    """Replaces each strike notice by the effect that sends it to entries."""
    return [
        effects.SpreadStrike(*output)
        if isinstance(output, notices.StrikeAdded)
        else output
        for output in outputs
    ]


@agent_state.REDUCER.handles(events.StrikeReceived)
def on_strike(
    state: agent_state.State, stamp: events.Stamp, event: events.StrikeReceived
) -> list[Any]:
    notice = notices.StrikeAdded(
        event.fingerprint, event.crash_id, event.members
    )
    return state.strikes.record_report(stamp, notice)
