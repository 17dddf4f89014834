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
from ragwortgw_gateway import crash_containment
from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import effects
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import gauges
from ragwortgw_gateway import gossip
from ragwortgw_gateway import placement
from ragwortgw_gateway import plain_latency
from ragwortgw_gateway import requests
from ragwortgw_gateway import returning_requests
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
#: Longest time for which a new request waits for a turn at a cold server, if
#: no other server is available.
MAX_TURN_WAIT_MS = 2_000
#: Connections of one gateway to a server, however few gateways there are.
MAX_CONNECTIONS = 64
#: Fraction of a server's connection limit that all gateways use together.
CONNECTION_FRACTION = 0.9
#: The prefix blocks of a prompt can be copied from a server after this many
#: times the estimated time to the first byte, or once its answer begins.
READY_FACTOR = 1.5


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
        if _waits_for_proof(state, stamp, active):
            active.retry_ms = stamp.now_ms + RETRY_MS
            return []
        failure = errors.RequestSuspected(
            f'{active.request.fingerprint:016x}', admission.QUARANTINE_RETRY_MS
        )
        return completion.fail_request(state, stamp, active, failure)
    held = crash_containment.hold(state, stamp, active)
    if held is not None:
        return held
    if (
        active.executions + len(active.attempts_by_id)
        >= active.route.max_attempts
    ):
        return completion.fail_request(state, stamp, active, None)
    model_choice = selection.choose_model(state, stamp, active)
    candidate, servers = selection.choose_version(state, stamp, active)
    server_choice = crash_containment.choose_server(
        state, stamp, active, model_choice, servers
    )
    withheld = _count_withheld(state, stamp, active, servers)
    if server_choice is None:
        return [
            *withheld,
            *wait_or_refuse(state, stamp, active, bool(servers)),
        ]
    if not active.attempts_made:
        admitted = _admit_attempt(
            state, stamp, active, model_choice, server_choice, servers
        )
        if isinstance(admitted, admission.Pressure):
            return shed_load(state, stamp, active, server_choice, admitted)
        model_choice, server_choice = admitted
    if active.attempts_made and not state.budget.try_spend(
        active.service, state.gateway_count, stamp.now_ms
    ):
        active.set_failure('retry budget spent')
        return completion.fail_request(state, stamp, active, None)
    return [
        *withheld,
        *send_attempt(
            state, stamp, active, model_choice, candidate, server_choice
        ),
    ]


def _count_withheld(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    servers: list[documents.BackendServer],
) -> list[Any]:
    """Counts a request that no cold server was offered for its limit."""
    cold = [each for each in servers if state.cold_servers.find(each)]
    if not cold:
        return []
    if not state.server_selector.first_open_ms(cold, stamp.now_ms):
        return []
    labels = (('service', active.service),)
    return [core_effects.Count('gateway_cold_withheld', labels)]


