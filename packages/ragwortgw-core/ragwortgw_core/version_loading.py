"""Which versions a backend server should load or unload."""

from typing import NamedTuple

from ragwortgw_core import configuration

RETRY_INTERVAL_MS = 5_000
SPREAD_MS = 2_000


class EngineOrder(NamedTuple):
    """An order that the backend server should carry out."""

    action: str
    version: str
    fencing: int


def needed_orders(
    snapshot: configuration.Snapshot, versions: tuple[str, ...]
) -> list[EngineOrder]:
    """Compares what is loaded with what the roll-outs want loaded.

    Args:
      snapshot: The configuration in force.
      versions: Version ids that the backend server has loaded.
    Returns: The orders that are missing.
    """
    models = {version.partition('@')[0] for version in versions}
    due: list[EngineOrder] = []
    for model in sorted(models & snapshot.rollouts_by_id.keys()):
        rollout = snapshot.rollouts_by_id[model]
        candidate = rollout['candidate']
        wanted = rollout['state'] in ('running', 'paused', 'done')
        if wanted and candidate not in versions:
            due.append(EngineOrder('load', candidate, rollout['fencing']))
    due += needed_unloads(snapshot, versions)
    return due


def needed_unloads(
    snapshot: configuration.Snapshot, versions: tuple[str, ...]
) -> list[EngineOrder]:
    """Finds withdrawn versions to unload; a model's last one stays."""
    due: list[EngineOrder] = []
    for version in versions:
        document = snapshot.versions_by_id.get(version)
        if document is None or document['state'] != 'withdrawn':
            continue
        model = document['model']
        others = [v for v in versions if v.partition('@')[0] == model]
        rollout = snapshot.rollouts_by_id.get(model)
        if rollout is None or len(others) < 2:
            continue
        due.append(EngineOrder('unload', version, rollout['fencing']))
    return due


class EngineOrderSchedule:
    """Spreads orders to load over time, since weights are rate-limited."""

    def __init__(self) -> None:
        self._deadlines_by_order: dict[EngineOrder, int] = {}

    def due(
        self,
        snapshot: configuration.Snapshot | None,
        versions: tuple[str, ...],
        now_ms: int,
        seed: int,
    ) -> list[EngineOrder]:
        """Returns the orders to send now.

        Args:
          snapshot: The configuration in force; None where there is none.
          versions: Version ids that the backend server has loaded.
          now_ms: Unix ms.
          seed: Random bits that spread the first try over agents.
        Returns: Orders; each is repeated until the version list fits.
        """
        wanted = needed_orders(snapshot, versions) if snapshot else []
        known = self._deadlines_by_order
        self._deadlines_by_order = {
            order: known.get(order, now_ms + seed % SPREAD_MS)
            for order in wanted
        }
        ready = [
            order
            for order, deadline_ms in self._deadlines_by_order.items()
            if now_ms >= deadline_ms
        ]
        for order in ready:
            self._deadlines_by_order[order] = now_ms + RETRY_INTERVAL_MS
        return ready
