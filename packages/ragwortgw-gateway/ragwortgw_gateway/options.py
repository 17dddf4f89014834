"""Limits of a gateway that come from its settings."""

from collections.abc import Mapping
import types
from typing import NamedTuple


class Options(NamedTuple):
    """Limits of a gateway.

    Args:
      retry_ratio: Retries per request that all gateways together may send to
        a service.
      retry_slack: Further retries that they may send in a window.
      retry_window_ms: Length of the sliding window of the retry budget.
      exposure_share: Share of a service's requests that a bad version may
        get.
      session_lifetime_ms: Time after its last request at which a session
        ends.
      stop_ms: Time that a planned stop may take.
      drain_ms: Time after which no request may reach a server that has
        announced that it leaves.
      heartbeat_ms: Interval at which backend servers renew their
        registrations.
      regions_by_zone: Region of each availability zone.
      cold_overrun: Requests that a cold server bears in one second, as a
        multiple of those that it takes.
      cold_tolerance: Requests that it bears in one second besides.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_ms: int = 10_000
    exposure_share: float = 0.1
    session_lifetime_ms: int = 300_000
    stop_ms: int = 8_000
    drain_ms: int = 2_000
    heartbeat_ms: int = 1_200
    regions_by_zone: Mapping[str, str] = types.MappingProxyType({})
    cold_overrun: float = 1.0
    cold_tolerance: float = 0.0
