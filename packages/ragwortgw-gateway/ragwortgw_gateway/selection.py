"""Selects the model, the version and the server of an attempt."""

from ragwortgw_core import events
from ragwortgw_gateway import admission
from ragwortgw_gateway import batching
from ragwortgw_gateway import documents
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import homes
from ragwortgw_gateway import placement
from ragwortgw_gateway import requests
from ragwortgw_gateway import returning_requests
from ragwortgw_gateway import rollouts
from ragwortgw_gateway import tiers

#: Retries that are reserved for failures; a cascade to a larger model must
#: not take them out of the retry budget.
RESERVED_RETRIES = 4.0
#: Fraction of the time in which requests may reach a server that announced
#: its leaving for which it gets requests if no other server is left.
LEAVING_FRACTION = 0.5
#: A gateway that has just started does not know which version serves which
#: session; during a canary it sends unknown sessions to the baseline for
#: this long.
LEARNING_MS = 5_000


def find_smaller_model(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    model_choice: tiers.ModelChoice | None,
    servers: list[documents.BackendServer],
    required: admission.Requirements,
) -> tuple[tiers.ModelChoice, placement.ServerChoice] | None:
    """Finds a smaller model that is in time where the chosen one is late.

    Its answer is accepted whatever its confidence, since the alternative
    is a refusal.

    Returns: The model and its server, None if no smaller one is in time.
    """
    if model_choice is None or model_choice.model not in active.route.tiers:
        return None
    tier = active.route.tiers.index(model_choice.model)
    for model in reversed(active.route.tiers[:tier]):
        smaller = tiers.ModelChoice(model, True)
        server_choice = choose_server(state, stamp, active, smaller, servers)
        if (
            server_choice is not None
            and admission.pressure(required, server_choice).value <= 1
        ):
            return smaller, server_choice
    return None


def requirements(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> admission.Requirements:
    """Returns the time limits and the priority of a request."""
    route = active.route
    urgent_routes = [route]
    if state.table is not None:
        urgent_routes += state.table.routes_up_to(
            active.service, route.priority
        )
    objective_ms = min(each.objective_ms for each in urgent_routes)
    urgent_share = _urgent_share(state, stamp, active)
    if state.refusal_history.is_retry(
        active.request.fingerprint, stamp.now_ms
    ):
        # It came back when it was told to, and does not give way again.
        urgent_share = 0.0
    waited_ms = stamp.now_ms - active.request.received_ms
    return admission.Requirements(
        max(0, objective_ms - waited_ms),
        active.deadline_ms - stamp.now_ms,
        urgent_share,
        state.waits.factor(active.queue, stamp.now_ms),
        _stream_needs(state, stamp, urgent_routes),
        returning_requests.may_be_late(state, stamp, active),
    )


def _urgent_share(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> float:
    """Returns the fraction of time that more urgent prefill takes."""
    servers = available_servers(state, stamp, active.service)
    rate = state.demand.urgent_rate(
        active.service, active.route.priority, stamp.now_ms
    )
    # Cold servers take only a few of the requests.
    warm = sum(state.cold_servers.find(each) is None for each in servers)
    return rate / max(1, warm or len(servers))


def _stream_needs(
    state: gateway_state.State,
    stamp: events.Stamp,
    urgent_routes: list[documents.Route],
) -> tuple[batching.StreamNeed, ...]:
    """Returns what the streams of some routes need, as far as it is known."""
    needs = []
    for route in urgent_routes:
        streams = state.latency.route_streams(route.id, stamp.now_ms)
        if streams is not None:
            limit_ms = max(1, route.timeout_ms - route.objective_ms)
            needs.append(batching.StreamNeed(*streams, limit_ms))
    return tuple(needs)


def choose_model(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> tiers.ModelChoice | None:
    """Selects the model of the next attempt, None for a plain request."""
    request = active.request
    if request.prompt is None or not request.model:
        return None
    if request.model != requests.ANY_MODEL or not active.route.tiers:
        return tiers.ModelChoice(request.model, True)
    if active.model_choice is None or active.streaming:
        service = state.service(active.service)
        costs = {} if service is None else service.costs_by_model
        active.model_choice = state.tiers.choose_first(
            active.route.tiers,
            costs,
            not active.streaming and may_cascade(state, stamp, active),
        )
    return active.model_choice


def may_cascade(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> bool:
    """Returns whether a weak answer may be dropped for a larger model's."""
    retries = state.budget.available(
        active.service, state.gateway_count, stamp.now_ms
    )
    return (
        active.route.repeatable
        and active.executions + 1 < active.route.max_attempts
        and retries > RESERVED_RETRIES
    )


def available_servers(
    state: gateway_state.State, stamp: events.Stamp, service: str
) -> list[documents.BackendServer]:
    """Returns the servers of a service that may get a request now."""
    leaving_ms = round(LEAVING_FRACTION * state.options.drain_ms)
    return state.evacuations.servers_outside(
        state.fleet.available_servers(service, stamp.now_ms, leaving_ms)
    )


def servers_at_home(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[documents.BackendServer]:
    """Returns the available servers in a request's home regions."""
    return homes.servers_at_home(
        available_servers(state, stamp, active.service),
        active.home_regions,
        state.options.regions_by_zone,
    )


def choose_version(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> tuple[bool | None, list[documents.BackendServer]]:
    """Selects between the versions of a roll-out.

    Returns: Whether the candidate is to serve the request (None if no
      roll-out is known), and the servers of the selected version.
    """
    servers = servers_at_home(state, stamp, active)
    track = state.rollouts.tracks_by_service.get(active.service)
    if track is None:
        return None, servers
    version = track.order.version
    candidates = [server for server in servers if server.version == version]
    baseline = [server for server in servers if server.version != version]
    use_candidate = wants_candidate(state, stamp, active, track)
    if track.phase in rollouts.FINAL:
        return use_candidate, candidates if use_candidate else baseline
    if use_candidate and not candidates:
        return False, baseline
    if use_candidate and not active.request.session and baseline:
        # No session is bound to the candidate, whose servers may be cold.
        first_ms = state.server_selector.first_open_ms(
            candidates, stamp.now_ms
        )
        if first_ms and track.phase != 'all':
            return False, baseline
    if not use_candidate and not baseline and track.phase == 'all':
        return True, candidates
    return use_candidate, candidates if use_candidate else baseline


def wants_candidate(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    track: rollouts.RolloutTrack,
) -> bool:
    """Returns whether a request goes to the candidate of a roll-out."""
    request = active.request
    session = request.session or request.id
    known_version = state.sessions.version(request.session, stamp.now_ms)
    learning = stamp.now_ms - state.started_ms < LEARNING_MS
    if not known_version and learning and track.phase == 'canary':
        return False
    return state.rollouts.wants_candidate(
        track, session, known_version, stamp.now_ms
    )


def choose_server(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    model_choice: tiers.ModelChoice | None,
    servers: list[documents.BackendServer],
) -> placement.ServerChoice | None:
    """Selects the server of the next attempt, None if none is available."""
    return state.server_selector.choose(
        active.request,
        active.route,
        '' if model_choice is None else model_choice.model,
        servers,
        active.excluded_servers,
        state.service(active.service),
        stamp.now_ms,
        stamp.seed,
        state.fleet.leaving_ids,
    )
