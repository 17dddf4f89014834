"""How an entry chooses model, version and agent for a request."""

from ragwortgw_core import cascades
from ragwortgw_core import configuration
from ragwortgw_core import documents
from ragwortgw_core import entry_state
from ragwortgw_core import events
from ragwortgw_core import request_classes
from ragwortgw_core import requests
from ragwortgw_core import rollouts
from ragwortgw_core import routing


CHARS_PER_TOKEN = 4


def plan_stages(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
    snapshot: configuration.Snapshot,
) -> cascades.Plan | None:
    """Plans the cascade of a request over the models that are usable."""
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
    """Returns whether a permitted version of a model is loaded somewhere."""
    organisation = current_organisation(snapshot, active)
    ready = {
        version['id']
        for version in configuration.permitted_versions(
            snapshot, organisation, model, active.request.target
        )
    }
    return any(
        ready.intersection(agent.versions)
        for agent in state.agents_by_id.values()
    )


def request_class(active: entry_state.ActiveRequest) -> str:
    """Returns the class under which the request's ratings are pooled."""
    return request_classes.classify(
        active.request.prompt_chars, active.request.kind
    )


def estimate_input_tokens(request: requests.Request) -> int:
    """Estimates the input tokens of a request from its length."""
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

    One that is gone since the request came may use nothing any more.
    """
    admitted = active.organisation
    gone = documents.Organisation(**{**admitted, 'permits': []})
    return snapshot.organisations_by_id.get(admitted['id'], gone)


def select_agent(
    state: entry_state.State,
    stamp: events.Stamp,
    active: entry_state.ActiveRequest,
) -> tuple[str, rollouts.PinnedVersion] | None:
    """Chooses version and agent for a request.

    Returns: The agent's id and the pinned version, or None when no agent
      has room now.
    """
    snapshot = state.store.snapshot
    if snapshot is None:
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
    reserved_share = 0.0
    if active.item is not None:
        reserved_share = state.queue.reserved_fraction(active.item, stamp)
    agent_id = routing.choose_agent(
        candidates, affinity, state.zone, stamp, reserved_share
    )
    return None if agent_id is None else (agent_id, pinned)


def pin_version(
    state: entry_state.State,
    snapshot: configuration.Snapshot,
    active: entry_state.ActiveRequest,
    stamp: events.Stamp,
) -> rollouts.PinnedVersion | None:
    """Chooses the version of a request; a session stays on its own."""
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
    """Returns the version ids that an organisation is bound to.

    None means that it may use every version of the present stage.
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
    """Returns the agents that may take the request's present stage.

    A stream that broke off goes on at the same agent or not at all: a
    continuation from another engine would not fit what was sent.
    """
    ready = {version['id'] for version in allowed_versions(snapshot, active)}
    return [
        agent
        for agent in state.agents_by_id.values()
        if ready.intersection(agent.versions)
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
    """Builds the routing view of an agent."""
    return agent.load_tracker.candidate(
        agent.agent_id,
        agent.zone,
        agent.slots,
        stamp.now_ms,
        active.request.prefix in agent.prefixes,
        agent.healthy,
    )
