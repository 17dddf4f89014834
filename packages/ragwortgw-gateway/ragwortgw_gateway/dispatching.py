"""Sends requests to backend servers, or decides what else becomes of them."""

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

#: Times that one request may be turned away without having run.
MAX_REFUSALS = 4
#: Servers that one request may find gone. When many processes die at once,
#: those that are gone look idle; a refused connection costs a millisecond.
MAX_CONNECT_FAILURES = 8
#: Wait before a request is tried again where no server is left to try.
RETRY_MS = 150
#: Connections of one gateway to a server, however few gateways there are.
MAX_CONNECTIONS = 64
#: Part of a server's connections that the gateways together use.
CONNECTION_SHARE = 0.9
#: The parts of a prompt can be copied from a server after this many times
#: the expected time until its answer begins, unless it is known earlier.
READY_FACTOR = 1.5
#: Ranks that backend servers know, first and last.
FIRST_URGENCY = 0
LAST_URGENCY = 9
#: Ranks within one priority of an organisation, for its routes' own.
URGENCIES_PER_PRIORITY = 3


def dispatch(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[Any]:
    """Sends the next attempt of a request, or decides what becomes of it.

    Args:
      state: The gateway.
      stamp: Time and randomness.
      active: The request; an attempt of it may still be under way.
    Returns: Effects.
    """
    active.retry_ms = 0
    if state.crashes.is_quarantined(active.request.fingerprint):
        failure = errors.RequestSuspected(
            f'{active.request.fingerprint:016x}', admission.SUSPECTED_RETRY_MS
        )
        return completion.fail_request(state, stamp, active, failure)
    if (
        active.executions + len(active.attempts_by_id)
        >= active.route.max_attempts
    ):
        return completion.fail_request(state, stamp, active, None)
    choice = selection.choose_model(state, stamp, active)
    candidate, servers = selection.choose_version(state, stamp, active)
    placed = selection.choose_server(state, stamp, active, choice, servers)
    if placed is None:
        return wait_or_refuse(state, stamp, active, bool(servers))
    if not active.attempts_made:
        asked = selection.requirements(state, stamp, active)
        excess_ms = admission.excess_ms(asked, placed)
        if excess_ms > 0:
            smaller = selection.find_smaller_model(
                state, stamp, active, choice, servers, asked
            )
            if smaller is None:
                return shed_load(state, stamp, active, placed, excess_ms)
            choice, placed = smaller
    if active.attempts_made and not state.budget.try_spend(
        active.service, state.gateway_count, stamp.now_ms
    ):
        active.failed('retry budget spent')
        return completion.fail_request(state, stamp, active, None)
    return send_attempt(state, stamp, active, choice, candidate, placed)


def shed_load(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    server_choice: placement.ServerChoice,
    excess_ms: float,
) -> list[Any]:
    """Refuses a request for which even the best server is too busy."""
    left_ms = active.deadline_ms - stamp.now_ms
    retry_ms = admission.retry_after_ms(excess_ms, left_ms, stamp.seed)
    state.refusal_history.record_refusal(
        active.request.fingerprint, stamp.now_ms, active.deadline_ms
    )
    active.failed('too late', f'by {round(excess_ms)} ms')
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
                'left_ms': left_ms,
                'retry_after_ms': retry_ms,
                'registry_age_ms': stamp.now_ms - state.values.last_seen_ms,
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
    """Sends an attempt."""
    request = active.request
    state.next_attempt += 1
    attempt = gateway_state.Attempt(
        f'{request.id}.{state.next_attempt}',
        server_choice,
        model_choice,
        candidate,
        stamp.now_ms,
    )
    active.attempts_by_id[attempt.id] = attempt
    state.requests_by_attempt[attempt.id] = active
    server = server_choice.server
    told: list[Any] = []
    tokens = 0
    if request.prompt is not None and attempt.model:
        tokens = request.prompt.tokens + request.prompt.output_tokens
        told = _tell_read(state, stamp, active, attempt, tokens)
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
    again = 'yes' if active.attempts_made > 1 else 'no'
    return [
        core_effects.Count(
            'gateway_attempts', (('service', server.service), ('again', again))
        ),
        effects.Send(build_dispatch(state, active, attempt)),
        *told,
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
                'registry_age_ms': stamp.now_ms - state.values.last_seen_ms,
                'left_ms': active.deadline_ms - stamp.now_ms,
            },
        ),
    ]


def _tell_read(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    tokens: int,
) -> list[Any]:
    """Takes note of a prompt that is sent, and tells other gateways."""
    assert active.request.prompt is not None
    placed = attempt.server_choice
    read = digests.Prefill(
        attempt.server.id,
        attempt.model,
        active.request.prompt.blocks,
        round(placed.first_byte_ms * READY_FACTOR),
    )
    cache_tokens = state.cache_tokens(active.service)
    state.prefixes.record_prefill(read, cache_tokens, stamp.now_ms)
    load = digests.ServerLoad(
        1, round(placed.prefill_ms), round(placed.work_ms), tokens
    )
    return gossip.broadcast_note(state, read, load)


def build_dispatch(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> requests.Dispatch:
    """Builds what the process needs to send an attempt."""
    service = state.service(active.service)
    limit = MAX_CONNECTIONS
    if service is not None and service.connection_limit:
        share = (
            service.connection_limit * CONNECTION_SHARE / state.gateway_count
        )
        limit = max(2, min(MAX_CONNECTIONS, int(share)))
    urgency = None
    if attempt.model:
        urgency = min(
            LAST_URGENCY,
            FIRST_URGENCY
            + URGENCIES_PER_PRIORITY * active.priority
            + min(active.route.priority, URGENCIES_PER_PRIORITY - 1),
        )
    after = 0
    if active.last_event > active.request.resumed_after:
        after = active.last_event
    return requests.Dispatch(
        attempt.id,
        active.request.id,
        attempt.server.id,
        attempt.server.address,
        limit,
        active.organisation,
        attempt.model,
        urgency,
        attempt.server_choice.copy_from,
        after,
        active.route.kind == 'streaming',
        active.route.repeatable,
        active.deadline_ms,
    )


def wait_or_refuse(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    known: bool,
) -> list[Any]:
    """Handles a request for which no server is left to try.

    A request that nobody has run yet is refused at once. One that is
    already streaming, or that has failed elsewhere, is worth a short wait.
    """
    if active.attempts_by_id:
        return []
    left_ms = active.deadline_ms - stamp.now_ms
    tried = active.attempts_made or active.connect_failures
    if known and left_ms > 2 * RETRY_MS and tried:
        active.excluded_servers.clear()
        active.retry_ms = stamp.now_ms + RETRY_MS
        return []
    retry_ms = admission.retry_after_ms(
        admission.NO_SERVER_WAIT_MS, left_ms, stamp.seed
    )
    failure = errors.NoBackendServer(active.service, retry_ms)
    return completion.fail_request(state, stamp, active, failure)
