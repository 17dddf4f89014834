"""Handles an agent's exchange of configurations with its entries.

An agent makes no platform calls. It takes configurations from the entries
that are connected to it, and offers its own to those that are behind.
"""

from typing import Any

from ragwortgw_core import agent_state
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import head_difference
from ragwortgw_core import notices


@agent_state.REDUCER.handles(events.EntryConnected)
def on_entry_connected(
    state: agent_state.State, stamp: events.Stamp, event: events.EntryConnected
) -> list[Any]:
    state.entries_by_id[event.entry_id] = agent_state.EntryView(
        event.entry_id, event.revision
    )
    state.bill_copies.entry_connected(event.entry_id)
    outputs: list[Any] = [agent_state.new_report(state, event.entry_id)]
    if event.revision < state.revision:
        outputs.append(offer(state, event.entry_id))
    return outputs


def offer(
    state: agent_state.State, entry_id: str
) -> effects.OfferConfiguration:
    """Offers an entry the documents written since its revision."""
    changes = state.store.changes_since(state.entries_by_id[entry_id].revision)
    return effects.OfferConfiguration(
        entry_id,
        state.store.head_value,
        changes,
        state.store.advertised_at_ms,
    )


@agent_state.REDUCER.handles(events.EntryLost)
def on_entry_lost(
    state: agent_state.State, stamp: events.Stamp, event: events.EntryLost
) -> list[Any]:
    state.entries_by_id.pop(event.entry_id, None)
    state.bill_copies.entry_lost(stamp, event.entry_id)
    return []


@agent_state.REDUCER.handles(events.ConfigurationReceived)
def on_configuration(
    state: agent_state.State,
    stamp: events.Stamp,
    event: events.ConfigurationReceived,
) -> list[Any]:
    outputs = state.store.offer(
        stamp,
        event.head,
        event.documents,
        event.confirmed_at_ms,
        event.entry_id,
    )
    changed = any(
        isinstance(output, notices.ConfigurationChanged) for output in outputs
    )
    effects_out = [output for output in outputs if not is_notice(output)]
    if changed:
        effects_out += announce_configuration(state)
    return effects_out


@agent_state.REDUCER.handles(events.DifferenceReceived)
def on_difference(
    state: agent_state.State,
    stamp: events.Stamp,
    event: events.DifferenceReceived,
) -> list[Any]:
    head = head_difference.apply(state.store.head(), event.difference)
    if head is None:
        return [effects.Count('agent_differences_unusable', ())]
    received = events.ConfigurationReceived(
        event.entry_id, head, event.documents, event.confirmed_at_ms
    )
    return on_configuration(state, stamp, received)


def is_notice(output: Any) -> bool:
    """Returns whether an output of the store is a notice, not an effect."""
    return isinstance(
        output, notices.ConfigurationChanged | notices.ConfigurationNeeded
    )


def announce_configuration(state: agent_state.State) -> list[Any]:
    """Reports the new revision to all entries, without the documents.

    Most entries read the change from the platform service themselves.
    on_revision_hinted offers it to those whose next ping still has an
    older revision.
    """
    assert state.snapshot is not None
    state.fences.raise_floor(state.snapshot)
    return [
        agent_state.new_report(state),
        effects.Record('configuration', {'revision': state.revision}),
    ]


@agent_state.REDUCER.handles(events.RevisionHinted)
def on_revision_hinted(
    state: agent_state.State, stamp: events.Stamp, event: events.RevisionHinted
) -> list[Any]:
    entry = state.entries_by_id.get(event.source)
    if entry is None:
        return []
    state.entries_by_id[event.source] = entry._replace(
        revision=max(entry.revision, event.revision)
    )
    state.store.record_report(
        stamp, event.source, event.revision, event.confirmed_at_ms
    )
    if event.revision < state.revision:
        return [offer(state, event.source)]
    return []
