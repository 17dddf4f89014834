"""Previews where a request would go now, without sending it.

The decisions are those of dispatching, called without effects: nothing is
recorded, so that a preview changes no later decision.
"""

from typing import NamedTuple

from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_gateway import admission
from ragwortgw_gateway import crash_containment
from ragwortgw_gateway import documents
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import requests
from ragwortgw_gateway import routes
from ragwortgw_gateway import selection
from ragwortgw_gateway import tiers

#: Servers in one preview; the best ones come first.
MAX_SERVERS = 512


class Query(NamedTuple):
    """A request whose way is asked for.

    Args:
      host: Host header.
      path: Path.
      organisation: Id of its organisation, '' for none.
      model: Model that the caller names, '*' for any, '' for a plain
        request.
      tokens: Tokens of the prompt.
      output_tokens: Most tokens to generate.
      blocks: Ids and tokens of the prefix blocks in order, the request's own
        last.
      session: Its session, '' for none.
      time_ms: Time until its deadline.
    """

    host: str
    path: str
    organisation: str = ''
    model: str = ''
    tokens: int = 0
    output_tokens: int = 0
    blocks: tuple[requests.PrefixBlock, ...] = ()
    session: str = ''
    time_ms: int = 60_000


class ModelView(NamedTuple):
    """A model of the route.

    Args:
      model: The model.
      choice: 'first', 'if too weak' for the one that is asked after it, or
        'not asked'.
      cost: Cost of 1,000 generated tokens.
      accepted_share: Fraction of its answers that was accepted lately.
    """

    model: str
    choice: str
    cost: float
    accepted_share: float


class ServerView(NamedTuple):
    """A server of the service; times in ms.

    Args:
      id: The server.
      zone: Its availability zone.
      version: Version of its software.
      condition: 'chosen', 'runner-up', 'eligible', or why it gets nothing.
      first_byte_ms: Expected time to the first byte.
      end_ms: Expected time to the end.
      running: Requests in progress there, as far as is known.
      pending_ms: Prefill that is queued there.
      uncached_tokens: Prompt tokens that it would have to read.
      slowdown: Factor by which it was slower than usual lately.
      data_age_ms: Time since any gateway received data from it, -1 for
        never.
      opens_in_ms: Time until it takes requests, by its pause or limit.
      limit_per_s: Requests a second that it takes, None for no limit.
    """

    id: str
    zone: str
    version: str
    condition: str
    first_byte_ms: int | None
    end_ms: int | None
    running: int
    pending_ms: int
    uncached_tokens: int | None
    slowdown: float | None
    data_age_ms: int
    opens_in_ms: int
    limit_per_s: float | None


class Preview(NamedTuple):
    """Where a request would go now.

    Args:
      gateway: Host id of the gateway that was asked.
      configuration: Version of its configuration.
      registry_age_ms: Age of its list of servers.
      route: The route.
      service: The service.
      decision: 'sent', 'refused' or 'waits' for a server.
      reason: What decides: the tightest limit, or why there is no server.
      pressure: By how much that limit is used up, 1 where it is reached.
      retry_after_ms: When a refused caller may return, 0 if it is sent.
      models: Models of the route, in order.
      servers: Servers of the service, the best first.
    """

    gateway: str
    configuration: int
    registry_age_ms: int
    route: str
    service: str
    decision: str
    reason: str
    pressure: float
    retry_after_ms: int
    models: tuple[ModelView, ...]
    servers: tuple[ServerView, ...]


def preview(
    state: gateway_state.State, stamp: events.Stamp, query: Query
) -> Preview | errors.MalformedRequest:
    """Returns where a request would go now.

    Args:
      state: The gateway; it is not changed.
      stamp: Time and random seed.
      query: The request.
    Returns: The preview; what is wrong with the query if there is none.
    """
    active = _activate(state, stamp, query)
    if isinstance(active, errors.MalformedRequest):
        return active
    model_choice = selection.choose_model(state, stamp, active)
    _, servers = selection.choose_version(state, stamp, active)
    chosen = selection.choose_server(
        state, stamp, active, model_choice, servers
    )
    decision, reason, pressure, retry_ms = 'sent', '', 0.0, 0
    suspected = crash_containment.refusal(state, active)
    if suspected is not None:
        decision, reason = 'refused', active.reason
        retry_ms = suspected.retry_after_ms
    elif chosen is None:
        open_ms = state.server_selector.first_open_ms(servers, stamp.now_ms)
        decision = 'refused'
        reason = 'all servers pause' if open_ms else 'no server'
        retry_ms = max(0, open_ms - stamp.now_ms) or round(
            admission.NO_SERVER_WAIT_MS
        )
    else:
        requirements = selection.requirements(state, stamp, active)
        used = admission.pressure(requirements, chosen)
        reason, pressure = used.reason, round(used.value, 3)
        if used.value > 1:
            decision = 'refused'
            retry_ms = admission.retry_after_ms(
                used.wait_ms, requirements.remaining_ms, stamp.seed
            )
    return Preview(
        state.host_id,
        state.version,
        stamp.now_ms - state.values.confirmed_ms,
        active.route.id,
        active.service,
        decision,
        reason,
        pressure,
        retry_ms,
        _models(state, active, model_choice),
        _servers(state, stamp, active, model_choice, servers),
    )


