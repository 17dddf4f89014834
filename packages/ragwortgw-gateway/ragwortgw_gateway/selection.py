"""Selects the model, the version and the server of an attempt."""

from ragwortgw_core import events
from ragwortgw_gateway import admission
from ragwortgw_gateway import documents
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import placement
from ragwortgw_gateway import requests
from ragwortgw_gateway import rollouts
from ragwortgw_gateway import routes
from ragwortgw_gateway import tiers

#: Retries that are reserved for failures; a cascade to a larger model must
#: not take them out of the retry budget.
RESERVED_RETRIES = 4.0
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
            and admission.excess_ms(required, server_choice) <= 0
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
    bounds = None
    if state.table is not None:
        bounds = state.table.strictest_bounds(active.service, route.priority)
    if bounds is None:
        bounds = routes.TimeBounds(route.objective_ms, route.timeout_ms)
    waited_ms = stamp.now_ms - active.request.received_ms
    return admission.Requirements(
        route.priority,
        max(0, bounds.objective_ms - waited_ms),
        bounds.timeout_ms,
        active.deadline_ms - stamp.now_ms,
        state.refusal_history.is_retry(
            active.request.fingerprint, stamp.now_ms
        ),
    )


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


def choose_version(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> tuple[bool | None, list[documents.BackendServer]]:
    """Selects between the versions of a roll-out.

    Returns: Whether the candidate is to serve the request (None if no
      roll-out is known), and the servers of the selected version.
    """
    servers = state.fleet.available_servers(active.service)
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
        '' if model_choice is None else model_choice.model,
        servers,
        active.excluded_servers,
        state.service(active.service),
        stamp.now_ms,
        stamp.seed,
    )
