"""Admission of requests at an entry.

Authenticates the caller, resolves the target, and checks permissions,
strikes, billing capacity and rate limits before any work is queued.
"""

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
    """A request's target, resolved in the configuration.

    model is the first stage's model where there is a cascade. repeatable
    tells whether the call may be executed more than once.
    """

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
    """Returns the configuration; the caller knows that there is one."""
    snapshot = state.store.snapshot
    assert snapshot is not None
    return snapshot


def admit(
    state: entry_state.State, stamp: events.Stamp, request: requests.Request
) -> Result[entry_state.ActiveRequest, Any]:
    """Checks a request against configuration, strikes and limits.

    Args:
      state: The entry's state.
      stamp: Time and randomness of the event.
      request: The request.
    Returns: The request in progress, or the failure that refuses it.
    """
    failure = check_readiness(state, stamp)
    if failure is not None:
        return Failure(failure)
    snapshot = snapshot_of(state)
    found = find_organisation(snapshot, request)
    if isinstance(found, Failure):
        return found
    organisation = found.unwrap()
    resolved = resolve_target(snapshot, organisation, request)
    if isinstance(resolved, Failure):
        return resolved
    target = resolved.unwrap()
    failure = state.strikes.check(stamp, request.fingerprint)
    if failure is not None:
        return Failure(failure)
    failure = state.bills.check()
    if failure is not None:
        return Failure(failure)
    admitted = state.limits.admit(organisation, state.entry_count, stamp)
    if isinstance(admitted, Failure):
        return admitted
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
    """Returns the failure for all new requests, or None when ready.

    An entry takes no work without a configuration, nor while its own may
    be outdated: a newer one is known of, or the entry seems to be cut off
    from the platform service and from its peers.
    """
    if state.stopping:
        return errors.Stopping(RETRY_AFTER_MS)
    return state.store.check(stamp, len(state.membership.member_ids()))


def find_organisation(
    snapshot: configuration.Snapshot, request: requests.Request
) -> Result[documents.Organisation, Any]:
    """Finds the organisation that a request's API key belongs to."""
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
    """Resolves a request's target to a model or cascade that it may use.

    Args:
      snapshot: The configuration.
      organisation: The caller's organisation.
      request: The request.
    Returns: The target, or the failure that refuses the request.
    """
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
    """Finds how a model or plain service handles a request.

    Of the routes of a plain service that match path and method, the one
    with the longest prefix applies.
    """
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
    """Refuses a call that may not be repeated and has no idempotency key."""
    if not target.repeatable and not request.idempotency_key:
        return Failure(errors.MissingIdempotencyKey())
    return Success(target)


def attach_session(
    snapshot: configuration.Snapshot,
    active: entry_state.ActiveRequest,
    stamp: events.Stamp,
) -> entry_state.ActiveRequest:
    """Sets the request's session id.

    A session id without a start time is replaced by a signed token that
    carries one; the token is returned to the caller.
    """
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
