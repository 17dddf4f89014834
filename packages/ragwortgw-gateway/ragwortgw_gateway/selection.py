"""Chooses the model, the version and the server of an attempt."""

from ragwortgw_core import events
from ragwortgw_gateway import admission
from ragwortgw_gateway import documents
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import placement
from ragwortgw_gateway import requests
from ragwortgw_gateway import rollouts
from ragwortgw_gateway import routes
from ragwortgw_gateway import tiers

#: Repeats kept for failures, which asking a larger model may not take.
RESERVED_RETRIES = 4.0
#: A gateway that has just started does not know which sessions are on
#: which version; it sends those it does not know to the baseline.
LEARNING_MS = 5_000


def find_smaller_model(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    model_choice: tiers.ModelChoice | None,
    servers: list[documents.BackendServer],
    wanted: admission.Requirements,
) -> tuple[tiers.ModelChoice, placement.ServerChoice] | None:
    """Finds a smaller model that is in time where the chosen one is not.

    Its answer is taken whatever it thinks of it: better than none.

    Returns: The model and its server, None if there is none.
    """
    if model_choice is None or model_choice.model not in active.route.tiers:
        return None
    place_of_choice = active.route.tiers.index(model_choice.model)
    for model in reversed(active.route.tiers[:place_of_choice]):
        smaller = tiers.ModelChoice(model, True)
        placed = choose_server(state, stamp, active, smaller, servers)
        if placed is not None and admission.excess_ms(wanted, placed) <= 0:
            return smaller, placed
    return None


def requirements(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> admission.Requirements:
    """Returns what a request asks for."""
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
    """Chooses the model of the next attempt, None for a plain request."""
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
    """Tells whether a weak answer may be dropped for another one."""
    left = state.budget.available(
        active.service, state.gateway_count, stamp.now_ms
    )
    return (
        active.route.repeatable
        and active.executions + 1 < active.route.max_attempts
        and left > RESERVED_RETRIES
    )


def choose_version(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
) -> tuple[bool | None, list[documents.BackendServer]]:
    """Chooses between the versions of a roll-out.

    Returns: Whether the candidate is to serve the request (None if no
      roll-out is known), and the servers that may.
    """
    servers = state.fleet.available_servers(active.service)
    track = state.rollouts.tracks_by_service.get(active.service)
    if track is None:
        return None, servers
    version = track.order.version
    candidates = [each for each in servers if each.version == version]
    others = [each for each in servers if each.version != version]
    wanted = wants_candidate(state, stamp, active, track)
    if track.phase in rollouts.FINAL:
        return wanted, candidates if wanted else others
    if wanted and not candidates:
        return False, others
    if not wanted and not others and track.phase == 'all':
        return True, candidates
    return wanted, candidates if wanted else others


def wants_candidate(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    track: rollouts.RolloutTrack,
) -> bool:
    """Decides whether a request goes to the candidate of a roll-out."""
    request = active.request
    session = request.session or request.id
    known = state.sessions.version(request.session, stamp.now_ms)
    learning = stamp.now_ms - state.started_ms < LEARNING_MS
    if not known and learning and track.phase == 'canary':
        return False
    return state.rollouts.wants_candidate(track, session, known, stamp.now_ms)


def choose_server(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    model_choice: tiers.ModelChoice | None,
    servers: list[documents.BackendServer],
) -> placement.ServerChoice | None:
    """Chooses the server of the next attempt."""
    return state.server_selector.choose(
        active.request,
        '' if model_choice is None else model_choice.model,
        servers,
        active.excluded_servers,
        state.service(active.service),
        stamp.now_ms,
        stamp.seed,
    )
