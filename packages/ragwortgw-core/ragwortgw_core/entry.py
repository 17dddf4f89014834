"""The entry process's reducer: timers, deadlines, notices and shutdown.

The request path itself is split over the entry_* modules, each of which
registers its handlers with the reducer in entry_state when it is imported.
"""

from typing import Any

from ragwortgw_core import effects
from ragwortgw_core import entry_admission
from ragwortgw_core import entry_agents
from ragwortgw_core import entry_attempts
from ragwortgw_core import entry_commands
from ragwortgw_core import entry_delivery
from ragwortgw_core import entry_dispatch
from ragwortgw_core import entry_ratings
from ragwortgw_core import entry_state
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import notices

Options = entry_state.Options
State = entry_state.State
REDUCER = entry_state.REDUCER

HANDLER_MODULES = (
    entry_admission,
    entry_agents,
    entry_attempts,
    entry_commands,
    entry_ratings,
)


def new_entry(
    entry_id: str,
    incarnation: str,
    zone: str,
    region: str,
    options: Options,
) -> State:
    """Builds the initial state of an entry process.

    Args:
      entry_id: Id of the entry in the host list.
      incarnation: Unique for each start of the process.
      zone: Availability zone.
      region: Region of the zone.
      options: Limits and timeouts.
    Returns: The state.
    """
    return State(entry_id, incarnation, zone, region, options)


def freshness(state: State) -> tuple[int, int]:
    """Returns the configuration revision in use and its confirmation time.

    Args:
      state: The entry's state.
    Returns: The revision, and when it was last confirmed as the newest
      one, Unix ms.
    """
    return state.store.revision, state.store.advertised_at_ms


def describe(state: State, now_ms: int) -> dict[str, Any]:
    """Returns the entry's state as plain values, for the admin API."""
    revision, confirmed_at_ms = freshness(state)
    return {
        'entry': state.entry_id,
        'zone': state.zone,
        'revision': revision,
        'confirmed_age_ms': now_ms - confirmed_at_ms,
        'requests': len(state.requests_by_id),
        'queued': len(state.queue),
        'stopping': state.stopping,
        'agents': [
            {
                'agent': agent.agent_id,
                'backend': agent.backend,
                'zone': agent.zone,
                'versions': list(agent.versions),
                'slots': agent.slots,
                'running': agent.load.running,
                'inflight': len(agent.attempt_ids),
                'healthy': agent.healthy,
                'draining': agent.draining,
            }
            for agent in state.agents_by_id.values()
        ],
    }


@REDUCER.handles(events.Tick)
def on_tick(
    state: State, stamp: events.Stamp, event: events.Tick
) -> list[Any]:
    tick_outputs: list[Any] = []
    for component in timed_components(state):
        tick_outputs += component.on_tick(stamp)
    tick_outputs += state.platform_calls.on_tick(stamp)
    outputs = entry_state.apply_notices(state, stamp, tick_outputs)
    outputs += report_staleness(state, stamp)
    outputs += expire_requests(state, stamp)
    outputs += entry_dispatch.recheck_waiting(state, stamp)
    outputs += entry_dispatch.dispatch_queued(state, stamp)
    return [*outputs, *exit_when_idle(state, stamp)]


def timed_components(state: State) -> tuple[Any, ...]:
    """Returns the components that have timers, in the order to run them."""
    return (
        state.hosts,
        state.store,
        state.rewriter,
        state.orders,
        state.ledger,
        state.sweeper,
        state.bills,
        state.strikes,
        state.membership,
        state.driver,
    )


def report_staleness(state: State, stamp: events.Stamp) -> list[Any]:
    """Logs and counts when the configuration becomes stale or fresh again.

    It is stale when it was not confirmed for Options.stale_limit_ms. The
    time before the entry held a first configuration does not count.
    """
    if state.store.snapshot is None:
        return []
    state.configuration_since_ms = state.configuration_since_ms or stamp.now_ms
    confirmed_at_ms = max(
        state.store.confirmed_at_ms, state.configuration_since_ms
    )
    age_ms = stamp.now_ms - confirmed_at_ms
    stale = age_ms > state.options.stale_limit_ms
    if stale == state.stale:
        return []
    state.stale = stale
    state_name = 'unconfirmed' if stale else 'confirmed'
    message = f'configuration {state_name}'
    fields = {'revision': state.store.revision, 'age_ms': age_ms}
    return [
        effects.Count('entry_freshness_changes', (('stale', str(stale)),)),
        effects.LogChange(message, fields),
    ]


