"""Rejects orders with outdated fencing numbers, by model.

The fencing number of a roll-out rises with each step, so an order with a
lower one was issued before a step that is already known here.
"""

from ragwortgw_core import configuration


class FencingTable:
    """Refuses orders whose fencing number is lower than one seen before.

    The minimum comes from the configuration, so that a restarted agent,
    which has lost its memory, still refuses outdated orders.
    """

    def __init__(self) -> None:
        self._highest_by_model: dict[str, int] = {}

    def raise_floor(self, snapshot: configuration.Snapshot) -> None:
        """Raises the minimum to the fencing numbers of a configuration."""
        for model, rollout in snapshot.rollouts_by_id.items():
            self._raise(model, rollout['fencing'])

    def admit(self, version: str, fencing: int) -> bool:
        """Checks an order and raises the minimum to its fencing number.

        Args:
          version: Version id, 'model@version'.
          fencing: Fencing number of the order.
        Returns: Whether the order may be carried out.
        """
        model = version.partition('@')[0]
        if fencing < self._highest_by_model.get(model, 0):
            return False
        self._raise(model, fencing)
        return True

    def _raise(self, model: str, fencing: int) -> None:
        highest = self._highest_by_model.get(model, 0)
        self._highest_by_model[model] = max(highest, fencing)
