"""Connections of an entry to its agents: state, configuration and bills.

Follows the agents' connections and load reports, brings their
configuration up to date, and handles what agents and peers relay
(strikes, bills, host lists, configurations).
"""

from collections.abc import Iterable
from typing import Any

from ragwortgw_core import effects
from ragwortgw_core import entry_attempts
from ragwortgw_core import entry_dispatch
from ragwortgw_core import entry_state
from ragwortgw_core import events
from ragwortgw_core import head_difference
from ragwortgw_core import notices

#: The most cached prompt prefixes that are tracked per agent.
MAX_PREFIXES = 4_096


@entry_state.REDUCER.handles(events.AgentConnected)
def on_agent_connected(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.AgentConnected,
) -> list[Any]:
    previous = state.agents_by_id.get(event.agent_id)
    agent = entry_state.AgentView(event)
    if previous is not None:
        agent.attempt_ids = previous.attempt_ids
        agent.load_tracker = previous.load_tracker
    state.agents_by_id[event.agent_id] = agent
    state.membership.record_connected(event.agent_id, stamp)
    outputs: list[Any] = [
        effects.LogChange(
            'agent connected',
            {'agent': event.agent_id, 'versions': event.versions},
        ),
        effects.Record('agent-connected', {'agent': event.agent_id}),
    ]
    outputs += apply_revision(state, stamp, event.agent_id, event.revision, 0)
    return [*outputs, *entry_dispatch.dispatch_queued(state, stamp)]


def send_configuration(
    state: entry_state.State, agent_id: str
) -> effects.SendConfiguration:
    """Sends an agent the configuration's head and the missing documents.

    The head lists all documents of a revision; it is sent complete.
    """
    changes = state.store.changes_since(state.agents_by_id[agent_id].revision)
    return effects.SendConfiguration(
        agent_id,
        state.store.head_value,
        changes,
        state.store.advertised_at_ms,
    )


def send_differences(
    state: entry_state.State, agents: Iterable[entry_state.AgentView]
) -> list[Any]:
    """Sends each agent the changes since the revision that it holds.

    An agent without any configuration gets the complete head. So does one
    that can not apply a difference: its next pong still reports the old
    revision. The difference from each revision is encoded only once.

    Args:
      state: The entry's state.
      agents: Agents that hold an older revision than the entry.
    Returns: SendDifference and SendConfiguration effects.
    """
    store = state.store
    differences_by_base: dict[int, effects.SendDifference] = {}
    outputs: list[Any] = []
    for agent in agents:
        base = agent.revision
        if not base:
            outputs.append(send_configuration(state, agent.agent_id))
            continue
        if base not in differences_by_base:
            differences_by_base[base] = effects.SendDifference(
                agent.agent_id,
                base,
                head_difference.encode(store.head(), store.head_value, base),
                store.changes_since(base),
                store.advertised_at_ms,
            )
        difference = differences_by_base[base]
        outputs.append(difference._replace(agent_id=agent.agent_id))
    return outputs


@entry_state.REDUCER.handles(events.AgentLost)
def on_agent_lost(
    state: entry_state.State, stamp: events.Stamp, event: events.AgentLost
) -> list[Any]:
    agent = state.agents_by_id.pop(event.agent_id, None)
    state.membership.record_lost(event.agent_id, stamp)
    if agent is None:
        return []
    return [
        effects.LogChange(
            'agent lost', {'agent': event.agent_id, 'reason': event.reason}
        ),
        effects.Record('agent-lost', {'agent': event.agent_id}),
    ]


@entry_state.REDUCER.handles(events.AgentReported)
def on_agent_reported(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.AgentReported,
) -> list[Any]:
    agent = state.agents_by_id.get(event.agent_id)
    if agent is None:
        return []
    agent.load = event.load
    load = event.load
    agent.load_tracker.apply_report(
        load.running + load.waiting, load.slots, load.at_ms, stamp.now_ms
    )
    agent.versions = event.versions
    agent.healthy = event.healthy
    agent.draining = event.draining
    state.membership.record_report(event.agent_id, stamp)
    outputs = apply_revision(state, stamp, event.agent_id, event.revision, 0)
    return [*outputs, *entry_dispatch.dispatch_queued(state, stamp)]