def _waits_for_proof(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> bool:
    """Returns whether a request that may crash servers waits to be cleared.

    The servers that reset its attempts may be alive, which shows within a
    second or two. A request that was sent nowhere yet is refused instead: its
    caller may return.
    """
    return bool(
        active.attempts_made
        and state.crashes.is_unconfirmed(
            active.request.fingerprint, stamp.now_ms
        )
        and active.deadline_ms - stamp.now_ms > RETRY_MS
    )


def _admit_attempt(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    model_choice: tiers.ModelChoice | None,
    server_choice: placement.ServerChoice,
    servers: list[documents.BackendServer],
) -> (
    tuple[tiers.ModelChoice | None, placement.ServerChoice]
    | admission.Pressure
):
    """Decides on the first attempt of a request.

    A request that would be late or make others late gets a smaller model
    that is in time. If there is none, it is admitted only if it belongs to
    a class that has had less than its share.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      model_choice: The chosen model, None for a plain request.
      server_choice: The best server for it.
      servers: Servers that may run the request.
    Returns: The model and the server; the pressure if it is refused.
    """
    requirements = selection.requirements(state, stamp, active)
    pressure = admission.pressure(requirements, server_choice)
    admitted = True
    if pressure.value > 1:
        smaller = selection.find_smaller_model(
            state, stamp, active, model_choice, servers, requirements
        )
        if smaller is not None:
            model_choice, server_choice = smaller
        elif _is_probe(state, stamp, active, server_choice, pressure):
            admitted = True
        else:
            admitted = active.keeps_share = _keeps_share(
                state, stamp, active, server_choice, requirements
            )
    _record_admission(state, stamp, active, admitted)
    return (model_choice, server_choice) if admitted else pressure


def _record_admission(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    admitted: bool,
) -> None:
    """Counts a request for the shares of its classes.

    One whose server could not be reached is admitted again; it counts once.
    """
    if active.admitted:
        return
    active.admitted = admitted
    is_retry = state.refusal_history.is_retry(
        active.request.fingerprint, stamp.now_ms
    )
    state.shares.record(
        active.service, active.classes, admitted, stamp.now_ms, is_retry
    )


def _is_probe(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    server_choice: placement.ServerChoice,
    pressure: admission.Pressure,
) -> bool:
    """Returns whether a late plain request is admitted as a probe.

    It is late for its route's estimate alone, at a server with free slots,
    so that nothing but a request can show whether the estimate holds.
    """
    if active.request.prompt is not None or server_choice.queued:
        return False
    if pressure.reason != 'first byte':
        return False
    key = plain_latency.Key(active.service, active.route.id)
    return state.latency.plain.take_probe(key, stamp.now_ms)


def _keeps_share(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    server_choice: placement.ServerChoice,
    requirements: admission.Requirements,
) -> bool:
    """Returns whether a late request is admitted for its class's share."""
    if server_choice.forecast.first_byte_ms >= requirements.remaining_ms:
        return False
    starved = state.shares.starved_class(
        active.service, active.classes, stamp.now_ms
    )
    return starved is not None


def shed_load(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    server_choice: placement.ServerChoice,
    pressure: admission.Pressure,
) -> list[Any]:
    """Refuses a request that even the best server would answer too late.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      server_choice: The best server.
      pressure: Why it is too busy for the request.
    Returns: Effects.
    """
    remaining_ms = active.deadline_ms - stamp.now_ms
    retry_ms = admission.retry_after_ms(
        pressure.wait_ms, remaining_ms, stamp.seed
    )
    returned = returning_requests.may_be_late(state, stamp, active)
    returning_requests.record_refusal(state, stamp, active, retry_ms)
    active.set_failure('too late', pressure.reason)
    forecast = server_choice.forecast
    return [
        core_effects.Record(
            'request-refused',
            {
                'request': active.request.id,
                'rank': active.route.priority,
                'reason': pressure.reason,
                'pressure': round(pressure.value, 2),
                'wait_ms': round(pressure.wait_ms),
                'best_server': server_choice.server.id,
                'first_ms': round(pressure.first_ms),
                'first_limit_ms': round(pressure.limit_ms),
                'begin_ms': round(pressure.begin_ms),
                'end_ms': round(forecast.end_ms),
                'left_ms': remaining_ms,
                'retry_after_ms': retry_ms,
                'returned': returned,
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
    trial = crash_containment.record_sent(state, stamp, active, attempt)
    active.attempts_sent += 1
    state.requests_by_attempt[attempt.id] = active
    server = server_choice.server
    notes: list[Any] = []
    tokens = 0
    limit_per_s = state.rate_limits.limit_per_s(server)
    if request.prompt is not None and attempt.model:
        tokens = request.prompt.tokens + request.prompt.output_tokens
        notes = _record_prefill(state, stamp, active, attempt, tokens)
    elif limit_per_s is not None:
        plain = digests.Prefill(server.id, '', (), 0)
        alone_ms = round(server_choice.forecast.alone_ms)
        one = digests.ServerLoad(1, 0, alone_ms, 0)
        notes = gossip.broadcast_note(state, stamp, plain, one)
    state.rate_limits.take_turn(server, stamp.now_ms)
    state.rate_limits.record_sent(server, stamp.now_ms)
    load = state.loads.remaining(server.id, stamp.now_ms)
    forecast = server_choice.forecast
    state.loads.add_attempt(
        attempt.id,
        server.id,
        forecast.prefill_ms,
        forecast.alone_ms,
        tokens,
        stamp.now_ms,
    )
    if attempt.model:
        state.demand.add(
            active.service,
            active.route.priority,
            forecast.prefill_ms,
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
        *_count_cold(server_choice),
        gauges.count_bytes(state, 'request', server.zone, len(request.body)),
        effects.Send(build_dispatch(state, active, attempt)),
        *notes,
        *trial,
        core_effects.Record(
            'attempt-sent',
            {
                'request': request.id,
                'attempt': attempt.id,
                'server': server.id,
                'version': server.version,
                'model': attempt.model,
                'urgency': active.urgency,
                'keeps_share': active.keeps_share,
                'returned': returning_requests.may_be_late(
                    state, stamp, active
                ),
                'limit_per_s': limit_per_s,
                'cold': server_choice.cold,
                'expected_ms': round(forecast.first_byte_ms),
                'expected_end_ms': round(forecast.end_ms),
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


def _count_cold(server_choice: placement.ServerChoice) -> list[Any]:
    """Counts an attempt if it goes to a cold server."""
    if not server_choice.cold:
        return []
    labels = (('service', server_choice.server.service),)
    return [core_effects.Count('gateway_cold_attempts', labels)]


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
    forecast = attempt.server_choice.forecast
    prefill = digests.Prefill(
        attempt.server.id,
        attempt.model,
        active.request.prompt.blocks,
        round(forecast.first_byte_ms * READY_FACTOR),
    )
    cache_tokens = state.cache_tokens(active.service)
    state.prefixes.record_prefill(prefill, cache_tokens, stamp.now_ms)
    load = digests.ServerLoad(
        1,
        round(forecast.prefill_ms),
        round(forecast.alone_ms),
        tokens,
    )
    return gossip.broadcast_note(state, stamp, prefill, load)


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
    urgency = active.urgency if attempt.model else None
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
        attempt.server.started_ms,
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
    wait, with no server excluded. While all servers pause, or have used up
    their limits, one that no server may have run is refused, with the time
    at which the first server takes requests.

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
    pause_ms = _pause_ms(state, stamp, active)
    if pause_ms and _waits_for_turn(state, stamp, active, pause_ms):
        active.retry_ms = stamp.now_ms + pause_ms
        return []
    tried = active.attempts_made or active.connect_failures
    if pause_ms:
        tried = active.may_have_run
    wait_ms = max(RETRY_MS, pause_ms)
    if has_servers and remaining_ms > RETRY_MS + wait_ms and tried:
        active.excluded_servers.clear()
        active.retry_ms = stamp.now_ms + wait_ms
        return []
    retry_ms = admission.retry_after_ms(
        pause_ms or admission.NO_SERVER_WAIT_MS, remaining_ms, stamp.seed
    )
    if not has_servers and active.home_regions is not None:
        everywhere = selection.available_servers(state, stamp, active.service)
        if everywhere and not selection.servers_at_home(state, stamp, active):
            return _refuse_outside_home(
                state, stamp, active, len(everywhere), retry_ms
            )
    failure = errors.NoBackendServer(active.service, retry_ms)
    return completion.fail_request(state, stamp, active, failure)


def _refuse_outside_home(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    server_count: int,
    retry_ms: int,
) -> list[Any]:
    """Refuses a request whose home regions have no server for it.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      server_count: Servers of its service, all of them elsewhere.
      retry_ms: When the caller may try again.
    Returns: Effects.
    """
    regions = sorted(active.home_regions or ())
    active.set_failure('no home server', f'in {",".join(regions)}')
    fields = {
        'request': active.request.id,
        'route': active.route.id,
        'organisation': active.organisation,
        'service': active.service,
        'regions': regions,
        'servers': server_count,
    }
    failure = errors.NoHomeServer(active.service, retry_ms)
    return [
        core_effects.Record('request-outside-home', fields),
        *completion.fail_request(state, stamp, active, failure),
    ]


def _waits_for_turn(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    pause_ms: int,
) -> bool:
    """Returns whether a request waits for this gateway's turn.

    The servers that may run it are cold, as after the start of a version to
    which its session belongs. The next turns are known, so that a short wait
    is better than a refusal, for as many requests as there are turns.
    """
    longest_ms = min(MAX_TURN_WAIT_MS, active.route.objective_ms // 2)
    until_ms = active.request.received_ms + longest_ms
    if stamp.now_ms + pause_ms > until_ms:
        return False
    _, servers = selection.choose_version(state, stamp, active)
    turns = sum(
        state.server_selector.first_open_ms([server], stamp.now_ms) <= until_ms
        for server in servers
        if state.cold_servers.find(server) is not None
    )
    waiting = sum(
        each.service == active.service
        and each is not active
        and each.retry_ms > stamp.now_ms
        for each in state.requests_by_id.values()
    )
    return waiting < turns


def _pause_ms(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> int:
    """Returns the time until a server wants requests, 0 if one does now."""
    _, servers = selection.choose_version(state, stamp, active)
    until_ms = state.server_selector.first_open_ms(servers, stamp.now_ms)
    return max(0, until_ms - stamp.now_ms)
