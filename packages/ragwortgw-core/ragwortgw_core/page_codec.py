"""Encodes and decodes platform values that are MessagePack documents."""

import abc
from collections.abc import Callable
from typing import Any

import msgspec

from ragwortgw_core import decoding
from ragwortgw_core import events
from ragwortgw_core import group_commit


class PageCodec(abc.ABC):
    """Decodes and encodes pages; subclasses add apply().

    Args:
      content_type: TypedDict of the decoded page.
      new_content: Builds the content of a page that does not exist yet.
    """

    def __init__(
        self, content_type: Any, new_content: Callable[[], Any]
    ) -> None:
        self._content_type = content_type
        self._new_content = new_content

    def decode(self, value: bytes) -> Any:
        """Decodes a page.

        Args:
          value: The encoded page; b'' if it does not exist yet.
        Returns: The content; None if the page is damaged.
        """
        if not value:
            return self._new_content()
        try:
            return decoding.from_msgpack(value, self._content_type)
        except decoding.Undecodable:
            return None

    def encode(self, content: Any) -> bytes:
        """Encodes a page."""
        return msgspec.msgpack.encode(content)

    @abc.abstractmethod
    def apply(
        self, stamp: events.Stamp, content: Any, operation: Any
    ) -> group_commit.ApplyResult:
        """Applies an operation; see group_commit.Codec."""

    def repeat(
        self, stamp: events.Stamp, content: Any, operation: Any
    ) -> group_commit.ApplyResult:
        """Applies a lost operation again; see group_commit.Codec."""
        return self.apply(stamp, content, operation)

    def repeatable(self, operation: Any, outcome: Any) -> Any:
        """Returns what to repeat after a restore; see group_commit.Codec."""
        return operation
