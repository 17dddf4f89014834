"""Values of a gateway's store as JSON of the gateway's own documents."""

from typing import Any, TypeVar

import msgspec

from ragwortgw_core import decoding
from ragwortgw_core import platform
from ragwortgw_gateway import documents

Document = TypeVar('Document')


class JsonFormats:
    """Formats for tests and simulations, without a deployment."""

    operator_prefix = 'orders/'
    server_prefix = 'servers/'
    own_prefix = 'gateways/'
    configuration_key = 'orders/configuration'
    evacuation_prefix = 'orders/evacuations/'

    def read_configuration(
        self, found: platform.Found
    ) -> documents.Configuration | None:
        """Reads a configuration; None if it is none."""
        return _read(found, documents.Configuration)

    def read_server(
        self, found: platform.Found
    ) -> documents.BackendServer | None:
        """Reads a backend server's entry; None if it is none."""
        return _read(found, documents.BackendServer)

    def read_order(
        self, found: platform.Found
    ) -> documents.RolloutOrder | None:
        """Reads an order of a roll-out; None if it is none."""
        order = _read(found, documents.RolloutOrder)
        return order and order._replace(revision=found.revision)

    def evacuated_zone(self, key: str) -> str:
        """Returns the zone whose evacuation a key orders, '' for none."""
        if not key.startswith(self.evacuation_prefix):
            return ''
        return key[len(self.evacuation_prefix) :]

    def rollout_status_key(self, service: str) -> str:
        """Returns where operators read how far a roll-out is."""
        return f'status/{service}'

    def write_rollout_status(
        self, order: documents.RolloutOrder, phase: str
    ) -> bytes:
        """Writes how far a roll-out is."""
        return phase.encode()


def _read(found: platform.Found, kind: type[Document]) -> Document | None:
    try:
        return decoding.from_json(found.value, kind)
    except decoding.Undecodable:
        return None


def make_found(key: str, value: Any, revision: int) -> platform.Found:
    """Makes a value of the store; bytes are taken as they are."""
    data = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return platform.Found(key, data, revision)
