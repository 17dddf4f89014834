"""Dispatches requests: sends an attempt, schedules a retry, or refuses.

Each call decides for one request whether another attempt is allowed, which
model, version and server it goes to, and whether it would be in time.
"""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_gateway import admission
from ragwortgw_gateway import completion
from ragwortgw_gateway import digests
from ragwortgw_gateway import effects
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import gossip
from ragwortgw_gateway import placement
from ragwortgw_gateway import requests
from ragwortgw_gateway import selection
from ragwortgw_gateway import tiers

#: A request fails after this many refusals by servers that did not run it.
MAX_REFUSALS = 4
#: A request fails after this many refused connections. When many processes
#: die at once, dead servers look idle and are chosen first; a refused
#: connection costs only a millisecond.
MAX_CONNECT_FAILURES = 8
#: Time until the next dispatch of a request that has no server to go to.
RETRY_MS = 150
#: Connections of one gateway to a server, however few gateways there are.
MAX_CONNECTIONS = 64
#: Fraction of a server's connection limit that all gateways use together.
CONNECTION_FRACTION = 0.9
#: The prefix blocks of a prompt can be copied from a server after this many
#: times the estimated time to the first byte, or once its answer begins.
READY_FACTOR = 1.5
#: Range of the priorities that backend servers accept, most urgent first.
FIRST_URGENCY = 0
LAST_URGENCY = 9
#: Urgencies for each priority of an organisation; requests of the same
#: priority are ranked by their route.
URGENCIES_PER_PRIORITY = 3


