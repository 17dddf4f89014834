"""How an entry judges a request before any work is queued for it."""

from typing import Any, NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import configuration
from ragwortgw_core import documents
from ragwortgw_core import effects
from ragwortgw_core import entry_dispatch
from ragwortgw_core import entry_state
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import requests
from ragwortgw_core import sessions

RETRY_AFTER_MS = 1_000


class Target(NamedTuple):
    """What a request asks for, resolved in the configuration."""

    model: str
    cascade: documents.Cascade | None
    repeatable: bool
    priority: documents.Priority


@entry_state.REDUCER.handles(events.RequestReceived)
def on_request(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.RequestReceived,
) -> list[Any]:
    request = event.request
    admitted = admit(state, stamp, request)
    if isinstance(admitted, Failure):
        failure = admitted.failure()
        if request.idempotency_key:
            failure = errors.Unsettled(failure)
        return entry_dispatch.send_refusal(request, failure, stamp.now_ms)
    active = admitted.unwrap()
    state.requests_by_id[request.id] = active
    state.retries.on_request(stamp)
    arrived = effects.Record(
        'request-admitted',
        {
            'request': request.id,
            'organisation': active.organisation['id'],
            'target': request.target,
            'session': active.session,
            'revision': snapshot_of(state).revision,
        },
    )
    if active.repeatable:
        return [arrived, *entry_dispatch.enqueue(state, stamp, active)]
    active.phase = 'claiming'
    claimed = state.ledger.claim(
        stamp,
        request.idempotency_key,
        request.fingerprint,
        request.id,
        snapshot_of(state).system,
        request.deadline_ms,
    )
    return [arrived, *entry_state.apply_notices(state, stamp, claimed)]


def snapshot_of(state: entry_state.State) -> configuration.Snapshot:
    """Returns the configuration, known to be there."""
    snapshot = state.store.snapshot
    assert snapshot is not None
    return snapshot


def admit(
    state: entry_state.State, stamp: events.Stamp, request: requests.Request
) -> Result[entry_state.ActiveRequest, Any]:
    """Judges a request by configuration, strikes and limits.

    Args:
      state: The entry's state.
      stamp: Time and randomness of the event.
      request: The request.
    Returns: The request in progress, or the failure that refuses it.
    """
    unready = check_readiness(state, stamp)
    if unready is not None:
        return Failure(unready)
    snapshot = snapshot_of(state)
    found = find_organisation(snapshot, request)
    if isinstance(found, Failure):
        return found
    organisation = found.unwrap()
    resolved = resolve_target(snapshot, organisation, request)
    if isinstance(resolved, Failure):
        return resolved
    target = resolved.unwrap()
    suspected = state.strikes.check(stamp, request.fingerprint)
    if suspected is not None:
        return Failure(suspected)
    unbillable = state.bills.check()
    if unbillable is not None:
        return Failure(unbillable)
    limited = state.limits.admit(organisation, state.entries, stamp)
    if isinstance(limited, Failure):
        return limited
    active = entry_state.ActiveRequest(
        request,
        organisation,
        target.model,
        target.cascade,
        target.repeatable,
        target.priority,
        stamp.now_ms,
    )
    return Success(attach_session(snapshot, active, stamp))


def check_readiness(
    state: entry_state.State, stamp: events.Stamp
) -> Any | None:
    """Judges whether the entry may take work at all.

    An entry that may be cut off from a newer configuration does not.
    """
    if state.stopping:
        return errors.Stopping(RETRY_AFTER_MS)
    return state.store.check(stamp, len(state.membership.members()))


def find_organisation(
    snapshot: configuration.Snapshot, request: requests.Request
) -> Result[documents.Organisation, Any]:
    """Finds the organisation that a request's key belongs to."""
    if not request.key_hash:
        return Failure(errors.MissingKey())
    key = snapshot.keys_by_id.get(request.key_hash)
    if key is None:
        return Failure(errors.UnknownKey())
    return Success(snapshot.organisations_by_id[key['organisation']])


def resolve_target(
    snapshot: configuration.Snapshot,
    organisation: documents.Organisation,
    request: requests.Request,
) -> Result[Target, Any]:
    """Resolves a request's target to a model or cascade it may use."""
    cascade = snapshot.cascades_by_id.get(request.target)
    model = snapshot.models_by_id.get(request.target)
    if cascade is not None and request.kind == 'chat':
        target = Target(
            cascade['stages'][0], cascade, True, cascade['priority']
        )
    elif model is not None and model['kind'] == request.kind:
        routed = resolve_route(model, request)
        if isinstance(routed, Failure):
            return routed
        target = routed.unwrap()
    else:
        return Failure(errors.UnknownModel(request.target))
    if not permits(organisation, request.target, target):
        return Failure(errors.NotPermitted(organisation['id'], request.target))
    return require_idempotency_key(request, target)


def resolve_route(
    model: documents.Model, request: requests.Request
) -> Result[Target, Any]:
    """Finds how a model or plain service treats a request."""
    if model['kind'] == 'chat':
        return Success(Target(model['id'], None, True, model['priority']))
    matching = [
        route
        for route in model['routes']
        if request.path.startswith(route['prefix'])
    ]
    if not matching:
        return Failure(errors.UnknownPath(request.path))
    allowed = [
        route for route in matching if route['method'] == request.method
    ]
    if not allowed:
        return Failure(errors.MethodNotAllowed(request.method))
    best = max(allowed, key=lambda route: len(route['prefix']))
    return Success(
        Target(model['id'], None, best['repeatable'], best['priority'])
    )


def permits(
    organisation: documents.Organisation, name: str, target: Target
) -> bool:
    """Returns whether the organisation may use any version of a target."""
    stages = target.cascade['stages'] if target.cascade else [target.model]
    return any(
        permit == name or permit.partition('@')[0] in stages
        for permit in organisation['permits']
    )


def require_idempotency_key(
    request: requests.Request, target: Target
) -> Result[Target, Any]:
    """Requires an idempotency key where a call may not be repeated."""
    if not target.repeatable and not request.idempotency_key:
        return Failure(errors.MissingIdempotencyKey())
    return Success(target)


def attach_session(
    snapshot: configuration.Snapshot,
    active: entry_state.ActiveRequest,
    stamp: events.Stamp,
) -> entry_state.ActiveRequest:
    """Reads the session id; one that carries no time gets a token."""
    if not active.request.session:
        return active
    secret = snapshot.system['session_key']
    active.session = active.request.session
    read = sessions.read_session(active.request.session, secret, stamp.now_ms)
    if read.began_at_ms is None:
        active.session_token = sessions.new_session_token(
            active.request.session, secret, stamp.now_ms
        )
        active.session = active.session_token
    return active
