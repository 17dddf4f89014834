"""Draws the server of a plain request.

It answers few servers with few slots before many gateways. What other
gateways send to plain servers is not reported, so that the server that looks
best is the same for all of them, and each choice of it is made by all at
once. A draw that prefers quick servers spreads the requests by speed, and
each server still gets some, by which its speed is learned.
"""

from collections.abc import Sequence

#: Exponent of a server's speed in its weight. With 1 slow servers would get
#: nearly as many requests as quick ones, with a high one all requests go
#: to the quickest server.
SPEED_EXPONENT = 2.0


def draw(times_ms: Sequence[float], fraction: float) -> int:
    """Draws a server; quicker ones are likelier.

    Args:
      times_ms: Expected time of the request at each server, more than 0.
      fraction: Random number from 0 to less than 1; 0 draws the quickest.
    Returns: Position of the server.
    """
    positions = sorted(range(len(times_ms)), key=times_ms.__getitem__)
    weights = [
        (times_ms[positions[0]] / times_ms[position]) ** SPEED_EXPONENT
        for position in positions
    ]
    rest = fraction * sum(weights)
    for position, weight in zip(positions, weights, strict=True):
        rest -= weight
        if rest < 0:
            return position
    return positions[-1]
