"""Decoding of JSON and MessagePack from outside the process.

msgspec raises other errors than its own for some input, such as
RecursionError for deep nesting; here each of them is Undecodable.
"""

from collections.abc import Callable
from typing import Any

import msgspec


class Undecodable(ValueError):
    """The bytes are no value of the wanted type."""


def from_json(data: bytes, type_: Any = Any) -> Any:
    """Decodes JSON.

    Args:
      data: The bytes.
      type_: Type of the value, as msgspec takes it.
    Returns: The value.
    Raises:
      Undecodable: The bytes are no value of that type.
    """
    return _decode(msgspec.json.decode, data, type_)


def from_msgpack(data: bytes | memoryview, type_: Any = Any) -> Any:
    """Decodes MessagePack.

    Args: As for from_json().
    Returns: The value.
    Raises:
      Undecodable: The bytes are no value of that type.
    """
    return _decode(msgspec.msgpack.decode, data, type_)


def _decode(
    decode: Callable[..., Any], data: bytes | memoryview, type_: Any
) -> Any:
    try:
        return decode(data, type=type_)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise Undecodable(str(error)) from error
