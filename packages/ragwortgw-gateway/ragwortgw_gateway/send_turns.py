"""Turns in which gateways send to a server that takes few requests a second.

Each of N gateways has a turn at every N-th step of 1 / rate, in an order that
the server's id determines. A turn allows one request and lapses if it isn't
used for some time. So the sum over all gateways keeps to the rate without any
message between them: in a second, no more turns can be used than begin in it
or began so shortly before that they have not lapsed.
"""

from collections.abc import Sequence
import math
from typing import NamedTuple

import xxhash

MS_PER_S = 1_000
#: Part of what a bound allows beyond the rate that turns may use by being
#: taken late. The rest is for gateways that disagree on their number.
LATE_FRACTION = 0.5
#: A turn lasts at least this long, so that a gateway notices it.
MIN_LASTING_MS = 100.0
MAX_LASTING_MS = 1_000.0


class Turns(NamedTuple):
    """The turns of one gateway at one server.

    Args:
      first_ms: When its first turn begins.
      interval_ms: Time from one turn to the next.
      lasting_ms: Time after which a turn lapses.
    """

    first_ms: float
    interval_ms: float
    lasting_ms: float

    def next_ms(self, taken_ms: float, now_ms: int) -> float:
        """Returns when the next turn begins that can be taken.

        Args:
          taken_ms: When the turn began that was taken last. Where turns have
            moved since, for another number of gateways, the next one is at
            least half an interval later.
          now_ms: The time.
        Returns: The time; a turn that can be taken now began before.
        """
        after_ms = max(
            now_ms - self.lasting_ms, taken_ms + self.interval_ms / 2
        )
        number = math.floor((after_ms - self.first_ms) / self.interval_ms) + 1
        return self.first_ms + max(0, number) * self.interval_ms


def turns(
    position: int,
    count: int,
    origin_ms: float,
    per_s: float,
    most_per_s: float,
) -> Turns:
    """Returns the turns of a gateway at a server.

    Args:
      position: Its place in the order of the gateways.
      count: Number of gateways.
      origin_ms: When the first turn of the first gateway begins.
      per_s: Requests a second that all gateways may send.
      most_per_s: Bound on the requests in any one second.
    """
    step_ms = MS_PER_S / per_s
    return Turns(
        origin_ms + position * step_ms,
        count * step_ms,
        lasting_ms(per_s, most_per_s),
    )


def position(server_id: str, host_id: str, members: Sequence[str]) -> int:
    """Returns the place of a gateway in the order of turns at a server.

    Args:
      server_id: The server.
      host_id: The gateway.
      members: Gateways that take turns.
    """
    own_rank = _rank(server_id, host_id)
    return sum(_rank(server_id, member) < own_rank for member in members)


def lasting_ms(per_s: float, most_per_s: float) -> float:
    """Returns the time after which a turn may lapse.

    Args:
      per_s: Rate of the turns of all gateways.
      most_per_s: Bound on the requests in any one second.
    """
    spare = LATE_FRACTION * max(0.0, most_per_s - per_s - 1)
    lasting = MS_PER_S * spare / per_s
    return min(MAX_LASTING_MS, max(MIN_LASTING_MS, lasting))


def _rank(server_id: str, host_id: str) -> int:
    return xxhash.xxh64_intdigest(f'{server_id} {host_id}'.encode())
