"""The agent's admission check of an attempt.

It is the last check before the backend server and relies only on the
agent's own configuration, so that an entry with an outdated one can not
run work that is no longer permitted.
"""

from typing import Any, NamedTuple

from ragwortgw_core import configuration
from ragwortgw_core import errors
from ragwortgw_core import requests

RETRY_AFTER_MS = 500
#: Attempts beyond the slots up to which interactive ones are admitted.
INTERACTIVE_EXTRA_SLOTS = 2


class BackendState(NamedTuple):
    """State of the agent's backend server.

    Args:
      name: Name of the backend server.
      versions: Version ids that it has loaded.
      slots: Number of attempts that it runs concurrently.
      running: Number of attempts in progress.
      exclusive: Whether one of these must run with no other beside it.
      healthy: Whether it is up and reports its load.
      leaving: Whether the agent is stopping.
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
      snapshot: The agent's configuration; None if there is none.
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
    """Decides whether the organisation may use the attempt's version.

    Args:
      snapshot: The agent's configuration.
      dispatch: The attempt.
    Returns: The failure that refuses it, or None. The type says whether
      the agent's or the entry's configuration is the older one.
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
    """Decides whether the backend server has capacity for an attempt.

    Args:
      backend: State of the backend server.
      dispatch: The attempt.
    Returns: Overloaded, or None when there is capacity.
    """
    limit = backend.slots
    if dispatch.priority == 'interactive':
        limit += INTERACTIVE_EXTRA_SLOTS
    if backend.exclusive or backend.running >= limit:
        return errors.Overloaded(RETRY_AFTER_MS)
    return None
