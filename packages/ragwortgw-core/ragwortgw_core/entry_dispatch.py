"""Queueing of requests, dispatch of attempts to agents, and refusals."""

from typing import Any

from returns.result import Failure

from ragwortgw_core import documents
from ragwortgw_core import effects
from ragwortgw_core import entry_selection
from ragwortgw_core import entry_state
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import notices
from ragwortgw_core import queueing
from ragwortgw_core import requests
from ragwortgw_core import rollouts


RETRY_AFTER_MS = 500
#: How long a request avoids an agent that refused one of its attempts.
BUSY_AVOID_MS = 100
#: End of the avoidance of an agent at which an attempt failed, Unix ms.
AVOID_FOREVER_MS = 1 << 62


def send_refusal(
    request: requests.Request, failure: Any, now_ms: int
) -> list[Any]:
    """Builds the effects that refuse a request; changes no state."""
    return [
        effects.Refuse(request.id, failure, ()),
        effects.Count('entry_refusals', (('failure', failure.slug),)),
        effects.Record(
            'request-refused',
            {'request': request.id, 'failure': failure.slug},
        ),
    ]


def refuse_request(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    failure: Any,
) -> list[Any]:
    """Ends a request with a failure.

    If an earlier stage of its cascade has finished, that stage's answer is
    delivered instead. A detached request sends nothing to its caller.
    """
    if active.stages and not active.relaying:
        notice = notices.EarlierAnswerChosen(active.request.id)
        return entry_state.apply_notices(state, stamp, [notice])
    outputs = remove_request(state, stamp, active)
    if active.detached:
        return outputs
    if active.ran != 'no':
        failure = errors.Unsettled(failure, active.ran)
    return [
        *outputs,
        *send_refusal(active.request, failure, stamp.now_ms),
    ]