def apply_revision(
    state: entry_state.State,
    stamp: events.Stamp,
    source: str,
    revision: int,
    confirmed_at_ms: int,
) -> list[Any]:
    """Compares the revision of an agent or peer with the entry's own.

    An agent that is behind is sent the configuration.

    Args:
      state: The entry's state.
      stamp: Time and randomness of the event.
      source: Id of the agent or peer.
      revision: Revision of the configuration that it holds.
      confirmed_at_ms: When it last confirmed that revision as the newest,
        Unix ms; 0 where unknown.
    Returns: The effects.
    """
    outputs = entry_state.apply_notices(
        state,
        stamp,
        state.store.record_report(stamp, source, revision, confirmed_at_ms),
    )
    agent = state.agents_by_id.get(source)
    if agent is None:
        return outputs
    agent.revision = revision
    if revision < state.store.revision:
        outputs.append(send_configuration(state, source))
    return outputs


@entry_state.REDUCER.handles(events.AgentLeaving)
def on_agent_leaving(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.AgentLeaving,
) -> list[Any]:
    state.membership.record_leaving(event.agent_id, stamp)
    agent = state.agents_by_id.get(event.agent_id)
    if agent is not None:
        agent.draining = True
    return [effects.LogChange('agent leaving', {'agent': event.agent_id})]


@entry_state.REDUCER.handles(events.PrefixCached)
def on_prefix_cached(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.PrefixCached,
) -> list[Any]:
    agent = state.agents_by_id.get(event.agent_id)
    if agent is None:
        return []
    agent.prefixes.pop(event.prefix, None)
    if event.present:
        agent.prefixes[event.prefix] = None
    if len(agent.prefixes) > MAX_PREFIXES:
        agent.prefixes.popitem(last=False)
    return []


@entry_state.REDUCER.handles(events.RevisionHinted)
def on_revision_hinted(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.RevisionHinted,
) -> list[Any]:
    state.membership.record_report(event.source, stamp)
    return apply_revision(
        state, stamp, event.source, event.revision, event.confirmed_at_ms
    )


@entry_state.REDUCER.handles(events.HostsOffered)
def on_hosts_offered(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.HostsOffered,
) -> list[Any]:
    outputs = state.hosts.on_peer_list(stamp, event.hosts)
    return entry_state.apply_notices(state, stamp, outputs)


@entry_state.REDUCER.handles(events.ConfigurationOffered)
def on_configuration_offered(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.ConfigurationOffered,
) -> list[Any]:
    outputs = state.store.offer(
        stamp, event.head, event.documents, source=event.source
    )
    return entry_state.apply_notices(state, stamp, outputs)


@entry_state.REDUCER.handles(events.StrikeReceived)
def on_strike(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.StrikeReceived,
) -> list[Any]:
    notice = notices.StrikeAdded(
        event.fingerprint, event.crash_id, event.members
    )
    outputs = state.strikes.record_report(stamp, notice)
    return entry_state.apply_notices(state, stamp, outputs)


@entry_state.REDUCER.handles(events.ReceiptOffered)
def on_receipts(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.ReceiptOffered,
) -> list[Any]:
    outputs: list[Any] = []
    for bill in event.bills:
        state.agent_ids_by_bill[bill.id] = event.agent_id
        bill_outputs = state.bills.add(stamp, bill)
        outputs += entry_state.apply_notices(state, stamp, bill_outputs)
    return outputs


@entry_state.REDUCER.handles(events.CallerGone)
def on_caller_gone(
    state: entry_state.State, stamp: events.Stamp, event: events.CallerGone
) -> list[Any]:
    active = state.requests_by_id.get(event.request_id)
    if active is None:
        return []
    count = effects.Count('entry_callers_gone', ())
    if not active.repeatable and active.phase == 'running':
        active.detached = True
        return [count]
    return [count, *cancel_request(state, stamp, active)]


def cancel_request(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> list[Any]:
    """Cancels a request whose caller is gone or has been answered.

    A request whose idempotency key is still being claimed is only marked
    as detached: its claim is released once it has been granted.
    """
    outputs: list[Any] = []
    if active.phase == 'running':
        entry_attempts.end_attempt(state, stamp, active)
        outputs.append(effects.CancelAttempt(active.attempt_id))
    active.detached = True
    if active.phase == 'claiming':
        return outputs
    if not active.repeatable:
        ledger_outputs = state.ledger.release(
            stamp, active.request.idempotency_key
        )
        outputs += entry_state.apply_notices(state, stamp, ledger_outputs)
    return [
        *outputs,
        *entry_dispatch.remove_request(state, stamp, active),
        *entry_dispatch.dispatch_queued(state, stamp),
    ]
