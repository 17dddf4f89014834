"""The agent's reducer: engine state, bills, version loading and shutdown.

An agent runs beside one backend server ("engine"), decides whether each
attempt may run there and reports its load to the entries. Attempts are
handled in agent_attempts, configuration in agent_configuration.
"""

from typing import Any

from ragwortgw_core import agent_attempts
from ragwortgw_core import agent_configuration
from ragwortgw_core import agent_state
from ragwortgw_core import effects
from ragwortgw_core import events

Options = agent_state.Options
State = agent_state.State
REDUCER = agent_state.REDUCER

HANDLER_MODULES = (agent_attempts, agent_configuration)


def new_agent(
    agent_id: str,
    backend: str,
    zone: str,
    versions: tuple[str, ...],
    slots: int,
    options: Options,
) -> State:
    """Builds the initial state of an agent process.

    Args:
      agent_id: Id of the agent in the host list.
      backend: Name of its backend server.
      zone: Availability zone.
      versions: Version ids that the backend server has loaded.
      slots: Number of attempts that it runs concurrently.
      options: Intervals and timeouts.
    Returns: The state.
    """
    return State(agent_id, backend, zone, versions, slots, options)


def describe(state: State, now_ms: int) -> dict[str, Any]:
    """Returns the agent's state as plain values, for the admin API."""
    return {
        'agent': state.agent_id,
        'backend': state.backend,
        'zone': state.zone,
        'revision': state.revision,
        'confirmed_age_ms': now_ms - state.store.confirmed_at_ms,
        'versions': list(state.versions),
        'running': len(state.attempts_by_id),
        'slots': state.slots,
        'healthy': state.healthy,
        'leaving': state.leaving,
        'entries': sorted(state.entries_by_id),
    }


@REDUCER.handles(events.EngineReported)
def on_engine_reported(
    state: State, stamp: events.Stamp, event: events.EngineReported
) -> list[Any]:
    if event.load is None:
        return check_engine_silence(state, stamp)
    changed = (
        event.incarnation != state.engine_incarnation
        or event.versions != state.versions
    )
    state.load = event.load
    state.versions = event.versions
    state.engine_incarnation = event.incarnation
    state.engine_last_seen_at_ms = stamp.now_ms
    if not changed:
        return []
    return [
        agent_state.new_report(state),
        effects.LogChange(
            'backend server up',
            {'incarnation': event.incarnation, 'versions': event.versions},
        ),
    ]


def check_engine_silence(state: State, stamp: events.Stamp) -> list[Any]:
    """Marks the backend server unhealthy after a timeout without reports."""
    deadline_ms = (
        state.engine_last_seen_at_ms + state.options.engine_silence_ms
    )
    if not state.healthy or stamp.now_ms < deadline_ms:
        return []
    state.engine_incarnation = ''
    return [
        agent_state.new_report(state),
        effects.LogChange('backend server silent', {}),
    ]


@REDUCER.handles(events.EngineOrderAnswered)
def on_engine_order_answered(
    state: State,
    stamp: events.Stamp,
    event: events.EngineOrderAnswered,
) -> list[Any]:
    if not event.done:
        return [effects.Count('agent_failed_orders', ())]
    other_versions = tuple(v for v in state.versions if v != event.version)
    state.versions = other_versions
    if event.action == 'load':
        state.versions = (*other_versions, event.version)
    return [agent_state.new_report(state)]


@REDUCER.handles(events.BillReceived)
def on_bill(
    state: State, stamp: events.Stamp, event: events.BillReceived
) -> list[Any]:
    return state.bill_copies.add_bill(stamp, event.entry_id, event.bill)


@REDUCER.handles(events.BillsFlushed)
def on_bills_flushed(
    state: State, stamp: events.Stamp, event: events.BillsFlushed
) -> list[Any]:
    state.bill_copies.remove_counted(event.bill_ids)
    return agent_state.exit_when_idle(state, stamp)


@REDUCER.handles(events.StopRequested)
def on_stop(
    state: State, stamp: events.Stamp, event: events.StopRequested
) -> list[Any]:
    if state.leaving:
        return []
    state.leaving = True
    state.stop_deadline_ms = stamp.now_ms + state.options.stop_ms
    return [
        effects.AnnounceLeaving(),
        effects.LogChange('stopping', {'running': len(state.attempts_by_id)}),
        *agent_state.exit_when_idle(state, stamp),
    ]


@REDUCER.handles(events.Tick)
def on_tick(
    state: State, stamp: events.Stamp, event: events.Tick
) -> list[Any]:
    outputs = agent_state.exit_when_idle(state, stamp)
    if stamp.now_ms < state.report_deadline_ms:
        return outputs
    state.report_deadline_ms = stamp.now_ms + state.options.report_interval_ms
    outputs.append(agent_state.new_report(state))
    outputs += check_engine_silence(state, stamp)
    outputs += offer_orphaned_bills(state, stamp)
    outputs += order_version_changes(state, stamp)
    return outputs


def order_version_changes(state: State, stamp: events.Stamp) -> list[Any]:
    """Sends the load and unload orders that the roll-outs require now."""
    due = state.engine_orders.due(
        state.snapshot, state.versions, stamp.now_ms, stamp.seed
    )
    return [
        effects.OrderEngine(order.action, order.version, order.fencing)
        for order in due
        if state.fences.admit(order.version, order.fencing)
    ]


def offer_orphaned_bills(state: State, stamp: events.Stamp) -> list[Any]:
    """Offers the bills of lost entries to a random connected entry."""
    if not state.entries_by_id:
        return []
    bills = state.bill_copies.bills_to_offer(stamp)
    if not bills:
        return []
    entry_ids = sorted(state.entries_by_id)
    chosen_id = entry_ids[stamp.seed % len(entry_ids)]
    return [effects.OfferReceipts(chosen_id, tuple(bills))]