def dispatch(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[Any]:
    """Sends the next attempt of a request, schedules a retry, or fails it.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request; another attempt may still be in progress.
    Returns: Effects.
    """
    active.retry_ms = 0
    if state.crashes.is_quarantined(active.request.fingerprint):
        failure = errors.RequestSuspected(
            f'{active.request.fingerprint:016x}', admission.QUARANTINE_RETRY_MS
        )
        return completion.fail_request(state, stamp, active, failure)
    if (
        active.executions + len(active.attempts_by_id)
        >= active.route.max_attempts
    ):
        return completion.fail_request(state, stamp, active, None)
    model_choice = selection.choose_model(state, stamp, active)
    candidate, servers = selection.choose_version(state, stamp, active)
    server_choice = selection.choose_server(
        state, stamp, active, model_choice, servers
    )
    if server_choice is None:
        return wait_or_refuse(state, stamp, active, bool(servers))
    if not active.attempts_made:
        requirements = selection.requirements(state, stamp, active)
        excess_ms = admission.excess_ms(requirements, server_choice)
        if excess_ms > 0:
            smaller = selection.find_smaller_model(
                state, stamp, active, model_choice, servers, requirements
            )
            if smaller is None:
                return shed_load(
                    state, stamp, active, server_choice, excess_ms
                )
            model_choice, server_choice = smaller
    if active.attempts_made and not state.budget.try_spend(
        active.service, state.gateway_count, stamp.now_ms
    ):
        active.set_failure('retry budget spent')
        return completion.fail_request(state, stamp, active, None)
    return send_attempt(
        state, stamp, active, model_choice, candidate, server_choice
    )


def shed_load(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    server_choice: placement.ServerChoice,
    excess_ms: float,
) -> list[Any]:
    """Refuses a request that even the best server would answer too late.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      server_choice: The best server.
      excess_ms: How far its estimates are beyond the request's limits.
    Returns: Effects.
    """
    remaining_ms = active.deadline_ms - stamp.now_ms
    retry_ms = admission.retry_after_ms(excess_ms, remaining_ms, stamp.seed)
    state.refusal_history.record_refusal(
        active.request.fingerprint, stamp.now_ms, active.deadline_ms
    )
    active.set_failure('too late', f'by {round(excess_ms)} ms')
    return [
        core_effects.Record(
            'request-refused',
            {
                'request': active.request.id,
                'rank': active.route.priority,
                'best_server': server_choice.server.id,
                'excess_ms': round(excess_ms),
                'first_ms': round(server_choice.first_byte_ms),
                'backlog_ms': round(server_choice.backlog_ms),
                'work_ms': round(server_choice.work_ms),
                'left_ms': remaining_ms,
                'retry_after_ms': retry_ms,
                'registry_age_ms': stamp.now_ms - state.values.confirmed_ms,
            },
        ),
        *completion.fail_request(
            state, stamp, active, errors.Overloaded(retry_ms)
        ),
    ]


def send_attempt(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    model_choice: tiers.ModelChoice | None,
    candidate: bool | None,
    server_choice: placement.ServerChoice,
) -> list[Any]:
    """Sends an attempt, and adds it to the loads and the roll-out evidence.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      model_choice: The model to run, None for a plain request.
      candidate: Whether the attempt goes to the candidate version of a
        roll-out, None if no roll-out of the service is known.
      server_choice: The server.
    Returns: Effects.
    """
    request = active.request
    state.attempt_count += 1
    attempt = gateway_state.Attempt(
        f'{request.id}.{state.attempt_count}',
        server_choice,
        model_choice,
        candidate,
        stamp.now_ms,
    )
    active.attempts_by_id[attempt.id] = attempt
    state.requests_by_attempt[attempt.id] = active
    server = server_choice.server
    notes: list[Any] = []
    tokens = 0
    if request.prompt is not None and attempt.model:
        tokens = request.prompt.tokens + request.prompt.output_tokens
        notes = _record_prefill(state, stamp, active, attempt, tokens)
    load = state.loads.remaining(server.id, stamp.now_ms)
    state.loads.add_attempt(
        attempt.id,
        server.id,
        server_choice.prefill_ms,
        server_choice.work_ms,
        tokens,
        stamp.now_ms,
    )
    state.last_seen_ms_by_server.setdefault(server.id, stamp.now_ms)
    state.sessions.record_version(
        request.session, server.version, stamp.now_ms
    )
    completion.record_rollout_evidence(
        state, active, requests=int(active.attempts_made == 1)
    )
    is_retry = 'yes' if active.attempts_made > 1 else 'no'
    return [
        core_effects.Count(
            'gateway_attempts',
            (('service', server.service), ('again', is_retry)),
        ),
        effects.Send(build_dispatch(state, active, attempt)),
        *notes,
        core_effects.Record(
            'attempt-sent',
            {
                'request': request.id,
                'attempt': attempt.id,
                'server': server.id,
                'version': server.version,
                'model': attempt.model,
                'expected_ms': round(server_choice.first_byte_ms),
                'unread_tokens': server_choice.uncached_tokens,
                'copied_tokens': server_choice.copied_tokens,
                'running_there': load.running,
                'pending_there_ms': round(load.pending_ms),
                'work_there_ms': round(load.work_ms),
                'configuration': state.version,
                'registry_age_ms': stamp.now_ms - state.values.confirmed_ms,
                'left_ms': active.deadline_ms - stamp.now_ms,
            },
        ),
    ]


def _record_prefill(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    tokens: int,
) -> list[Any]:
    """Records a prompt that a server is sent, and notifies the peers.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      attempt: The attempt.
      tokens: KV cache that it takes at the server, in tokens.
    Returns: Effects that send a note to the peers.
    """
    assert active.request.prompt is not None
    server_choice = attempt.server_choice
    prefill = digests.Prefill(
        attempt.server.id,
        attempt.model,
        active.request.prompt.blocks,
        round(server_choice.first_byte_ms * READY_FACTOR),
    )
    cache_tokens = state.cache_tokens(active.service)
    state.prefixes.record_prefill(prefill, cache_tokens, stamp.now_ms)
    load = digests.ServerLoad(
        1,
        round(server_choice.prefill_ms),
        round(server_choice.work_ms),
        tokens,
    )
    return gossip.broadcast_note(state, prefill, load)


def build_dispatch(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> requests.Dispatch:
    """Builds the description of an attempt for the process that sends it.

    The connection limit of the server is divided equally among all
    gateways, with a minimum of two connections each.
    """
    service = state.service(active.service)
    connection_limit = MAX_CONNECTIONS
    if service is not None and service.connection_limit:
        fair_share = (
            service.connection_limit
            * CONNECTION_FRACTION
            / state.gateway_count
        )
        connection_limit = max(2, min(MAX_CONNECTIONS, int(fair_share)))
    urgency = None
    if attempt.model:
        urgency = min(
            LAST_URGENCY,
            FIRST_URGENCY
            + URGENCIES_PER_PRIORITY * active.priority
            + min(active.route.priority, URGENCIES_PER_PRIORITY - 1),
        )
    resume_after = 0
    if active.last_event_id > active.request.resumed_after:
        resume_after = active.last_event_id
    return requests.Dispatch(
        attempt.id,
        active.request.id,
        attempt.server.id,
        attempt.server.address,
        connection_limit,
        active.organisation,
        attempt.model,
        urgency,
        attempt.server_choice.copy_from,
        resume_after,
        active.route.kind == 'streaming',
        active.route.repeatable,
        active.deadline_ms,
    )


def wait_or_refuse(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    has_servers: bool,
) -> list[Any]:
    """Handles a request for which no server is available.

    A request without any attempt is refused at once. One that is already
    streaming, or whose attempts failed, is dispatched again after a short
    wait, with no server excluded.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      has_servers: Whether the service has servers that accept work.
    Returns: Effects.
    """
    if active.attempts_by_id:
        return []
    remaining_ms = active.deadline_ms - stamp.now_ms
    tried = active.attempts_made or active.connect_failures
    if has_servers and remaining_ms > 2 * RETRY_MS and tried:
        active.excluded_servers.clear()
        active.retry_ms = stamp.now_ms + RETRY_MS
        return []
    retry_ms = admission.retry_after_ms(
        admission.NO_SERVER_WAIT_MS, remaining_ms, stamp.seed
    )
    failure = errors.NoBackendServer(active.service, retry_ms)
    return completion.fail_request(state, stamp, active, failure)
