"""Hybrid logical times on the messages between processes."""

from typing import Any

from ragwortgw_server import timeline

#: A stamp further ahead of the clock is not followed.
MAX_AHEAD_MS = 24 * 3_600_000


def put(message: Any, line: timeline.Timeline | None) -> Any:
    """Stamps a message that is about to be sent.

    Args:
      message: A message with the fields stamp_ms and stamp_order.
      line: The time line of the process, None where there is none.
    Returns: The same message.
    """
    if line is not None:
        message.stamp_ms, message.stamp_order = line.stamp()
    return message


def take(message: Any, line: timeline.Timeline | None) -> None:
    """Follows the stamp of a message, so that later events come after it.

    Args:
      message: A message that put() may have stamped.
      line: The time line of the process, None where there is none.
    """
    if line is None or not message.stamp_ms:
        return
    if message.stamp_ms > line.now_ms() + MAX_AHEAD_MS:
        return
    line.observe(timeline.HybridStamp(message.stamp_ms, message.stamp_order))
