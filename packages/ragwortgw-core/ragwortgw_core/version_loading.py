"""Decides which versions a backend server has to load or unload, and when."""

from typing import NamedTuple

from ragwortgw_core import configuration

RETRY_INTERVAL_MS = 5_000
#: Range of the random delay of an order's first attempt.
SPREAD_MS = 2_000


class EngineOrder(NamedTuple):
    """An order to the backend server.

    Args:
      action: 'load' or 'unload'.
      version: Version id.
      fencing: Fencing token of the model's roll-out.
    """

    action: str
    version: str
    fencing: int


def needed_orders(
    snapshot: configuration.Snapshot, versions: tuple[str, ...]
) -> list[EngineOrder]:
    """Compares the loaded versions with those that the roll-outs require.

    Args:
      snapshot: The present configuration.
      versions: Version ids that the backend server has loaded.
    Returns: The orders that make up the difference.
    """
    models = {version.partition('@')[0] for version in versions}
    orders: list[EngineOrder] = []
    for model in sorted(models & snapshot.rollouts_by_id.keys()):
        rollout = snapshot.rollouts_by_id[model]
        candidate = rollout['candidate']
        required = rollout['state'] in ('running', 'paused', 'done')
        if required and candidate not in versions:
            orders.append(EngineOrder('load', candidate, rollout['fencing']))
    orders += needed_unloads(snapshot, versions)
    return orders


def needed_unloads(
    snapshot: configuration.Snapshot, versions: tuple[str, ...]
) -> list[EngineOrder]:
    """Returns unload orders for withdrawn versions; a model's last stays."""
    orders: list[EngineOrder] = []
    for version in versions:
        document = snapshot.versions_by_id.get(version)
        if document is None or document['state'] != 'withdrawn':
            continue
        model = document['model']
        same_model = [v for v in versions if v.partition('@')[0] == model]
        rollout = snapshot.rollouts_by_id.get(model)
        if rollout is None or len(same_model) < 2:
            continue
        orders.append(EngineOrder('unload', version, rollout['fencing']))
    return orders


class EngineOrderSchedule:
    """Schedules orders to the backend server, and retries them.

    The first attempt is delayed at random, because the store of model
    weights is rate-limited and all agents see a roll-out at the same time.
    """

    def __init__(self) -> None:
        self._due_at_ms_by_order: dict[EngineOrder, int] = {}

    def due(
        self,
        snapshot: configuration.Snapshot | None,
        versions: tuple[str, ...],
        now_ms: int,
        seed: int,
    ) -> list[EngineOrder]:
        """Returns the orders to send now.

        Args:
          snapshot: The present configuration; None if there is none.
          versions: Version ids that the backend server has loaded.
          now_ms: Unix ms.
          seed: Random bits for the delay of first attempts.
        Returns: The orders; each is retried until the loaded versions are
          as required.
        """
        needed = needed_orders(snapshot, versions) if snapshot else []
        previous = self._due_at_ms_by_order
        self._due_at_ms_by_order = {
            order: previous.get(order, now_ms + seed % SPREAD_MS)
            for order in needed
        }
        due_orders = [
            order
            for order, due_at_ms in self._due_at_ms_by_order.items()
            if now_ms >= due_at_ms
        ]
        for order in due_orders:
            self._due_at_ms_by_order[order] = now_ms + RETRY_INTERVAL_MS
        return due_orders