def _activate(
    state: gateway_state.State, stamp: events.Stamp, query: Query
) -> gateway_state.ActiveRequest | errors.MalformedRequest:
    """Returns the request as it would be dispatched."""
    configuration = state.configuration
    if state.table is None or configuration is None:
        return errors.MalformedRequest('the gateway has no configuration yet')
    route = state.table.match(query.host, query.path)
    if route is None:
        return errors.MalformedRequest('no route matches host and path')
    organisation: documents.Organisation | None = None
    if query.organisation:
        organisation = next(
            (
                each
                for each in configuration.organisations
                if each.id == query.organisation
            ),
            None,
        )
        if organisation is None:
            return errors.MalformedRequest('no such organisation')
    prompt = None
    if query.model:
        prompt = requests.Prompt(
            query.tokens, query.output_tokens, query.blocks
        )
    request = requests.Request(
        id='preview',
        method='POST',
        target=query.path,
        host=query.host,
        path=query.path,
        key='',
        headers=(),
        body=b'',
        model=query.model,
        prompt=prompt,
        session=query.session,
        resumed_after=0,
        received_ms=stamp.now_ms,
        deadline_ms=stamp.now_ms + max(1, query.time_ms),
        fingerprint=0,
    )
    service = routes.choose_target(route, query.session or request.id)
    return gateway_state.ActiveRequest(request, route, service, organisation)


def _models(
    state: gateway_state.State,
    active: gateway_state.ActiveRequest,
    model_choice: tiers.ModelChoice | None,
) -> tuple[ModelView, ...]:
    if model_choice is None:
        return ()
    service = state.service(active.service)
    costs = {} if service is None else service.costs_by_model
    models = active.route.tiers or (model_choice.model,)
    views = []
    for model in models:
        choice = 'not asked'
        if model == model_choice.model:
            choice = 'first'
        elif model == models[-1] and not model_choice.final:
            choice = 'if too weak'
        views.append(
            ModelView(
                model,
                choice,
                costs.get(model, 0.0),
                round(state.tiers.accepted_share(model), 3),
            )
        )
    return tuple(views)


def _servers(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    model_choice: tiers.ModelChoice | None,
    servers: list[documents.BackendServer],
) -> tuple[ServerView, ...]:
    """Returns all servers of the service, in the order of the choice."""
    views: list[ServerView] = []
    remaining = list(servers)
    conditions = ['chosen', 'runner-up']
    while len(views) < len(conditions):
        choice = selection.choose_server(
            state, stamp, active, model_choice, remaining
        )
        if choice is None:
            break
        views.append(
            _view(
                state,
                stamp,
                active,
                model_choice,
                choice.server,
                conditions[len(views)],
            )
        )
        remaining.remove(choice.server)
    eligible_ids = {server.id for server in remaining}
    others = [
        _view(state, stamp, active, model_choice, server, 'eligible')
        if server.id in eligible_ids
        else _view(state, stamp, active, None, server, '')
        for server in state.fleet.servers_by_id.values()
        if server.service == active.service
        and server.id not in {view.id for view in views}
    ]
    others.sort(
        key=lambda view: (
            view.first_byte_ms is None,
            view.first_byte_ms,
            view.id,
        )
    )
    return tuple([*views, *others][:MAX_SERVERS])


def _view(
    state: gateway_state.State,
    stamp: events.Stamp,
    active: gateway_state.ActiveRequest,
    model_choice: tiers.ModelChoice | None,
    server: documents.BackendServer,
    condition: str,
) -> ServerView:
    """Returns what decides about one server.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      model_choice: The model.
      server: The server.
      condition: Its condition if it may get the request, '' if its version
        or zone rules it out.
    """
    now_ms = stamp.now_ms
    choice = None
    if condition:
        choice = selection.choose_server(
            state, stamp, active, model_choice, [server]
        )
    open_ms = state.server_selector.first_open_ms([server], now_ms)
    if choice is None:
        condition = _exclusion(state, server, now_ms, open_ms)
    load = state.loads.remaining(server.id, now_ms)
    seen_ms = max(
        state.last_seen_ms_by_server.get(server.id, 0),
        state.peers_seen_ms_by_server.get(server.id, 0),
    )
    forecast = None if choice is None else choice.forecast
    return ServerView(
        server.id,
        server.zone,
        server.version,
        condition,
        None if forecast is None else round(forecast.first_byte_ms),
        None if forecast is None else round(forecast.end_ms),
        load.running,
        round(load.pending_ms),
        None if choice is None else choice.uncached_tokens,
        None if choice is None else round(choice.slowdown, 2),
        now_ms - seen_ms if seen_ms else -1,
        max(0, open_ms - now_ms) if open_ms else 0,
        state.rate_limits.limit_per_s(server),
    )


def _exclusion(
    state: gateway_state.State,
    server: documents.BackendServer,
    now_ms: int,
    open_ms: int,
) -> str:
    """Returns why a server gets nothing."""
    if server.draining:
        return 'draining'
    if server.id in state.fleet.leaving_ids:
        return 'leaving'
    if server.zone in state.evacuations.by_zone:
        return 'evacuated'
    if state.outliers.suspended(server.id, now_ms):
        return 'suspended'
    if state.backoff.paused(server, now_ms):
        return 'paused'
    if open_ms:
        return 'at its limit'
    return 'other version or region'
