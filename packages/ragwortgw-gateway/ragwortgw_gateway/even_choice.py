"""Chooses among servers when others choose at the same moment.

What a gateway knows of the servers is a little old, and others have sent
work meanwhile. If each took the server with the least score, all would take
the same one, until the next reports. Here a gateway takes the work that the
others have sent since, as far as it is not known where, and pours it over
the servers like water: the servers with the least scores fill up to one
level. It draws a server by how much of it fits there, so that gateways that
all draw like this fill the servers evenly. A server above the level is not
drawn, nor one that has less of the prompt cached than the best one. Without
unknown work it is the server with the least score.

After Goren, Vargaftik and Moses, "Distributed dispatching in the parallel
server model" (2021).
"""

from collections.abc import Sequence


def fill_level(
    scores: Sequence[float], weights: Sequence[float], work: float
) -> float:
    """Returns the score up to which some work fills servers.

    Args:
      scores: Score of each server, in ms, at least one.
      weights: How much work raises the score of each by 1 ms.
      work: Work to be divided, in the unit of the weights.
    """
    order = sorted(range(len(scores)), key=scores.__getitem__)
    level = scores[order[0]]
    weight = 0.0
    left = work
    for place, index in enumerate(order):
        weight += weights[index]
        following = order[place + 1 : place + 2]
        if not following:
            break
        room = (scores[following[0]] - level) * weight
        if room >= left:
            break
        left -= room
        level = scores[following[0]]
    return level + left / weight


def choose(
    scores: Sequence[float],
    weights: Sequence[float],
    unknown_work: float,
    draw: float,
    uncached: Sequence[int] | None = None,
) -> int:
    """Chooses a server.

    Args:
      scores: Score of each server, in ms, at least one; the least is best.
      weights: How much work raises the score of each by 1 ms.
      unknown_work: Work that others have sent and of which it is not known
        where, in the unit of the weights.
      draw: Random number, at least 0 and below 1.
      uncached: Tokens that each server has to prefill, None if they have
        none. One with more than the best has is not drawn: evenness by
        repeated prefill is no gain.
    Returns: Index of the server.
    """
    best = min(range(len(scores)), key=scores.__getitem__)
    if unknown_work <= 0:
        return best
    level = fill_level(scores, weights, unknown_work)
    rooms = [
        max(0.0, level - score) * weight
        for score, weight in zip(scores, weights, strict=True)
    ]
    if uncached is not None:
        rooms = [
            room if tokens <= uncached[best] else 0.0
            for room, tokens in zip(rooms, uncached, strict=True)
        ]
    left = draw * sum(rooms)
    for index, room in enumerate(rooms):
        left -= room
        if left < 0:
            return index
    return best
