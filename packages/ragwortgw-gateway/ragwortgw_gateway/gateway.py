"""The top-level reducer of a gateway.

Admits requests, runs the periodic work of each tick, and carries out a
planned stop. Other modules register handlers for attempts, changes in the
store and messages of peers.
"""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import errors
from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_gateway import admission
from ragwortgw_gateway import announcements
from ragwortgw_gateway import attempts
from ragwortgw_gateway import cold_changes
from ragwortgw_gateway import completion
from ragwortgw_gateway import crash_containment
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
from ragwortgw_gateway import returning_requests
from ragwortgw_gateway import rollouts
from ragwortgw_gateway import routes
from ragwortgw_gateway import store_changes
from ragwortgw_gateway import timeouts
from ragwortgw_gateway import version_timing

State = gateway_state.State
Options = limits.Options
REDUCER = gateway_state.REDUCER
#: Modules that register handlers when they are imported.
HANDLERS = (
    attempts,
    announcements,
    crash_containment,
    store_changes,
    gossip,
    returning_requests,
)

#: Retry-After while the gateway has no configuration yet.
NO_CONFIGURATION_RETRY_MS = 500
#: Retry-After of a stopping gateway while another one accepts callers.
STOPPING_RETRY_MS = 200
#: Time from the exit of the process until its successor serves requests.
RESTART_MS = 1_500
#: Time after the start for which requests may wait for the configuration;
#: the store commonly answers within a tenth of it.
START_HOLD_MS = 1_000


def new_gateway(
    host_id: str,
    incarnation: str,
    zone: str,
    digest_address: str,
    formats: store_formats.Formats,
    options: Options,
    seeds: tuple[str, ...] = (),
) -> State:
    """Creates the state of a gateway that has just started.

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
    """Admits a request, or holds it until the first configuration arrives."""
    state.ring.record_request(stamp.now_ms)
    if state.table is None and not _hold_time_over(state, stamp):
        state.held_requests_by_id[event.request.id] = event.request
        return []
    return _admit(state, stamp, event.request)


def _hold_time_over(state: State, stamp: core_events.Stamp) -> bool:
    return bool(
        state.started_ms and stamp.now_ms - state.started_ms > START_HOLD_MS
    )


def _admit_held(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Admits requests that waited for the first configuration."""
    if state.table is None and not _hold_time_over(state, stamp):
        return []
    outputs: list[Any] = []
    held_requests = list(state.held_requests_by_id.values())
    state.held_requests_by_id.clear()
    for request in held_requests:
        outputs += _admit(state, stamp, request)
    return outputs


def _admit(
    state: State, stamp: core_events.Stamp, request: requests.Request
) -> list[Any]:
    """Finds a request's route and organisation; dispatches or refuses it."""
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
    if request.prompt is not None:
        size_class = state.sizes.classify(route.id, request.prompt.size)
        if size_class is not None:
            active.classes = (*active.classes, size_class)
    state.requests_by_id[request.id] = active
    state.budget.count_request(service, stamp.now_ms)
    if not _ends_before_stop(state, stamp, active):
        failure = errors.Stopping(_stopping_retry_ms(state, stamp, active))
        return completion.refuse(state, stamp, active, failure)
    return dispatching.dispatch(state, stamp, active)


def _stopping_retry_ms(
    state: State, stamp: core_events.Stamp, active: gateway_state.ActiveRequest
) -> int:
    """Returns the Retry-After of a stopping gateway.

    It is short if another gateway accepts callers; otherwise the client is
    to retry after the restart.
    """
    if _peer_accepts_callers(state):
        return STOPPING_RETRY_MS
    remaining_ms = active.deadline_ms - stamp.now_ms
    wait_ms = state.stop.end_deadline_ms + RESTART_MS - stamp.now_ms
    return admission.retry_after_ms(wait_ms, remaining_ms, stamp.seed)


