"""Makes UUIDv7 ids and parses UUIDv7 ids and request ids."""

from typing import NamedTuple
import uuid

UUID_LENGTH = 36


class RequestId(NamedTuple):
    """The parts of a request id, '<incarnation>-<sequence>'."""

    incarnation: str
    sequence: int


def uuid7_ms(text: str) -> int | None:
    """Returns the time of a UUIDv7.

    Args:
      text: Canonical form, 36 characters.
    Returns: Unix ms; None if the text is not a UUIDv7.
    """
    if len(text) != UUID_LENGTH:
        return None
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != 7 or str(parsed) != text.lower():
        return None
    return parsed.int >> 80


def parse_request_id(text: str) -> RequestId | None:
    """Splits a request id; returns None if it is malformed."""
    incarnation, _, sequence = text.rpartition('-')
    if not incarnation or not sequence.isascii() or not sequence.isdigit():
        return None
    return RequestId(incarnation, int(sequence))


def new_uuid7(now_ms: int, seed: int) -> str:
    """Builds a UUIDv7.

    Args:
      now_ms: Unix ms.
      seed: 64 random bits.
    Returns: The canonical form.
    """
    low_bits = seed & ((1 << 62) - 1)
    value = (now_ms << 80) | (7 << 76) | (0b10 << 62) | low_bits
    return str(uuid.UUID(int=value))
