"""The reducer of a gateway: requests, deadlines, beliefs, other gateways."""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import errors
from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_gateway import admission
from ragwortgw_gateway import attempts
from ragwortgw_gateway import completion
from ragwortgw_gateway import digests
from ragwortgw_gateway import dispatching
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import fleet_changes
from ragwortgw_gateway import formats as store_formats
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import gossip
from ragwortgw_gateway import options as limits
from ragwortgw_gateway import requests
from ragwortgw_gateway import rollouts
from ragwortgw_gateway import routes
from ragwortgw_gateway import store_changes
from ragwortgw_gateway import timeouts

State = gateway_state.State
Options = limits.Options
REDUCER = gateway_state.REDUCER
#: Modules that register handlers.
HANDLERS = (attempts, store_changes, gossip)

#: Retry-After of a gateway that has no configuration yet.
NO_CONFIGURATION_RETRY_MS = 500
STOPPING_RETRY_MS = 200
#: Time from the end of a process until the next one serves.
RESTART_MS = 1_500
#: A gateway that has just started lets requests wait this long for its
#: configuration; the store commonly answers within a tenth of it.
START_HOLD_MS = 1_000
#: Requests are taken for this long after a planned stop begins, since
#: callers are still sent here; after it, only those that will be over.
STOP_ACCEPT_MS = 3_000
#: Idle connections of callers are closed this long after the stop begins;
#: new ones are taken until the end, in case no other gateway is there.
CLOSE_IDLE_MS = 2_500
#: Part of the time of a stop that is left for callers to read the end.
STOP_RESERVE_MS = 600


def new_gateway(
    host_id: str,
    incarnation: str,
    zone: str,
    digest_address: str,
    formats: store_formats.Formats,
    options: Options,
    seeds: tuple[str, ...] = (),
) -> State:
    """Makes the state of a gateway that has just started.

    Args: As for gateway_state.State.
    Returns: The state.
    """
    return State(
        host_id, incarnation, zone, digest_address, formats, options, seeds
    )


@REDUCER.handles(events.RequestArrived)
def on_request(
    state: State, stamp: core_events.Stamp, event: events.RequestArrived
) -> list[Any]:
    if state.table is None and not _held_long_enough(state, stamp):
        state.held_requests_by_id[event.request.id] = event.request
        return []
    return _admit(state, stamp, event.request)


def _held_long_enough(state: State, stamp: core_events.Stamp) -> bool:
    return bool(
        state.started_ms and stamp.now_ms - state.started_ms > START_HOLD_MS
    )