@REDUCER.handles(events.PlatformAnswered)
def on_platform(
    state: State, stamp: events.Stamp, event: events.PlatformAnswered
) -> list[Any]:
    outputs = state.platform_calls.on_answer(stamp, event.op_id, event.result)
    return entry_state.apply_notices(state, stamp, outputs)


@REDUCER.handles(events.OrderReceived)
def on_order(
    state: State, stamp: events.Stamp, event: events.OrderReceived
) -> list[Any]:
    outputs = state.orders.submit(stamp, event)
    return entry_state.apply_notices(state, stamp, outputs)


@entry_state.NOTICE_REDUCER.handles(notices.ConfigurationChanged)
def on_configuration_changed(
    state: State, stamp: events.Stamp, notice: notices.ConfigurationChanged
) -> list[Any]:
    if state.store.snapshot is not None:
        state.driver.configure(state.store.snapshot)
    outputs: list[Any] = [
        effects.Record('configuration', {'revision': notice.new_revision}),
    ]
    outdated_agents = [
        agent
        for agent in state.agents_by_id.values()
        if agent.revision < notice.new_revision
    ]
    outputs += entry_agents.send_differences(state, outdated_agents)
    outputs += entry_dispatch.recheck_waiting(state, stamp)
    return [*outputs, *entry_dispatch.dispatch_queued(state, stamp)]


@entry_state.NOTICE_REDUCER.handles(notices.ConfigurationNeeded)
def on_configuration_needed(
    state: State, stamp: events.Stamp, notice: notices.ConfigurationNeeded
) -> list[Any]:
    return [effects.Count('entry_configurations_wanted', ())]


@entry_state.NOTICE_REDUCER.handles(notices.StrikeAdded)
def on_strike_added(
    state: State, stamp: events.Stamp, notice: notices.StrikeAdded
) -> list[Any]:
    return [effects.Count('entry_strikes', ())]


@entry_state.NOTICE_REDUCER.handles(notices.ClaimGranted)
def on_claim_granted(
    state: State, stamp: events.Stamp, notice: notices.ClaimGranted
) -> list[Any]:
    active = state.requests_by_id.get(notice.request_id)
    if active is None:
        return []
    if active.detached:
        return entry_dispatch.refuse_unexecuted(state, stamp, active, None)
    return entry_dispatch.enqueue(state, stamp, active)


@entry_state.NOTICE_REDUCER.handles(notices.ClaimReplayed)
def on_claim_replayed(
    state: State, stamp: events.Stamp, notice: notices.ClaimReplayed
) -> list[Any]:
    active = state.requests_by_id.get(notice.request_id)
    if active is None:
        return []
    outputs = entry_dispatch.remove_request(state, stamp, active)
    if active.detached:
        return outputs
    return [
        *outputs,
        effects.Count('entry_replays', ()),
        effects.Record('request-replayed', {'request': notice.request_id}),
        *entry_delivery.answer_caller(active, notice.answer),
    ]


@entry_state.NOTICE_REDUCER.handles(notices.ClaimDenied)
def on_claim_denied(
    state: State, stamp: events.Stamp, notice: notices.ClaimDenied
) -> list[Any]:
    active = state.requests_by_id.get(notice.request_id)
    if active is None:
        return []
    return entry_dispatch.refuse_request(state, stamp, active, notice.failure)


@entry_state.NOTICE_REDUCER.handles(notices.BillsCounted)
def on_bills_counted(
    state: State, stamp: events.Stamp, notice: notices.BillsCounted
) -> list[Any]:
    bill_ids_by_agent: dict[str, list[str]] = {}
    for bill_id in notice.bill_ids:
        agent_id = state.agent_ids_by_bill.pop(bill_id, '')
        bill_ids_by_agent.setdefault(agent_id, []).append(bill_id)
    return [
        effects.ConfirmBills(agent_id, tuple(bill_ids))
        for agent_id, bill_ids in bill_ids_by_agent.items()
        if agent_id in state.agents_by_id
    ]


