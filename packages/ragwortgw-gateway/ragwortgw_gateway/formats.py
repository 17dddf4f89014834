"""Interface to a deployment's keys and encodings in the store."""

from typing import Protocol

from ragwortgw_core import platform
from ragwortgw_gateway import documents


class Formats(Protocol):
    """Keys and encodings of a deployment's store.

    A decoder returns None for a value that it can't decode or that is of
    another type; such a value is ignored.

    Attributes:
      operator_prefix: Prefix of the keys that operators write.
      server_prefix: Prefix of the keys that backend servers write.
      own_prefix: Prefix of the keys that gateways write.
      configuration_key: Key of the configuration.
    """

    operator_prefix: str
    server_prefix: str
    own_prefix: str
    configuration_key: str

    def read_configuration(
        self, found: platform.Found
    ) -> documents.Configuration | None:
        """Decodes the configuration."""

    def read_server(
        self, found: platform.Found
    ) -> documents.BackendServer | None:
        """Decodes the registration of a backend server."""

    def read_order(
        self, found: platform.Found
    ) -> documents.RolloutOrder | None:
        """Decodes the order of a roll-out."""

    def evacuated_zone(self, key: str) -> str:
        """Returns the availability zone whose evacuation a key orders.

        The key alone is the order, whatever its value.

        Returns: The zone, '' if the key orders none.
        """

    def rollout_status_key(self, service: str) -> str:
        """Returns the key of a roll-out's status for operators."""

    def write_rollout_status(
        self, order: documents.RolloutOrder, phase: str
    ) -> bytes:
        """Encodes the status of a roll-out for operators.

        Args:
          order: The order.
          phase: 'running', 'complete' or 'reverted'.
        Returns: The encoded value.
        """