def _admit_held(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Goes on with requests that waited for the first configuration."""
    if state.table is None and not _held_long_enough(state, stamp):
        return []
    outputs: list[Any] = []
    held = list(state.held_requests_by_id.values())
    state.held_requests_by_id.clear()
    for request in held:
        outputs += _admit(state, stamp, request)
    return outputs


def _admit(
    state: State, stamp: core_events.Stamp, request: requests.Request
) -> list[Any]:
    """Finds a request's route and owner, and sends it."""
    table = state.table
    if table is None:
        return _refuse_unrouted(
            request.id, errors.ConfigurationMissing(NO_CONFIGURATION_RETRY_MS)
        )
    route = table.match(request.host, request.path)
    if route is None:
        return _refuse_unrouted(request.id, errors.UnknownPath(request.path))
    organisation = table.find_organisation(request.key)
    if organisation is None and table.requires_key and not route.public:
        denial = errors.UnknownKey() if request.key else errors.MissingKey()
        return _refuse_unrouted(request.id, denial)
    service = routes.choose_target(route, request.session or request.id)
    active = gateway_state.ActiveRequest(request, route, service, organisation)
    state.requests_by_id[request.id] = active
    state.budget.count_request(service, stamp.now_ms)
    if not _over_before_stop(state, stamp, active):
        failure = errors.Stopping(_stopping_retry_ms(state, stamp, active))
        return completion.refuse(state, stamp, active, failure)
    return dispatching.dispatch(state, stamp, active)


def _stopping_retry_ms(
    state: State, stamp: core_events.Stamp, active: gateway_state.ActiveRequest
) -> int:
    """Returns when a caller of a stopping gateway may come back.

    At once if another gateway takes callers, else after the restart.
    """
    if any(not peer.digest.stopping for peer in state.peers_by_id.values()):
        return STOPPING_RETRY_MS
    end_ms = state.stop_began_ms + state.options.stop_ms + RESTART_MS
    left_ms = active.deadline_ms - stamp.now_ms
    wait_ms = end_ms - stamp.now_ms
    return admission.retry_after_ms(wait_ms, left_ms, stamp.seed)


def _over_before_stop(
    state: State, stamp: core_events.Stamp, active: gateway_state.ActiveRequest
) -> bool:
    """Tells whether a request can be answered before a planned stop ends."""
    if not state.stopping:
        return True
    elapsed_ms = stamp.now_ms - state.stop_began_ms
    if elapsed_ms <= STOP_ACCEPT_MS:
        return True
    left_ms = state.options.stop_ms - STOP_RESERVE_MS - elapsed_ms
    return active.deadline_ms - stamp.now_ms < left_ms


@REDUCER.handles(events.CallerLeft)
def on_caller_left(
    state: State, stamp: core_events.Stamp, event: events.CallerLeft
) -> list[Any]:
    state.held_requests_by_id.pop(event.request_id, None)
    active = state.requests_by_id.get(event.request_id)
    if active is None:
        return []
    return completion.finish(state, stamp, active, 'caller-left')


@REDUCER.handles(events.ServersHeard)
def on_servers_heard(
    state: State, stamp: core_events.Stamp, event: events.ServersHeard
) -> list[Any]:
    for server_id in event.server_ids:
        state.last_seen_ms_by_server[server_id] = stamp.now_ms
    return []


@REDUCER.handles(core_events.Tick)
def on_tick(
    state: State, stamp: core_events.Stamp, event: core_events.Tick
) -> list[Any]:
    if not state.started_ms:
        state.started_ms = stamp.now_ms
    ticked = state.link.on_tick(stamp)
    ticked += gossip.watch_store(state, stamp)
    ticked += state.platform_calls.on_tick(stamp)
    outputs = gateway_state.apply_notices(state, stamp, ticked)
    outputs += fleet_changes.apply(
        state, state.fleet.expire(stamp.now_ms), False
    )
    outputs += _admit_held(state, stamp)
    outputs += timeouts.on_tick(state, stamp)
    outputs += _tend_rollouts(state, stamp)
    outputs += gossip.send_digests(state, stamp)
    outputs += gossip.fetch_missing_changes(state, stamp)
    outputs += _go_on_stopping(state, stamp)
    return outputs


@REDUCER.handles(core_events.PlatformAnswered)
def on_platform(
    state: State, stamp: core_events.Stamp, event: core_events.PlatformAnswered
) -> list[Any]:
    outputs = state.platform_calls.on_answer(stamp, event.op_id, event.result)
    if isinstance(event.result, platform.Unavailable):
        state.link.probe(stamp)
    else:
        # The next watch starts at once, not at the next tick.
        outputs += gossip.watch_store(state, stamp)
    applied = gateway_state.apply_notices(state, stamp, outputs)
    return [*applied, *_admit_held(state, stamp)]


@REDUCER.handles(core_events.StopRequested)
def on_stop(
    state: State, stamp: core_events.Stamp, event: core_events.StopRequested
) -> list[Any]:
    if state.stopping:
        return []
    state.stopping = True
    state.stop_began_ms = stamp.now_ms
    fields = {'requests': len(state.requests_by_id)}
    return [
        core_effects.LogChange('stopping', fields),
        core_effects.Record('stopping', fields),
        *state.link.release(stamp),
    ]


@REDUCER.handles(events.SettingsReloaded)
def on_reload(
    state: State, stamp: core_events.Stamp, event: events.SettingsReloaded
) -> list[Any]:
    state.apply_options(event.options)
    fields = {
        'changed': list(event.changed),
        'needs_restart': list(event.needs_restart),
    }
    return [core_effects.Record('settings-reloaded', fields)]


@REDUCER.handles(events.SettingsRefused)
def on_reload_refused(
    state: State, stamp: core_events.Stamp, event: events.SettingsRefused
) -> list[Any]:
    fields = {'faults': list(event.faults)}
    return [core_effects.Record('settings-refused', fields)]


def _tend_rollouts(state: State, stamp: core_events.Stamp) -> list[Any]:
    tracks = state.rollouts.tracks_by_service
    if not tracks:
        return []
    evidence: dict[str, list[digests.RolloutEvidence]] = {}
    for peer in state.peers_by_id.values():
        for service, seen in peer.digest.evidence_by_service.items():
            evidence.setdefault(service, []).append(seen)
    running = {
        service: state.loads.running(
            server.id
            for server in state.fleet.servers_by_id.values()
            if server.service == service
            and server.version != track.order.version
        )
        for service, track in tracks.items()
    }
    peers = rollouts.PeerEvidence(tuple(state.peers_by_id), evidence)
    return state.rollouts.on_tick(stamp, peers, running)


def _go_on_stopping(state: State, stamp: core_events.Stamp) -> list[Any]:
    if not state.stopping or state.exiting:
        return []
    outputs: list[Any] = []
    elapsed_ms = stamp.now_ms - state.stop_began_ms
    if elapsed_ms >= CLOSE_IDLE_MS and not state.closed_callers:
        state.closed_callers = True
        outputs.append(effects.CloseCallers())
    late = elapsed_ms >= state.options.stop_ms - STOP_RESERVE_MS
    if late:
        for active in list(state.requests_by_id.values()):
            outputs += timeouts.expire(state, stamp, active)
    idle = not state.requests_by_id and elapsed_ms >= STOP_ACCEPT_MS
    if idle or late:
        state.exiting = True
        outputs.append(core_effects.Record('stopped', {'late': late}))
        outputs.append(core_effects.Exit())
    return outputs


def _refuse_unrouted(request_id: str, failure: Any) -> list[Any]:
    fields = {'request': request_id, 'outcome': failure.slug}
    return [
        effects.Refuse(request_id, failure),
        core_effects.Count(
            'gateway_requests',
            (
                ('route', ''),
                ('rank', ''),
                ('outcome', failure.slug),
                ('reason', ''),
            ),
        ),
        core_effects.Record('request-ended', fields),
    ]
