"""How an entry queues requests and sends attempts to agents."""

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
BUSY_AVOID_MS = 100
AVOID_FOREVER_MS = 1 << 62


def send_refusal(
    request: requests.Request, failure: Any, now_ms: int
) -> list[Any]:
    """Refuses a request that was never taken in."""
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
    """Gives the caller the final answer that its request failed.

    A cascade whose later stage failed has an answer to give instead.
    """
    if active.stages and not active.relaying:
        kept = notices.EarlierAnswerChosen(active.request.id)
        return entry_state.apply_notices(state, stamp, [kept])
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
    """Drops a request from the entry's state."""
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
    """Ends the book-keeping of the request's present attempt."""
    state.requests_by_attempt.pop(active.attempt_id, None)
    agent = state.agents_by_id.get(active.agent_id)
    if agent is not None:
        agent.end_attempt(active.attempt_id, stamp.now_ms)


def refuse_unexecuted(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    failure: Any,
) -> list[Any]:
    """Refuses a request of which certainly nothing ran.

    The claim of a call that may not be repeated is released, so that a
    later call with its key may run.
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
    """Queues a request for its next attempt and sends what can be sent."""
    active.phase = 'queued'
    failure = plan_request(state, stamp, active)
    if failure is None:
        offered = state.queue.offer(new_queue_item(state, active), stamp)
        failure = offered.failure() if isinstance(offered, Failure) else None
    if failure is not None:
        return refuse_unexecuted(state, stamp, active, failure)
    return dispatch_queued(state, stamp)


def plan_request(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> Any | None:
    """Plans a request's stages; returns the failure if none is usable."""
    snapshot = state.store.snapshot
    if snapshot is None:
        return errors.ConfigurationMissing(RETRY_AFTER_MS)
    if active.cascade is not None and active.plan is None:
        active.plan = entry_selection.plan_stages(
            state, stamp, active, snapshot
        )
        if active.plan is not None:
            active.stage = active.plan.start
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
    """Makes the queue's item of a request."""
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
    """Sends queued requests while some agent has room for one."""
    outputs: list[Any] = []
    while len(state.queue):
        chosen_by_id: dict[str, tuple[str, rollouts.PinnedVersion]] = {}

        def runnable(item: queueing.Item) -> bool:
            found = entry_selection.select_agent(
                state, stamp, state.requests_by_id[item.id]
            )
            if found is not None:
                chosen_by_id[item.id] = found
            return found is not None

        item = state.queue.take(runnable, stamp)
        if item is None:
            break
        agent_id, pinned = chosen_by_id[item.id]
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
    """Sends the next attempt of a request to an agent."""
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
    state.requests_by_attempt[active.attempt_id] = active.request.id
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
    """Builds the message that sends a request's present attempt."""
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
    """Returns what an attempt at a model costs.

    Args:
      model: The model.
      spent_micros: What earlier stages cost, in micro-units.
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
    """Queues a request again after an attempt of which nothing ran."""
    if active.refusals >= state.options.max_refusals:
        return refuse_unexecuted(state, stamp, active, failure)
    return enqueue(state, stamp, active)
