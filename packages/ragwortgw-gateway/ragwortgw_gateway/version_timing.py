"""Times the answers of the versions of a roll-out.

An attempt is timed once: when its answer begins, or before that when it has
waited for longer than a sound version would take. Those that are given up,
or lose their answer, count in this way too: the slowest answers of a version
are the ones that nobody waits for.
"""

from ragwortgw_core import events
from ragwortgw_gateway import completion
from ragwortgw_gateway import gateway_state

#: An answer is slow if it begins after this many times the time that a
#: server at the usual pace would need, and a delay by another prompt.
SLOW_FACTOR = 3.0


def record_begin(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> None:
    """Counts an attempt whose answer has begun.

    One at a cold server says nothing: each version is slow at first.
    """
    if attempt.candidate is None or attempt.timed:
        return
    if attempt.server_choice.cold:
        return
    _record(state, active, attempt, _is_slow(state, stamp, active, attempt))


def on_tick(state: gateway_state.State, stamp: events.Stamp) -> None:
    """Counts the attempts that have waited for too long."""
    if not any(
        not track.final for track in state.rollouts.tracks_by_service.values()
    ):
        return
    for active in state.requests_by_id.values():
        for attempt in active.attempts_by_id.values():
            if (
                attempt.candidate is not None
                and not attempt.timed
                and not attempt.server_choice.cold
                and _is_slow(state, stamp, active, attempt)
            ):
                _record(state, active, attempt, True)


def _is_slow(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> bool:
    jitter_ms = 0.0
    if attempt.model:
        models = active.route.tiers or (attempt.model,)
        jitter_ms = state.latency.jitter_ms(models)
    limit_ms = SLOW_FACTOR * attempt.server_choice.usual_first_byte_ms
    return stamp.now_ms - attempt.sent_ms > limit_ms + jitter_ms


def _record(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    slow: bool,
) -> None:
    attempt.timed = True
    if attempt.candidate:
        completion.record_rollout_evidence(
            state, active, candidate_timed=1, candidate_slow=int(slow)
        )
    else:
        completion.record_rollout_evidence(
            state, active, baseline_timed=1, baseline_slow=int(slow)
        )