def _ends_before_stop(
    state: State, stamp: core_events.Stamp, active: gateway_state.ActiveRequest
) -> bool:
    """Returns whether a request will end before a planned stop does.

    At first all are taken to, but streams that another gateway can serve and
    that may last longer: one that begins as late as its objective, and is as
    long as nearly all of its route are at most.
    """
    if not state.stopping:
        return True
    remaining_ms = state.stop.work_left_ms(stamp.now_ms)
    if active.deadline_ms - stamp.now_ms < remaining_ms:
        return True
    if not state.stop.accepts_all(stamp.now_ms):
        return False
    streams = state.latency.route_streams(active.route.id, stamp.now_ms)
    if streams is None or not _peer_accepts_callers(state):
        return True
    return active.route.objective_ms + streams.present_ms < remaining_ms


def _peer_accepts_callers(state: State) -> bool:
    """Returns whether another gateway is known that is not stopping."""
    return any(not peer.digest.stopping for peer in state.peers_by_id.values())


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
def on_server_data(
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
    results = state.link.on_tick(stamp)
    results += gossip.watch_store(state, stamp)
    results += state.platform_calls.on_tick(stamp)
    outputs = gateway_state.apply_notices(state, stamp, results)
    outputs += fleet_changes.apply(
        state, state.fleet.expire(stamp.now_ms), False
    )
    outputs += store_changes.on_tick(state, stamp)
    outputs += cold_changes.on_tick(state, stamp)
    outputs += _admit_held(state, stamp)
    outputs += crash_containment.on_tick(state, stamp)
    outputs += announcements.report_limits(state, stamp)
    outputs += returning_requests.report_refusals(state, stamp)
    version_timing.on_tick(state, stamp)
    outputs += timeouts.on_tick(state, stamp)
    outputs += _update_rollouts(state, stamp)
    outputs += gossip.send_digests(state, stamp)
    outputs += gossip.fetch_missing_changes(state, stamp)
    outputs += _continue_stop(state, stamp)
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
    state.stop.begin(stamp.now_ms, state.options.stop_ms)
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


def _update_rollouts(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Passes the evidence of all gateways to the roll-out controller."""
    tracks = state.rollouts.tracks_by_service
    if not tracks:
        return []
    evidence: dict[str, list[digests.RolloutEvidence]] = {}
    for peer in state.peers_by_id.values():
        for key, observed in peer.digest.evidence_by_service.items():
            evidence.setdefault(key, []).append(observed)
    baseline_running = {
        service: state.loads.running(
            server.id
            for server in state.fleet.servers_by_id.values()
            if server.service == service
            and server.version != track.order.version
        )
        for service, track in tracks.items()
    }
    peers = rollouts.PeerEvidence(tuple(state.peers_by_id), evidence)
    return state.rollouts.on_tick(stamp, peers, baseline_running)


def _continue_stop(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Carries out the steps of a planned stop that are due."""
    due = state.stop.advance(
        stamp.now_ms,
        len(state.requests_by_id) + len(state.held_requests_by_id),
    )
    outputs: list[Any] = []
    if due.close_idle:
        outputs.append(effects.CloseCallers())
    if due.end_requests:
        for active in list(state.requests_by_id.values()):
            outputs += timeouts.expire(state, stamp, active)
        for request_id in state.held_requests_by_id:
            failure = errors.ConfigurationMissing(NO_CONFIGURATION_RETRY_MS)
            outputs += _refuse_unrouted(request_id, failure)
        state.held_requests_by_id.clear()
    if due.close_listener:
        fields = {'late': state.stop.late, **state.stop.callers._asdict()}
        outputs.append(core_effects.Record('flushing', fields))
        outputs.append(effects.CloseListener())
    if due.exit:
        fields = {'late': state.stop.late, **state.stop.callers._asdict()}
        outputs.append(core_effects.Record('stopped', fields))
        outputs.append(core_effects.Exit())
    return outputs


@REDUCER.handles(events.CallersObserved)
def on_callers_observed(
    state: State, stamp: core_events.Stamp, event: events.CallersObserved
) -> list[Any]:
    state.stop.callers = event
    return []


def _refuse_unrouted(request_id: str, failure: Any) -> list[Any]:
    """Refuses a request that has no route, or no right to use it."""
    fields = {
        'request': request_id,
        'outcome': failure.slug,
        'status': failure.status,
        'sent': 0,
    }
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
