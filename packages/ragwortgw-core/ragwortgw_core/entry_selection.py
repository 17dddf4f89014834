"""Selection of model, version and agent for a request.

The cascade's plan gives the model of each stage, the roll-out and the
session pin the version, and routing the agent.
"""

from ragwortgw_core import cascades
from ragwortgw_core import configuration
from ragwortgw_core import documents
from ragwortgw_core import entry_state
from ragwortgw_core import events
from ragwortgw_core import request_classes
from ragwortgw_core import requests
from ragwortgw_core import rollouts
from ragwortgw_core import routing


#: Mean length of a token, for estimates.
CHARS_PER_TOKEN = 4


def plan_stages(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    snapshot: configuration.Snapshot,
) -> cascades.Plan | None:
    """Plans a request's cascade over the models that are usable now.

    Returns: The plan, or None when no model is usable.
    """
    assert active.cascade is not None
    usable = frozenset(
        model
        for model in active.cascade['stages']
        if model_is_usable(state, active, snapshot, model)
    )
    return cascades.plan(
        active.cascade,
        snapshot.models_by_id,
        state.quality,
        active.organisation['id'],
        request_class(active),
        estimate_input_tokens(active.request),
        usable,
        stamp,
    )


def model_is_usable(
    state: entry_state.State,
    active: entry_state.ActiveRequest,
    snapshot: configuration.Snapshot,
    model: str,
) -> bool:
    """Returns whether some agent has a permitted version of a model."""
    organisation = current_organisation(snapshot, active)
    permitted_ids = {
        version['id']
        for version in configuration.permitted_versions(
            snapshot, organisation, model, active.request.target
        )
    }
    return any(
        permitted_ids.intersection(agent.versions)
        for agent in state.agents_by_id.values()
    )


def request_class(active: entry_state.ActiveRequest) -> str:
    """Returns the class by which the request's ratings are grouped."""
    return request_classes.classify(
        active.request.prompt_chars, active.request.kind
    )


def estimate_input_tokens(request: requests.Request) -> int:
    """Estimates the prompt tokens of a request from its length."""
    return request.prompt_chars // CHARS_PER_TOKEN + 1


def allowed_versions(
    snapshot: configuration.Snapshot, active: entry_state.ActiveRequest
) -> list[documents.Version]:
    """Returns the versions that the request's present stage may use."""
    return configuration.permitted_versions(
        snapshot,
        current_organisation(snapshot, active),
        active.current_model,
        active.request.target,
    )


def current_organisation(
    snapshot: configuration.Snapshot, active: entry_state.ActiveRequest
) -> documents.Organisation:
    """Returns the request's organisation as it is configured now.

    One that was removed after the request was admitted has no permits.
    """
    admitted = active.organisation
    removed = documents.Organisation(**{**admitted, 'permits': []})
    return snapshot.organisations_by_id.get(admitted['id'], removed)


def select_agent(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> tuple[str, rollouts.PinnedVersion] | None:
    """Selects version and agent for a request's next attempt.

    Returns: The agent's id and the pinned version, or None when no agent
      has a free slot now.
    """
    snapshot = state.store.snapshot
    if snapshot is None or active.needed_revision > snapshot.revision:
        return None
    pinned = pin_version(state, snapshot, active, stamp)
    if pinned is None:
        return None
    candidates = [
        new_candidate(agent, active, stamp)
        for agent in eligible_agents(state, active, snapshot, stamp)
        if pinned.version in agent.versions
    ]
    if not candidates:
        return None
    affinity = active.session or active.request.prefix
    reserved_fraction = 0.0
    if active.item is not None:
        reserved_fraction = state.queue.reserved_fraction(active.item, stamp)
    agent_id = routing.choose_agent(
        candidates, affinity, state.zone, stamp, reserved_fraction
    )
    return None if agent_id is None else (agent_id, pinned)


def pin_version(
    state: entry_state.State,
    snapshot: configuration.Snapshot,
    active: entry_state.ActiveRequest,
    stamp: events.Stamp,
) -> rollouts.PinnedVersion | None:
    """Chooses the version that a request is served by.

    A session keeps its version. A stream that was interrupted is resumed
    on the version that began it.
    """
    if active.version and active.resume_offset:
        return rollouts.PinnedVersion(active.version, False)
    return rollouts.pin(
        snapshot.rollouts_by_id.get(active.current_model),
        allowed_versions(snapshot, active),
        active.session,
        stamp,
        permitted_version_ids(current_organisation(snapshot, active), active),
    )


def permitted_version_ids(
    organisation: documents.Organisation, active: entry_state.ActiveRequest
) -> frozenset[str] | None:
    """Returns the version ids that an organisation is restricted to.

    None means that it may use every version of the present stage's model.
    """
    permits = organisation['permits']
    model = active.current_model
    if model in permits or active.request.target in permits:
        return None
    return frozenset(
        permit for permit in permits if permit.partition('@')[0] == model
    )


def eligible_agents(
    state: entry_state.State,
    active: entry_state.ActiveRequest,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> list[entry_state.AgentView]:
    """Returns the agents that may serve the request's present stage.

    An interrupted stream is resumed at the same agent or not at all: the
    output of another engine would not continue the part already sent.
    """
    allowed_ids = {
        version['id'] for version in allowed_versions(snapshot, active)
    }
    return [
        agent
        for agent in state.agents_by_id.values()
        if allowed_ids.intersection(agent.versions)
        and (not active.relaying or agent.agent_id == active.agent_id)
        and not agent.draining
        and agent.backend not in snapshot.drains_by_id
        and state.membership.is_usable(agent.agent_id, stamp)
        and active.avoid_until_ms_by_agent.get(agent.agent_id, 0)
        <= stamp.now_ms
    ]


def new_candidate(
    agent: entry_state.AgentView,
    active: entry_state.ActiveRequest,
    stamp: events.Stamp,
) -> routing.Candidate:
    """Builds the routing candidate of an agent."""
    return agent.load_tracker.candidate(
        agent.agent_id,
        agent.zone,
        agent.slots,
        stamp.now_ms,
        active.request.prefix in agent.prefixes,
        agent.healthy,
    )