def remove_request(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> list[Any]:
    """Removes a request from the entry's state; never has any effects."""
    if state.requests_by_id.pop(active.request.id, None) is None:
        return []
    state.queue.remove(active.request.id)
    state.limits.release(active.organisation['id'])
    release_agent(state, stamp, active)
    return []


def release_agent(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> None:
    """Frees the agent's slot of the request's present attempt."""
    state.request_ids_by_attempt.pop(active.attempt_id, None)
    agent = state.agents_by_id.get(active.agent_id)
    if agent is not None:
        agent.end_attempt(active.attempt_id, stamp.now_ms)


def refuse_unexecuted(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    failure: Any,
) -> list[Any]:
    """Refuses a request whose present call was certainly not executed.

    The idempotency key of a call that may not be repeated is released, so
    that a later call with the same key may be executed.
    """
    outputs = refuse_request(state, stamp, active, failure)
    if not active.repeatable:
        released = state.ledger.release(stamp, active.request.idempotency_key)
        outputs += entry_state.apply_notices(state, stamp, released)
    return outputs


def enqueue(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> list[Any]:
    """Queues a request for its next attempt and dispatches what it can.

    The request is refused when no agent can serve it, or when the queue
    expects it to miss its deadline.
    """
    active.phase = 'queued'
    failure = plan_request(state, stamp, active)
    if failure is None:
        result = state.queue.offer(new_queue_item(state, active), stamp)
        failure = result.failure() if isinstance(result, Failure) else None
    if failure is not None:
        return refuse_unexecuted(state, stamp, active, failure)
    return dispatch_queued(state, stamp)


def recheck_waiting(
    state: entry_state.State, stamp: events.Stamp
) -> list[Any]:
    """Plans queued requests that waited for a newer configuration.

    They are refused if it did not arrive in time, or does not permit them.
    """
    outputs: list[Any] = []
    waiting = [
        active
        for active in state.requests_by_id.values()
        if active.needed_revision and active.phase == 'queued'
    ]
    for active in waiting:
        failure = plan_request(state, stamp, active)
        if failure is not None:
            outputs += refuse_unexecuted(state, stamp, active, failure)
        elif active.needed_revision <= state.store.revision:
            active.needed_revision = 0
    return outputs


def plan_request(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> Any | None:
    """Plans a request's stages, if it has a cascade without a plan.

    Args:
      state: The entry's state.
      stamp: Time and randomness of the event.
      active: The request.
    Returns: The failure if no agent can serve the present stage, else
      None. A request that waits for a newer configuration is not planned.
    """
    snapshot = state.store.snapshot
    if snapshot is None:
        return errors.ConfigurationMissing(RETRY_AFTER_MS)
    if active.needed_revision > snapshot.revision:
        return state.store.check(stamp, len(state.membership.member_ids()))
    if active.cascade is not None and active.plan is None:
        active.plan = entry_selection.plan_stages(
            state, stamp, active, snapshot
        )
        if active.plan is not None:
            active.stage_index = active.plan.start
    if active.cascade is not None and active.plan is None:
        return errors.NoBackendServer(active.cascade['id'], RETRY_AFTER_MS)
    if not entry_selection.allowed_versions(snapshot, active):
        return errors.AllWithdrawn(active.current_model, RETRY_AFTER_MS)
    if not entry_selection.eligible_agents(state, active, snapshot, stamp):
        return errors.NoBackendServer(active.current_model, RETRY_AFTER_MS)
    return None


def new_queue_item(
    state: entry_state.State, active: entry_state.ActiveRequest
) -> queueing.Item:
    """Builds a request's queue item and stores it in the request."""
    active.item = queueing.Item(
        active.request.id,
        active.organisation['id'],
        active.organisation['weight'],
        active.priority,
        active.request.deadline_ms,
        float(entry_selection.estimate_input_tokens(active.request)),
        active.received_at_ms,
        (active.current_model,),
    )
    return active.item


def dispatch_queued(
    state: entry_state.State, stamp: events.Stamp
) -> list[Any]:
    """Dispatches queued requests while some agent has a free slot."""
    outputs: list[Any] = []
    while len(state.queue):
        selections_by_id: dict[str, tuple[str, rollouts.PinnedVersion]] = {}

        def runnable(item: queueing.Item) -> bool:
            selection = entry_selection.select_agent(
                state, stamp, state.requests_by_id[item.id]
            )
            if selection is not None:
                selections_by_id[item.id] = selection
            return selection is not None

        item = state.queue.take(runnable, stamp)
        if item is None:
            break
        agent_id, pinned = selections_by_id[item.id]
        active = state.requests_by_id[item.id]
        outputs += start_attempt(state, stamp, active, agent_id, pinned)
    return outputs


def start_attempt(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    agent_id: str,
    pinned: rollouts.PinnedVersion,
) -> list[Any]:
    """Sends the next attempt of a request to an agent.

    Attempt ids number all attempts, those included that were refused.
    """
    active.phase = 'running'
    active.attempts += 1
    active.attempt_id = (
        f'{active.request.id}.{active.attempts + active.refusals}'
    )
    active.agent_id = agent_id
    active.backend = state.agents_by_id[agent_id].backend
    active.version = pinned.version
    active.moved = pinned.moved
    active.attempt_at_ms = stamp.now_ms
    state.request_ids_by_attempt[active.attempt_id] = active.request.id
    agent = state.agents_by_id[agent_id]
    agent.begin_attempt(active.attempt_id, stamp.now_ms)
    state.strikes.attempt_started(
        agent.backend, active.attempt_id, active.request.fingerprint
    )
    return [
        effects.SendAttempt(agent_id, new_dispatch(state, active)),
        effects.Record(
            'attempt-sent',
            {
                'request': active.request.id,
                'attempt': active.attempt_id,
                'agent': agent_id,
                'version': pinned.version,
                'moved': pinned.moved,
            },
        ),
    ]


def new_dispatch(
    state: entry_state.State, active: entry_state.ActiveRequest
) -> requests.Dispatch:
    """Builds the dispatch message of a request's present attempt."""
    snapshot = state.store.snapshot
    assert snapshot is not None
    request = active.request
    prices = prices_of(
        snapshot.models_by_id[active.current_model],
        sum(stage.cost_micros for stage in active.stages),
    )
    return requests.Dispatch(
        active.attempt_id,
        request.id,
        active.organisation['id'],
        active.current_model,
        active.version,
        snapshot.revision,
        request.kind,
        request.method,
        request.path,
        request.body,
        request.stream and active.final_stage,
        active.session,
        request.idempotency_key,
        active.repeatable,
        active.priority,
        request.deadline_ms,
        request.fingerprint,
        active.resume_offset,
        request.target,
        prices,
        active.final_stage,
    )


def prices_of(
    model: documents.Model, spent_micros: int = 0
) -> requests.Prices:
    """Returns the prices of an attempt with a model.

    Args:
      model: The model.
      spent_micros: Cost of the earlier stages, in micro-units.
    Returns: The prices.
    """
    return requests.Prices(
        model['input_micros'],
        model['output_micros'],
        model['call_micros'],
        spent_micros,
    )


def requeue(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    failure: Any,
) -> list[Any]:
    """Queues a request again after an attempt that was not executed.

    After Options.max_refusals such attempts the request is refused with
    the last failure.
    """
    if active.refusals >= state.options.max_refusals:
        return refuse_unexecuted(state, stamp, active, failure)
    return enqueue(state, stamp, active)
