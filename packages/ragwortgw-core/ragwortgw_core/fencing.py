"""Highest fencing numbers seen, by version."""

from ragwortgw_core import configuration


class FencingTable:
    """Refuses orders whose fencing number is older than one seen before.

    The floor comes from the configuration, so that an agent that lost its
    memory in a restart still refuses what a roll-out has passed.
    """

    def __init__(self) -> None:
        self._highest_by_model: dict[str, int] = {}

    def raise_floor(self, snapshot: configuration.Snapshot) -> None:
        """Takes over the fencing numbers of the configured roll-outs."""
        for model, rollout in snapshot.rollouts_by_id.items():
            self._raise(model, rollout['fencing'])

    def admit(self, version: str, fencing: int) -> bool:
        """Decides on an order.

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
