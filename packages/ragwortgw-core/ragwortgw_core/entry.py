"""The reducer of an entry: machines, deadlines, start and stop."""

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
    """Makes the state of an entry that has just started.

    Args:
      entry_id: Id of the entry's line in the host list.
      incarnation: Unique for each start of the process.
      zone: Availability zone.
      region: Region of the zone.
      options: Limits.
    Returns: The state.
    """
    return State(entry_id, incarnation, zone, region, options)


def freshness(state: State) -> tuple[int, int]:
    """Returns the revision held and when it was confirmed, Unix ms."""
    return state.store.revision, state.store.advertised_at_ms


def describe(state: State, now_ms: int) -> dict[str, Any]:
    """Describes an entry's state as plain values for operators."""
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
    ticked: list[Any] = []
    for machine in timed_components(state):
        ticked += machine.on_tick(stamp)
    ticked += state.platform_calls.on_tick(stamp)
    outputs = entry_state.apply_notices(state, stamp, ticked)
    outputs += report_staleness(state, stamp)
    outputs += expire_requests(state, stamp)
    outputs += entry_dispatch.dispatch_queued(state, stamp)
    return [*outputs, *exit_when_idle(state, stamp)]


def timed_components(state: State) -> tuple[Any, ...]:
    """Returns the machines that act on time."""
    return (
        state.hosts,
        state.store,
        state.orders,
        state.ledger,
        state.sweeper,
        state.bills,
        state.strikes,
        state.membership,
        state.driver,
    )


def report_staleness(state: State, stamp: events.Stamp) -> list[Any]:
    """Tells when the configuration goes unconfirmed and when it is again."""
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
    behind = [
        agent
        for agent in state.agents_by_id.values()
        if agent.revision < notice.new_revision
    ]
    outputs += entry_agents.send_differences(state, behind)
    return [*outputs, *entry_dispatch.dispatch_queued(state, stamp)]


@entry_state.NOTICE_REDUCER.handles(notices.ConfigurationNeeded)
def on_configuration_wanted(
    state: State, stamp: events.Stamp, notice: notices.ConfigurationNeeded
) -> list[Any]:
    return [effects.Count('entry_configurations_wanted', ())]


@entry_state.NOTICE_REDUCER.handles(notices.StrikeAdded)
def on_strike_given(
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
    counted_by_agent: dict[str, list[str]] = {}
    for bill_id in notice.bill_ids:
        agent_id = state.agent_ids_by_bill.pop(bill_id, '')
        counted_by_agent.setdefault(agent_id, []).append(bill_id)
    return [
        effects.ConfirmBills(agent_id, tuple(bill_ids))
        for agent_id, bill_ids in counted_by_agent.items()
        if agent_id in state.agents_by_id
    ]


def expire_requests(state: State, stamp: events.Stamp) -> list[Any]:
    """Gives each request past its deadline its final answer."""
    outputs: list[Any] = []
    for item, failure in state.queue.remove_late(stamp):
        active = state.requests_by_id[item.id]
        outputs += entry_dispatch.refuse_unexecuted(
            state, stamp, active, failure
        )
    late = [
        active
        for active in state.requests_by_id.values()
        if active.phase != 'queued'
        and not active.detached
        and active.request.deadline_ms <= stamp.now_ms
    ]
    for active in late:
        outputs += expire_unqueued(state, stamp, active)
    return outputs


def expire_unqueued(
    state: State, stamp: events.Stamp, active: entry_state.ActiveRequest
) -> list[Any]:
    """Ends a request that passed its deadline outside the queue.

    A call that may not be repeated goes on, so that its outcome can be
    kept for the caller's next try; its caller is told that it may run.
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
    """Delivers the last whole answer and ends what still runs."""
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
    running = len(state.requests_by_id)
    return [
        effects.LogChange('stopping', {'requests': running}),
        *entry_state.apply_notices(state, stamp, state.bills.flush(stamp)),
        *exit_when_idle(state, stamp),
    ]


def exit_when_idle(state: State, stamp: events.Stamp) -> list[Any]:
    """Ends a stopping entry once its work is done and its bills counted."""
    if not state.stopping:
        return []
    busy = (
        state.requests_by_id
        or state.bills.pending_count()
        or state.ledger.pending_count()
    )
    if not busy or stamp.now_ms >= state.stop_deadline_ms:
        return [effects.Exit()]
    return []