def expire_requests(state: State, stamp: events.Stamp) -> list[Any]:
    """Ends the requests that passed, or can not make, their deadline.

    Requests that were answered already (detached) are left alone.
    """
    outputs: list[Any] = []
    for item, failure in state.queue.remove_late(stamp):
        active = state.requests_by_id[item.id]
        outputs += entry_dispatch.refuse_unexecuted(
            state, stamp, active, failure
        )
    overdue = [
        active
        for active in state.requests_by_id.values()
        if active.phase != 'queued'
        and not active.detached
        and active.request.deadline_ms <= stamp.now_ms
    ]
    for active in overdue:
        outputs += expire_unqueued(state, stamp, active)
    return outputs


def expire_unqueued(
    state: State, stamp: events.Stamp, active: entry_state.ActiveRequest
) -> list[Any]:
    """Ends a request that passed its deadline after it left the queue.

    A cascade delivers the answer of its last finished stage, if any. Any
    other request is refused. A call that may not be repeated still runs to
    its end, so that its outcome can be stored for the caller's retry with
    the same key; its caller is told that the call may have been executed.
    """
    failure = errors.DeadlineExceeded(active.request.deadline_ms, 'unknown')
    if active.stages and not active.relaying:
        return deliver_last_stage(state, stamp, active)
    if active.repeatable:
        outputs = entry_dispatch.send_refusal(
            active.request, failure, stamp.now_ms
        )
        return [*outputs, *entry_agents.cancel_request(state, stamp, active)]
    active.detached = True
    return entry_dispatch.send_refusal(active.request, failure, stamp.now_ms)


def deliver_last_stage(
    state: State, stamp: events.Stamp, active: entry_state.ActiveRequest
) -> list[Any]:
    """Delivers the last finished stage's answer; cancels a running stage."""
    outputs: list[Any] = []
    if active.phase == 'running':
        entry_attempts.end_attempt(state, stamp, active)
        outputs.append(effects.CancelAttempt(active.attempt_id))
    return [*outputs, *entry_delivery.deliver(state, stamp, active)]


@REDUCER.handles(events.StopRequested)
def on_stop(
    state: State, stamp: events.Stamp, event: events.StopRequested
) -> list[Any]:
    if state.stopping:
        return []
    state.stopping = True
    state.stop_deadline_ms = stamp.now_ms + state.options.stop_ms
    request_count = len(state.requests_by_id)
    return [
        effects.LogChange('stopping', {'requests': request_count}),
        *entry_state.apply_notices(state, stamp, state.bills.flush(stamp)),
        *exit_when_idle(state, stamp),
    ]


def exit_when_idle(state: State, stamp: events.Stamp) -> list[Any]:
    """Exits a stopping entry once all work is done, or at its deadline.

    Requests, unwritten bills and pending ledger writes count as work.
    """
    if not state.stopping:
        return []
    busy = (
        state.requests_by_id
        or state.bills.pending_count()
        or state.ledger.pending_count()
    )
    if not busy:
        return [effects.Exit()]
    if stamp.now_ms >= state.stop_deadline_ms:
        return [*end_requests(state, stamp), effects.Exit()]
    return []


def end_requests(state: State, stamp: events.Stamp) -> list[Any]:
    """Ends all requests at the deadline of a planned stop.

    Without an answer, callers would see the process cut their connections.
    """
    outputs: list[Any] = []
    # First those that wait: they would go to the agents that become free.
    for active in list(state.requests_by_id.values()):
        if active.phase == 'queued':
            failure = errors.Stopping(entry_admission.RETRY_AFTER_MS)
            outputs += entry_dispatch.refuse_unexecuted(
                state, stamp, active, failure
            )
    for active in list(state.requests_by_id.values()):
        if not active.detached:
            outputs += expire_unqueued(state, stamp, active)
    return outputs
