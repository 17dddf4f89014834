"""The agent's judgement of an attempt before its backend server sees it."""

from typing import Any, NamedTuple

from ragwortgw_core import configuration
from ragwortgw_core import errors
from ragwortgw_core import requests

RETRY_AFTER_MS = 500
INTERACTIVE_EXTRA_SLOTS = 2


class BackendState(NamedTuple):
    """What the agent knows of its backend server.

    running counts attempts in progress; alone tells that one of them must
    have the backend server for itself.
    """

    name: str
    versions: frozenset[str]
    slots: int
    running: int
    exclusive: bool
    healthy: bool
    leaving: bool


def check_attempt(
    snapshot: configuration.Snapshot | None,
    backend: BackendState,
    dispatch: requests.Dispatch,
    now_ms: int,
) -> Any | None:
    """Decides whether an attempt may run.

    Args:
      snapshot: The newest configuration that the agent holds.
      backend: State of the backend server.
      dispatch: The attempt.
      now_ms: Unix ms.
    Returns: The failure that refuses it, or None when it may run.
    """
    if backend.leaving:
        return errors.Stopping(RETRY_AFTER_MS)
    if snapshot is None:
        return errors.ConfigurationMissing(RETRY_AFTER_MS)
    if now_ms >= dispatch.deadline_ms:
        return errors.DeadlineExceeded(dispatch.deadline_ms, 'no')
    if backend.name in snapshot.drains_by_id:
        return errors.Draining(backend.name, RETRY_AFTER_MS)
    refused = check_permission(snapshot, dispatch)
    if refused is not None:
        return refused
    if dispatch.version not in backend.versions:
        return errors.VersionNotLoaded(dispatch.version)
    if not backend.healthy:
        return errors.NoBackendServer(dispatch.model, RETRY_AFTER_MS)
    return check_capacity(backend, dispatch)


def check_permission(
    snapshot: configuration.Snapshot, dispatch: requests.Dispatch
) -> Any | None:
    """Decides whether organisation and version go together.

    Args:
      snapshot: The newest configuration that the agent holds.
      dispatch: The attempt.
    Returns: The failure that refuses it, or None. Its type tells which of
      the two sides holds the older configuration.
    """
    organisation = snapshot.organisations_by_id.get(dispatch.organisation)
    if organisation is not None:
        versions = configuration.permitted_versions(
            snapshot, organisation, dispatch.model, dispatch.target
        )
        if any(version['id'] == dispatch.version for version in versions):
            return None
    if dispatch.revision > snapshot.revision:
        return errors.ConfigurationOlder(snapshot.revision)
    return errors.ConfigurationNewer(snapshot.revision)


def check_capacity(
    backend: BackendState, dispatch: requests.Dispatch
) -> errors.Overloaded | None:
    """Decides whether the backend server has room for an attempt.

    Args:
      backend: State of the backend server.
      dispatch: The attempt.
    Returns: Overloaded, or None when there is room.
    """
    limit = backend.slots
    if dispatch.priority == 'interactive':
        limit += INTERACTIVE_EXTRA_SLOTS
    if backend.exclusive or backend.running >= limit:
        return errors.Overloaded(RETRY_AFTER_MS)
    return None
